package entry

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/plan"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/setup"
)

func TestFleet(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Entry host of a fleet")
}

// newTestFleet returns the fleet of an entry host that is not run. It has no plan, and
// confirms at once the one that it gets.
func newTestFleet() *fleet {
	cfg := setup.DefaultEntry()
	cfg.Host, cfg.DataCentre = "entry-1", "xela"
	cfg.PeerAddress = netip.MustParseAddrPort("127.0.0.1:1")
	cfg.Fleet = setup.Fleet{Adapter: setup.AdapterPlatform, Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2")}}
	f, confirmed := New(cfg).fleet, make(chan struct{})
	close(confirmed)
	f.planConfirmed = confirmed
	return f
}

// testPlan returns a plan with one route, for the paths /a/ of shop.example, to service
// "s".
func testPlan() *plan.Plan {
	return &plan.Plan{
		Version: 1,
		Routes: []plan.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/a/", Idempotent: true, Attempts: 2, Rank: 1,
			Timeout: strict.Duration(time.Second), Aim: strict.Duration(400 * time.Millisecond),
			Parts: []plan.Part{{Service: "s", Weight: 1}},
		}},
		Services: []plan.Service{{Name: "s", Connections: 10}},
	}
}

func request(path string) *http.Request {
	return httptest.NewRequest(http.MethodGet, "http://shop.example:8080"+path, nil)
}

var _ = ginkgo.Describe("An entry host of a fleet", func() {
	ginkgo.It("delays a call until the first plan arrives", func() {
		f := newTestFleet()
		time.AfterFunc(maxPlanWait/4, func() { f.state.SetPlan(testPlan()) })
		s, class, p := f.find(request("/a/x"), wire.CallerInfo{})
		gomega.Expect(p).To(gomega.BeNil())
		gomega.Expect(s.doc.Name).To(gomega.Equal("s"))
		gomega.Expect(class.Idempotent).To(gomega.BeTrue())
		gomega.Expect(class.Attempts).To(gomega.Equal(2))
	})

	// After a loss of power hundreds of hosts ask for the plan at once.
	ginkgo.It("delays a call that has the time until a late plan arrives", func() {
		f := newTestFleet()
		time.AfterFunc(600*time.Millisecond, func() { f.state.SetPlan(testPlan()) })
		_, _, p := f.find(request("/a/x"), wire.CallerInfo{Timeout: 600 * time.Millisecond})
		gomega.Expect(p.status).To(gomega.Equal(http.StatusServiceUnavailable), "a call with little time is told to come back")
		begin := time.Now()
		_, class, p := f.find(request("/a/x"), wire.CallerInfo{Timeout: 4 * time.Second})
		gomega.Expect(p).To(gomega.BeNil())
		waited := time.Since(begin)
		gomega.Expect(waited).To(gomega.BeNumerically(">", 250*time.Millisecond))
		gomega.Expect(class.Deadline).To(gomega.BeNumerically("<=", time.Second))
	})

	ginkgo.It("hands on only the time that is left after the wait for the plan", func() {
		f := newTestFleet()
		time.AfterFunc(200*time.Millisecond, func() { f.state.SetPlan(testPlan()) })
		_, class, p := f.find(request("/a/x"), wire.CallerInfo{Timeout: 900 * time.Millisecond})
		gomega.Expect(p).To(gomega.BeNil())
		gomega.Expect(class.Deadline).To(gomega.BeNumerically("<=", 720*time.Millisecond))
	})

	ginkgo.It("answers 503 without a plan, and for an unknown path while its plan may be out of date", func() {
		f := newTestFleet()
		_, _, p := f.find(request("/a/x"), wire.CallerInfo{})
		gomega.Expect(p.status).To(gomega.Equal(http.StatusServiceUnavailable))
		f.state.SetPlan(testPlan())
		_, _, p = f.find(request("/b/x"), wire.CallerInfo{})
		gomega.Expect(p.status).To(gomega.Equal(http.StatusServiceUnavailable))
	})

	ginkgo.It("subtracts the time of earlier attempts from the aim", func() {
		f := newTestFleet()
		f.state.SetPlan(testPlan())
		for _, row := range []struct {
			timeout, aim time.Duration
			late         bool
		}{
			{2 * time.Second, 400 * time.Millisecond, false},
			{1900 * time.Millisecond, 300 * time.Millisecond, false},
			{1700 * time.Millisecond, 400 * time.Millisecond, true},
			{2 * time.Second, 400 * time.Millisecond, false},
		} {
			_, class, p := f.find(request("/a/x"), wire.CallerInfo{Timeout: row.timeout})
			gomega.Expect(p).To(gomega.BeNil())
			gomega.Expect(class.Late).To(gomega.Equal(row.late), row.timeout.String())
			gomega.Expect(class.Aim).To(gomega.Equal(row.aim), row.timeout.String())
			gomega.Expect(class.Deadline).To(gomega.Equal(time.Second))
		}
	})
})
