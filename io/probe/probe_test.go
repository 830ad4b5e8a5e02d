package probe_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/wire"
	"cardamomspool/io/probe"
	"cardamomspool/io/telem"
)

func TestProbe(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Probes")
}

// record returns the record of a ready target of service "s".
func record(name string, address netip.AddrPort) member.Record {
	return member.Record{Key: member.Key{Service: "s", Target: name}, Address: address, State: member.Ready, Incarnation: 1}
}

// answerTimeout bounds probes that are answered. It is long, as the process may have to wait
// for a processor: a process that stood still for 150 ms failed with 100 ms.
const answerTimeout = 10 * time.Second

// probeOnce sends one probe to a target that answers with handler, and waits for the answer
// for timeout.
func probeOnce(timeout time.Duration, handler http.HandlerFunc) (route.Probe, error) {
	s := httptest.NewServer(handler)
	ginkgo.DeferCleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return probe.HTTP(wire.Spool())(ctx, record("t", netip.MustParseAddrPort(s.Listener.Addr().String())), "/health")
}

var _ = ginkgo.Describe("A probe", func() {
	ginkgo.It("returns health and load", func() {
		p, err := probeOnce(answerTimeout, func(w http.ResponseWriter, r *http.Request) {
			gomega.Expect(r.URL.Path).To(gomega.Equal("/health"))
			w.Header().Set(wire.HeaderLoad, "running=1 queued=0 slots=3 pace=400")
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(p).To(gomega.Equal(route.Probe{
			Result: route.ProbeHealthy, Load: wire.Load{Running: 1, Slots: 3, Pace: 400}, Reported: true,
		}))
	})

	ginkgo.It("reports an unhealthy target", func() {
		p, err := probeOnce(answerTimeout, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(p).To(gomega.Equal(route.Probe{Result: route.ProbeUnhealthy}))
	})

	ginkgo.It("is lost, with an error, when the target does not answer in time", func() {
		p, err := probeOnce(100*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		gomega.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
		gomega.Expect(p).To(gomega.Equal(route.Probe{Result: route.ProbeLost}))
	})
})

var _ = ginkgo.Describe("A prober", func() {
	ginkgo.It("bounds the rate for many targets and skips draining ones", func() {
		const (
			targets = 300
			period  = time.Second
			// maxProbes allows 1,300 a second during period, and the first probe of
			// each target.
			maxProbes = 1300 + targets
		)
		var (
			mu             sync.Mutex
			probesByTarget = make(map[string]int)
			total          int
		)
		count := func(_ context.Context, target member.Record, _ string) (route.Probe, error) {
			mu.Lock()
			defer mu.Unlock()
			probesByTarget[target.Target]++
			total++
			return route.Probe{Result: route.ProbeHealthy}, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := probe.New(ctx, count, "/", 10*time.Millisecond, func(engine.ProbeReport) {}, telem.NewRegistry(), slog.New(slog.DiscardHandler))
		var records []member.Record
		for i := range targets {
			records = append(records, record(fmt.Sprint(i), netip.AddrPort{}))
		}
		records[0].State = member.Draining
		p.SetTargets(records)
		for range 1000 {
			p.RecordCall(time.Now())
		}
		time.Sleep(period)
		p.Stop()
		mu.Lock()
		defer mu.Unlock()
		gomega.Expect(total).To(gomega.BeNumerically("<=", maxProbes))
		gomega.Expect(probesByTarget).NotTo(gomega.HaveKey("0"))
	})

	ginkgo.It("probes again at once when calls arrive after an idle period", func() {
		const targets = 100
		var total atomic.Int64
		count := func(context.Context, member.Record, string) (route.Probe, error) {
			total.Add(1)
			return route.Probe{Result: route.ProbeHealthy}, nil
		}
		p := probe.New(context.Background(), count, "/", 50*time.Millisecond, func(engine.ProbeReport) {}, telem.NewRegistry(), slog.New(slog.DiscardHandler))
		defer p.Stop()
		var records []member.Record
		for i := range targets {
			records = append(records, record(fmt.Sprint(i), netip.AddrPort{}))
		}
		p.SetTargets(records)
		time.Sleep(300 * time.Millisecond) // Each target was probed once and is not due again for seconds.
		before := total.Load()
		gomega.Expect(before).To(gomega.BeNumerically("<", 2*targets))
		for range 1000 {
			p.RecordCall(time.Now())
		}
		gomega.Eventually(func() int64 { return total.Load() - before }, 300*time.Millisecond, time.Millisecond).
			Should(gomega.BeNumerically(">=", targets))
	})

	// After a fault several control hosts may receive calls of one service, and all of
	// them probe its targets.
	ginkgo.It("probes less on a host that decides about few calls", func() {
		const (
			targets = 100
			period  = time.Second
			// maxProbes allows 10 probes for each of 5 calls a second, and the first
			// probe of each target.
			maxProbes = 5*10 + targets
		)
		var total atomic.Int64
		count := func(context.Context, member.Record, string) (route.Probe, error) {
			total.Add(1)
			return route.Probe{Result: route.ProbeHealthy}, nil
		}
		p := probe.New(context.Background(), count, "/", 10*time.Millisecond, func(engine.ProbeReport) {}, telem.NewRegistry(), slog.New(slog.DiscardHandler))
		defer p.Stop()
		var records []member.Record
		for i := range targets {
			records = append(records, record(fmt.Sprint(i), netip.AddrPort{}))
		}
		p.SetTargets(records)
		for range 5 {
			p.RecordCall(time.Now())
			time.Sleep(period / 5)
		}
		gomega.Expect(total.Load()).To(gomega.BeNumerically("<=", maxProbes))
	})
})
