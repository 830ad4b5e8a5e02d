package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/route"
)

const ramp = 2 * time.Second

var start = time.Unix(1000, 0)

func records(n int) []member.Record {
	list := make([]member.Record, n)
	for i := range list {
		list[i] = member.Record{
			Key:     member.Key{Service: "s", Target: fmt.Sprintf("t%d", i)},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
			State:   member.Ready, Incarnation: 1, DataCentre: "xela",
		}
	}
	return list
}

// newTable returns a table of n ready targets without a ramp.
func newTable(n int) *route.Table {
	table := new(route.Table)
	table.Update(records(n), 0, start)
	return table
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

// finishCall records one call to the target called name that took elapsed and ended
// with f.
func finishCall(table *route.Table, name string, elapsed time.Duration, f route.Feedback, now time.Time) {
	table.Begin(name, now.Add(-elapsed))
	table.Finish(name, f, elapsed, now)
}

// countChoices returns how often each target is picked in n choices, without
// starting the calls.
func countChoices(table *route.Table, p route.Policy, n int, now time.Time) map[string]int {
	rng, counts := newRand(), map[string]int{}
	for range n {
		if pick, ok := table.Choose(p, route.Query{Slots: 3, Now: now}, rng); ok {
			counts[pick.Name]++
		}
	}
	return counts
}

func TestChooseSkipsUnreadyFullAndExcludedTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	list := records(4)
	list[0].State = member.Draining
	var table route.Table
	table.Update(list, 0, start)
	table.Begin("t1", start)
	for _, policy := range []route.Policy{route.LeastOutstanding{}, route.TwoChoices{}, route.HotCold{}} {
		q := route.Query{Slots: 1, Exclude: []string{"t2"}, Now: start}
		for range 20 {
			pick, ok := table.Choose(policy, q, newRand())
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(pick.Name).To(gomega.Equal("t3"))
		}
		q.Exclude = []string{"t2", "t3"}
		_, ok := table.Choose(policy, q, newRand())
		g.Expect(ok).To(gomega.BeFalse())
	}
}

func TestDrainMarkOnAnswerRemovesTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(2)
	finishCall(table, "t0", time.Millisecond, route.Feedback{Outcome: route.Served, Draining: true}, start)
	g.Expect(table.ReadyCount()).To(gomega.Equal(1))
	table.Update(records(2), 0, start)
	g.Expect(table.ReadyCount()).To(gomega.Equal(1), "an older announcement brings it back")
	again := records(2)
	again[0].Incarnation = 2
	table.Update(again, 0, start)
	g.Expect(table.ReadyCount()).To(gomega.Equal(2), "started again")
}

func benchmarkChoose(b *testing.B, p route.Policy) {
	for _, n := range []int{10, 100, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, rng := newTable(n), newRand()
			q := route.Query{Slots: 1 << 30, Now: start}
			b.ReportAllocs()
			for b.Loop() {
				pick, _ := table.Choose(p, q, rng)
				table.Begin(pick.Name, start)
				table.Finish(pick.Name, route.Feedback{Outcome: route.Served}, time.Millisecond, start)
			}
		})
	}
}
