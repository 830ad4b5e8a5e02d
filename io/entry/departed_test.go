package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/roster"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/place"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

type (
	// staleControl is a control host whose decisions rest on targets of its own, which
	// differ from those of the state that it streams.
	staleControl struct {
		address netip.AddrPort
		state   *feed.State
		decider *place.Server
		stop    func()                              // Ends its server.
		confirm atomic.Pointer[peerpb.ConfirmReply] // What it says of the plan it has accepted; nil for no answer.
		noPlan  atomic.Bool                         // It announces its plan and does not send it.
	}

	// staleServer is the server of a staleControl.
	staleServer struct {
		*feed.Server
		control *staleControl
	}

	// countingTarget is a target that counts its requests.
	countingTarget struct {
		address  netip.AddrPort
		requests atomic.Int64
	}
)

// newCountingTarget starts a target that answers every request with "ok".
func newCountingTarget(t *testing.T) *countingTarget {
	target := &countingTarget{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target.requests.Add(1)
		if _, err := io.Copy(w, r.Body); err != nil {
			t.Error(err)
		}
		io.WriteString(w, "ok")
	}))
	t.Cleanup(server.Close)
	target.address = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return target
}

// rosterTarget returns the report of a target of service "s".
func rosterTarget(id string, address netip.AddrPort, state member.State) roster.Target {
	return roster.Target{
		ID: id, Service: "s", Address: address, DataCentre: "lab", Slots: 4, State: state,
		Born: time.UnixMilli(1), Sequence: uint64(state), Heard: time.Now(),
	}
}

// Confirm answers as the control host is set to.
func (s *staleServer) Confirm(ctx context.Context, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	if reply := s.control.confirm.Load(); reply != nil {
		return proto.Clone(reply).(*peerpb.ConfirmReply), nil
	}
	return s.Server.Confirm(ctx, r)
}

// Plan fails if the control host is set so.
func (s *staleServer) Plan(ctx context.Context, r *peerpb.PlanRequest) (*peerpb.PlanReply, error) {
	if s.control.noPlan.Load() {
		return nil, errors.New("no plan is sent")
	}
	return s.Server.Plan(ctx, r)
}

// newStaleControl starts a control host that decides for the plan of testPlan with the
// given targets.
func newStaleControl(t *testing.T, targets ...roster.Target) *staleControl {
	return newPlannedControl(t, testPlan(), targets...)
}

// newPlannedControl starts a control host that decides for p with the given targets.
func newPlannedControl(t *testing.T, p *plan.Plan, targets ...roster.Target) *staleControl {
	return newConfiguredControl(t, p, func(*place.Config) {}, targets...)
}

