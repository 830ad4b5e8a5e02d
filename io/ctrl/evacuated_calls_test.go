package ctrl_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/roster"
	"cardamomspool/core/strict"
	"cardamomspool/internal/granted"
	"cardamomspool/io/entry"
	"cardamomspool/io/ports"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

// testTarget is a target that counts its calls.
type testTarget struct {
	*httptest.Server
	roster.Target
	calls atomic.Int64
}

// newTestTarget starts a target of service "s" in a data centre, until the spec ends.
func newTestTarget(id, dataCentre string) *testTarget {
	t := &testTarget{}
	t.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/a/") {
			t.calls.Add(1)
		}
	}))
	ginkgo.DeferCleanup(t.Server.Close)
	t.Target = roster.Target{
		ID: id, Service: "s", Address: netip.MustParseAddrPort(strings.TrimPrefix(t.URL, "http://")), DataCentre: dataCentre,
		Slots: 4, State: member.Ready, Born: time.UnixMilli(1),
	}
	return t
}

// announce sends a heartbeat of the target to all control hosts, and further ones until the
// spec ends.
func (t *testTarget) announce(s *testFleet) {
	for _, r := range s.hosts {
		report := t.Target
		report.Sequence, report.Heard = uint64(time.Now().UnixMilli()), time.Now()
		gomega.ExpectWithOffset(1, r.host.Announce(context.Background(), report)).To(gomega.Succeed())
	}
	s.sendHeartbeats(t.Target)
}

// callPlan returns a plan with a route to service "s".
func callPlan(version uint64) plan.Document {
	d := document(version)
	d.Plan.Routes = []plan.Route{{
		Name: "r", Host: "shop.example", PathPrefix: "/a/", Idempotent: true, Attempts: 2,
		Timeout: strict.Duration(2 * time.Second), Aim: strict.Duration(400 * time.Millisecond), Parts: []plan.Part{{Service: "s", Weight: 1}},
	}}
	d.Plan.Services = []plan.Service{{Name: "s", HealthPath: "/health", Connections: 20}}
	return d
}

// startEntry starts an entry host of the fleet and returns the address for calls and a function
// that stops the host.
func (s *testFleet) startEntry() (netip.AddrPort, func()) {
	free, err := ports.Free(3)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cfg := setup.DefaultEntry()
	cfg.Host, cfg.DataCentre = "entry-1", "xela"
	cfg.CallAddress, cfg.AdminAddress = free[0], free[1]
	cfg.PeerAddress = netip.AddrPortFrom(s.address(9), s.ports[0].Port())
	cfg.DrainDelay, cfg.StopGrace = 0, strict.Duration(time.Second)
	cfg.Fleet = setup.Fleet{Adapter: setup.AdapterPlatform, Seeds: s.seeds, FrontAddress: free[2]}
	gomega.Expect(cfg.Validate()).To(gomega.BeEmpty())
	host := entry.New(cfg, entry.WithLogger(telem.NewLogger(ginkgo.GinkgoWriter, slog.LevelInfo, cfg.Host, cfg.DataCentre)))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	stop := func() {
		cancel()
		gomega.Eventually(ended).WithContext(within(5 * time.Second)).Should(gomega.Receive(gomega.BeNil()))
	}
	return cfg.CallAddress, stop
}

// call makes a call and returns the status of the answer, and 0 without one.
func call(address netip.AddrPort) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address.String()+"/a/x", nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "shop.example"
	resp, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// callsReach makes calls until the target has got one.
func callsReach(address netip.AddrPort, t *testTarget) {
	before := t.calls.Load()
	gomega.EventuallyWithOffset(1, func() int64 { call(address); return t.calls.Load() - before }).WithContext(within(10*time.Second)).WithPolling(2*time.Millisecond).Should(gomega.BeNumerically(">", 0), "target %s", t.ID)
}

// learntFile returns the path of the file with the plan that host i knows to be agreed on, in
// the first view.
func (s *testFleet) learntFile(i int) string {
	return filepath.Join(s.dataFolder(i), "epoch-1", "learnt.plan.doc")
}

var _ = ginkgo.Describe("An evacuated data centre", func() {
	// Guards against calls that are decided without an order that was acknowledged just before
	// all hosts lost power, when none of them had learnt yet that a majority has it.
	ginkgo.It("gets no calls after a loss of power by which nobody has learnt the order", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		gomega.Eventually(func() error { return s.hosts[0].host.PutPlan(context.Background(), callPlan(1)) }).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.Succeed())
		out, stays := newTestTarget("t-out", "buda"), newTestTarget("t-stays", "pest")
		out.announce(s)
		stays.announce(s)
		var learnt [3][]byte
		for i := range 3 {
			gomega.Eventually(func() error {
				var err error
				learnt[i], err = os.ReadFile(s.learntFile(i))
				return err
			}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.Succeed())
		}
		for i := range 3 {
			s.expectSaved(i, out.ID)
			s.expectSaved(i, stays.ID)
		}
		s.setEvacuated("buda", true)
		for i := range 3 {
			s.stopHost(i)
		}
		for i := range 3 {
			gomega.Expect(os.WriteFile(s.learntFile(i), learnt[i], 0o600)).To(gomega.Succeed())
		}
		for i := range 3 {
			s.startHost(i, false)
		}
		address, stop := s.startEntry()
		defer stop()
		callsReach(address, stays)
		for range 100 {
			gomega.Expect(call(address)).To(gomega.Equal(http.StatusOK))
		}
		gomega.Expect(out.calls.Load()).To(gomega.BeZero())
	})

	// Guards against calls that reach a target in an evacuated data centre once the order was
	// acknowledged and had its time, also after a restart of all hosts, and against targets that
	// get no calls any more when the order is withdrawn.
	ginkgo.It("gets no calls until the order is withdrawn", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		gomega.Eventually(func() error { return s.hosts[0].host.PutPlan(context.Background(), callPlan(1)) }).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.Succeed())
		out, stays := newTestTarget("t-out", "buda"), newTestTarget("t-stays", "pest")
		out.announce(s)
		stays.announce(s)
		address, stop := s.startEntry()
		callsReach(address, out)
		callsReach(address, stays)

		s.setEvacuated("buda", true)
		granted.Sleep(time.Second)
		before := out.calls.Load()
		for range 100 {
			gomega.Expect(call(address)).To(gomega.Equal(http.StatusOK))
		}
		gomega.Expect(out.calls.Load()).To(gomega.Equal(before))

		stop()
		for i := range 3 {
			s.stopHost(i)
		}
		for i := range 3 {
			s.startHost(i, false)
		}
		address, stop = s.startEntry()
		defer func() { stop() }()
		callsReach(address, stays) // From the first call on, none goes to the other target.
		for range 100 {
			gomega.Expect(call(address)).To(gomega.Equal(http.StatusOK))
		}
		gomega.Expect(out.calls.Load()).To(gomega.Equal(before))

		s.setEvacuated("pest", true)
		granted.Sleep(time.Second)
		gomega.Expect(call(address)).To(gomega.Equal(http.StatusServiceUnavailable), "all targets are evacuated")
		s.setEvacuated("pest", false)
		s.setEvacuated("buda", false)
		callsReach(address, out)
		callsReach(address, stays)
	})
})
