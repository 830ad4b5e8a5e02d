package probe

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/io/telem"
)

// A control host that falls behind loses probes because it reads their answers too late.
// It must send fewer, and not take sound targets for failing ones.
func TestLateHostProbesLessAndBlamesNoTargets(t *testing.T) {
	const interval = 10 * time.Millisecond
	g := gomega.NewWithT(t)
	var reports, sent atomic.Int64
	lost := func(context.Context, member.Record, string) (route.Probe, error) {
		sent.Add(1)
		return route.Probe{Result: route.ProbeLost}, errors.New("no answer in time")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(ctx, lost, "/health", interval, func(engine.ProbeReport) { reports.Add(1) }, telem.NewRegistry(), slog.New(slog.DiscardHandler))
	for range 1000 {
		p.RecordCall(time.Now())
	}
	fallBehind := func() { p.observeLateness(time.Minute, time.Now()) }
	p.SetTargets([]member.Record{{
		Key: member.Key{Service: "s", Target: "t"}, State: member.Ready, Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:9"),
	}})
	g.Eventually(reports.Load, 5*time.Second).Should(gomega.BeNumerically(">", 5), "a host that is on time reports lost probes")

	begin := time.Now()
	for time.Since(begin) < time.Second {
		fallBehind()
		time.Sleep(lateSample)
	}
	probes, blamed := sent.Load(), reports.Load()
	for begin = time.Now(); time.Since(begin) < 500*time.Millisecond; {
		fallBehind()
		time.Sleep(lateSample)
	}
	g.Expect(reports.Load() - blamed).To(gomega.BeZero())
	g.Expect(sent.Load()-probes).To(gomega.BeNumerically("<=", 10), "50 at the full rate")
}

// lateSample is the time between two observations of lateness.
const lateSample = 5 * time.Millisecond
