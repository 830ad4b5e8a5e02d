package probe

import (
	"context"
	"log/slog"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/io/telem"
)

// Guards against a control host that opens hundreds of connections for first probes at once,
// while calls wait for its decisions, also when the rate of calls shortens the interval.
func TestFirstProbesOfManyTargetsAreSpread(t *testing.T) {
	const targets = 300
	g := gomega.NewWithT(t)
	var sent atomic.Int64
	count := func(context.Context, member.Record, string) (route.Probe, error) {
		sent.Add(1)
		return route.Probe{Result: route.ProbeHealthy}, nil
	}
	p := New(t.Context(), count, "/health", time.Minute, func(engine.ProbeReport) {}, telem.NewRegistry(), slog.New(slog.DiscardHandler))
	defer p.Stop()
	var records []member.Record
	for i := range targets {
		records = append(records, member.Record{
			Key: member.Key{Service: "s", Target: strconv.Itoa(i)}, State: member.Ready, Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:9"),
		})
	}
	p.interval = 100 * time.Millisecond
	begin := time.Now()
	p.SetTargets(records)
	for range 1000 {
		p.RecordCall(time.Now())
	}
	time.Sleep(250 * time.Millisecond)
	within := time.Since(begin)
	// 300 a second, and six standard deviations of as many draws.
	g.Expect(float64(sent.Load())).To(gomega.BeNumerically("<=", 300*within.Seconds()+6*8))
	g.Eventually(sent.Load, 5*time.Second).Should(gomega.BeNumerically(">=", targets))
}