// newConfiguredControl starts a control host that decides for p with the given targets.
// configure may change its settings.
func newConfiguredControl(t *testing.T, p *plan.Plan, configure func(*place.Config), targets ...roster.Target) *staleControl {
	g := gomega.NewWithT(t)
	table := roster.NewTable()
	for _, target := range targets {
		table.Merge(target)
	}
	doc := spec.Default()
	doc.Hold = spec.Hold{Length: 16, LongestWait: strict.Duration(time.Second)}
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	doc.Retry = spec.Retry{Attempts: 2, Window: strict.Duration(10 * time.Second)}
	log, metrics := slog.New(slog.DiscardHandler), telem.NewRegistry()
	cfg := place.Config{ServiceTemplate: doc, HoldCheckInterval: time.Millisecond}
	configure(&cfg)
	decider := place.NewServer(cfg, nil, log, metrics)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go decider.Run(ctx)
	for _, service := range p.Services {
		decider.SetTargets(service.Name, table.Records(nil, service.Name))
	}
	decider.SetPlan(p)
	l, err := net.Listen("tcp", freeAddress(t).String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := &staleControl{address: l.Addr().(*net.TCPAddr).AddrPort(), state: feed.NewState(), decider: decider}
	c.state.SetPlan(p)
	c.state.SetView(feed.View{Epoch: 1, Members: []feed.Member{{Host: c.address.Addr()}}})
	server := peer.NewServer()
	peerpb.RegisterFleetServer(server, &staleServer{Server: feed.NewServer(ctx, c.state, decider.Serve), control: c})
	go server.Serve(l)
	c.stop = server.Stop
	t.Cleanup(server.Stop)
	go c.renewLeases(ctx)
	return c
}

// renewLeases renews the leases of the targets that the control host knows, as their
// heartbeats do, until ctx ends. Tests may take longer than roster.Lease on a busy machine.
func (c *staleControl) renewLeases(ctx context.Context) {
	ticker := time.NewTicker(roster.Lease / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, target := range c.state.Targets() {
			if target.State == member.Ready {
				target.Heard = time.Now()
				c.state.UpdateTargets(true, target)
			}
		}
	}
}

// newFleetHost starts an entry host of the fleet of a control host, and returns it with
// the URL of the route of testPlan. configure functions may change its settings.
func newFleetHost(t *testing.T, control netip.AddrPort, configure ...func(*setup.Entry)) (*Host, string) {
	return newFleetHostWith(t, control, nil, configure...)
}

// newFleetHostWith is newFleetHost with options of the host.
func newFleetHostWith(t *testing.T, control netip.AddrPort, opts []Option, configure ...func(*setup.Entry)) (*Host, string) {
	g := gomega.NewWithT(t)
	cfg := setup.DefaultEntry()
	cfg.Host, cfg.DataCentre, cfg.Tick = "entry-1", "lab", strict.Duration(5*time.Millisecond)
	cfg.CallAddress, cfg.AdminAddress, cfg.DrainDelay = freeAddress(t), freeAddress(t), 0
	cfg.PeerAddress = netip.AddrPortFrom(freeAddress(t).Addr(), control.Port())
	cfg.Fleet = setup.Fleet{Adapter: setup.AdapterPlatform, Seeds: []netip.AddrPort{control}}
	for _, change := range configure {
		change(&cfg)
	}
	logs := &lockedBuffer{}
	logOnFailure(t, cfg.Host, logs)
	h := New(cfg, append([]Option{WithLogger(slog.New(slog.NewTextHandler(logs, nil)))}, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Eventually(ended, testTimeout).Should(gomega.Receive(gomega.BeNil()))
	})
	g.Eventually(func() *place.Client { return h.fleet.controls.Pick("s", time.Now()) }, testTimeout, time.Millisecond).ShouldNot(gomega.BeNil())
	g.Eventually(h.fleet.state.Plan, testTimeout, time.Millisecond).ShouldNot(gomega.BeNil())
	return h, "http://" + cfg.CallAddress.String() + "/a/x"
}

// callRoute sends a call to the route of testPlan and returns the status of the answer.
func callRoute(t *testing.T, method, url string, body io.Reader) int {
	g := gomega.NewWithT(t)
	r, err := http.NewRequest(method, url, body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "shop.example"
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return resp.StatusCode
}

// Guards against calls to a target that has left, decided by a control host that was
// cut off or frozen as it left.
func TestDepartedTargetGetsNoCallsFromStaleDecisions(t *testing.T) {
	for _, state := range []member.State{member.Draining, member.Leaving} {
		t.Run(state.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			departed, sound := newCountingTarget(t), newCountingTarget(t)
			control := newStaleControl(t, rosterTarget("departed", departed.address, member.Ready), rosterTarget("sound", sound.address, member.Ready))
			control.state.UpdateTargets(true, rosterTarget("departed", departed.address, state), rosterTarget("sound", sound.address, member.Ready))
			h, url := newFleetHost(t, control.address)
			g.Eventually(h.fleet.state.Targets, testTimeout, time.Millisecond).Should(gomega.HaveLen(2))
			const calls = 20
			for range calls {
				g.Expect(callRoute(t, http.MethodPost, url, http.NoBody)).To(gomega.Equal(http.StatusOK))
			}
			g.Expect(departed.requests.Load()).To(gomega.BeZero())
			g.Expect(sound.requests.Load()).To(gomega.BeEquivalentTo(calls))
		})
	}
}
