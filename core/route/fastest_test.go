package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/wire"
)

func TestFastest(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Fastest")
}

// newTwoCentreTable returns a table of n targets of three slots; every second one is
// in the data centre "far".
func newTwoCentreTable(n int, now time.Time) (*route.Table, []member.Record) {
	var records []member.Record
	for i := range n {
		centre := "near"
		if i%2 == 1 {
			centre = "far"
		}
		records = append(records, member.Record{
			Key: member.Key{Service: "s", Target: fmt.Sprintf("t%d", i)}, State: member.Ready, Incarnation: 1, Slots: 3,
			DataCentre: centre, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
	}
	t := new(route.Table)
	t.Update(records, 0, now)
	return t, records
}

func probeWithPace(pace int) route.Probe {
	return route.Probe{Result: route.ProbeHealthy, Load: wire.Load{Slots: 3, Pace: pace}, Reported: true}
}

var _ = ginkgo.Describe("The fastest policy", func() {
	var (
		now   = time.Unix(1000, 0)
		rng   = rand.New(rand.NewPCG(1, 1))
		table *route.Table
	)
	choose := func(q route.Query) string {
		q.Now, q.Slots = now, 3
		pick, ok := table.Choose(route.Fastest{}, q, rng)
		if !ok {
			return ""
		}
		return pick.Name
	}

	ginkgo.BeforeEach(func() { table, _ = newTwoCentreTable(4, now) })

	ginkgo.It("avoids a target that reports a slow pace, until the report is old", func() {
		for i := 1; i < 4; i++ {
			table.ApplyProbe(fmt.Sprintf("t%d", i), probeWithPace(400), now)
		}
		table.ApplyProbe("t0", probeWithPace(100), now)
		for range 20 {
			gomega.Expect(choose(route.Query{})).To(gomega.Equal("t0"))
		}
		later, seen := now.Add(time.Second), make(map[string]bool)
		for range 100 {
			pick, _ := table.Choose(route.Fastest{}, route.Query{Now: later, Slots: 3}, rng)
			seen[pick.Name] = true
		}
		gomega.Expect(seen).To(gomega.HaveLen(4))
	})

	// Noisy neighbours come and go: of targets that reported the same pace, the
	// one with the latest report has most probably kept it.
	ginkgo.It("gives a recent report more weight than an old one", func() {
		for range 200 {
			table.ApplyProbe("t3", probeWithPace(400), now)
			table.ApplyProbe("t0", probeWithPace(100), now)
		}
		table.ApplyProbe("t1", probeWithPace(100), now)
		now = now.Add(200 * time.Millisecond)
		table.ApplyProbe("t2", probeWithPace(100), now)
		for range 20 {
			gomega.Expect(choose(route.Query{})).To(gomega.Equal("t2"))
		}
		table.ApplyProbe("t2", probeWithPace(400), now)
		gomega.Expect(choose(route.Query{})).To(gomega.BeElementOf("t0", "t1"))
	})

	ginkgo.It("ignores the age of reports while all targets report the normal pace", func() {
		for _, name := range []string{"t0", "t1", "t3"} {
			table.ApplyProbe(name, probeWithPace(100), now)
		}
		now = now.Add(200 * time.Millisecond)
		table.ApplyProbe("t2", probeWithPace(100), now)
		seen := make(map[string]bool)
		for range 100 {
			seen[choose(route.Query{})] = true
		}
		gomega.Expect(seen).To(gomega.HaveLen(4))
	})

	ginkgo.It("gives no target more calls than its slots", func() {
		for range 12 {
			name := choose(route.Query{})
			gomega.Expect(name).NotTo(gomega.BeEmpty())
			table.Begin(name, now)
		}
		gomega.Expect(choose(route.Query{})).To(gomega.BeEmpty())
	})

	ginkgo.It("counts the calls of other entry hosts in a report", func() {
		full := route.Probe{Result: route.ProbeHealthy, Load: wire.Load{Running: 3, Slots: 3}, Reported: true}
		for i := range 4 {
			table.ApplyProbe(fmt.Sprintf("t%d", i), full, now)
		}
		gomega.Expect(choose(route.Query{})).To(gomega.BeEmpty())
	})

	ginkgo.It("uses the last slot of a target only when no other target is free", func() {
		for range 8 {
			table.Begin(choose(route.Query{}), now)
		}
		gomega.Expect(table.InFlight()).To(gomega.Equal(8))
		for i := range 4 {
			pick, _ := table.Choose(route.Fastest{}, route.Query{Now: now, Slots: 3, Exclude: targetsExcept(4, i)}, rng)
			gomega.Expect(pick.InFlight).To(gomega.Equal(2), pick.Name)
		}
	})

	ginkgo.It("prefers the call's data centre among equally fast targets", func() {
		for range 20 {
			gomega.Expect(choose(route.Query{DataCentre: "far"})).To(gomega.BeElementOf("t1", "t3"))
		}
	})

	ginkgo.It("prefers a remote target to a slow local one unless the call is relaxed", func() {
		for _, name := range []string{"t0", "t2"} {
			table.ApplyProbe(name, probeWithPace(150), now)
		}
		gomega.Expect(choose(route.Query{DataCentre: "near"})).To(gomega.BeElementOf("t1", "t3"))
		gomega.Expect(choose(route.Query{DataCentre: "near", Relaxed: true})).To(gomega.BeElementOf("t0", "t2"))
	})

	// A health check may fail although the target serves, and the reverse.
	ginkgo.It("prefers targets whose health check passes, and uses the others when those are full", func() {
		unhealthy := route.Probe{Result: route.ProbeUnhealthy, Load: wire.Load{Slots: 3, Pace: 100}, Reported: true}
		for i := range 3 {
			table.ApplyProbe(fmt.Sprintf("t%d", i), unhealthy, now)
		}
		table.ApplyProbe("t3", probeWithPace(100), now)
		for range 3 {
			gomega.Expect(choose(route.Query{})).To(gomega.Equal("t3"))
			table.Begin("t3", now)
		}
		gomega.Expect(choose(route.Query{})).To(gomega.BeElementOf("t0", "t1", "t2"))
		table.ApplyProbe("t1", probeWithPace(100), now)
		for range 20 {
			gomega.Expect(choose(route.Query{})).To(gomega.Equal("t1"))
		}
	})

	ginkgo.It("avoids a target that reports it is healthy but fails its calls", func() {
		for i := range 4 {
			table.ApplyProbe(fmt.Sprintf("t%d", i), probeWithPace(100), now)
		}
		for range 3 {
			table.Begin("t0", now)
			table.Finish("t0", route.Feedback{Outcome: route.Failed}, 5*time.Millisecond, now)
			table.ApplyProbe("t0", probeWithPace(100), now)
		}
		for range 20 {
			gomega.Expect(choose(route.Query{})).NotTo(gomega.Equal("t0"))
		}
	})

	ginkgo.It("never uses an address that another target has", func() {
		for i := range 4 {
			table.ApplyProbe(fmt.Sprintf("t%d", i), route.Probe{Result: route.ProbeAddressTaken}, now)
		}
		gomega.Expect(choose(route.Query{})).To(gomega.BeEmpty())
	})

	ginkgo.It("ejects targets that lose two probes in a row, but uses them when no others are left", func() {
		for range 2 {
			table.ApplyProbe("t0", route.Probe{Result: route.ProbeLost}, now)
		}
		for range 20 {
			gomega.Expect(choose(route.Query{})).NotTo(gomega.Equal("t0"))
		}
		gomega.Expect(choose(route.Query{Exclude: targetsExcept(4, 0)})).To(gomega.Equal("t0"))
	})

	ginkgo.It("does not eject a target that one host does not reach while it answers probes", func() {
		table, _ = newTwoCentreTable(2, now)
		table.ApplyProbe("t0", probeWithPace(100), now)
		for _, name := range []string{"t0", "t1"} {
			table.Begin(name, now)
			table.Finish(name, route.Feedback{Outcome: route.Unreachable}, 0, now)
		}
		gomega.Expect(table.Occupancy(route.Query{Now: now, Slots: 3}, 0).Failing).To(gomega.Equal(2), "both have failed")
		for range 3 {
			gomega.Expect(choose(route.Query{})).To(gomega.Equal("t0"), "t1, which is not probed, is ejected")
			table.Begin("t0", now)
		}
	})
})

// targetsExcept returns the names of targets 0 to n-1 without that of excluded.
func targetsExcept(n, excluded int) []string {
	var list []string
	for i := range n {
		if i != excluded {
			list = append(list, fmt.Sprintf("t%d", i))
		}
	}
	return list
}

func BenchmarkFastest(b *testing.B) {
	benchmarkFastest(b, func(_ *rand.Rand, i int) int { return 100 + i%7 })
}

// BenchmarkFastestBesideNeighbours has three targets in ten that are four times slower.
func BenchmarkFastestBesideNeighbours(b *testing.B) {
	benchmarkFastest(b, func(rng *rand.Rand, _ int) int {
		if rng.IntN(10) < 3 {
			return 400
		}
		return 100 + rng.IntN(40)
	})
}

// benchmarkFastest measures a choice among targets that report the paces that pace returns.
func benchmarkFastest(b *testing.B, pace func(rng *rand.Rand, i int) int) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
			table, _ := newTwoCentreTable(n, now)
			for i := range n {
				table.ApplyProbe(fmt.Sprintf("t%d", i), probeWithPace(pace(rng, i)), now)
			}
			q := route.Query{Now: now, Slots: 3, DataCentre: "near"}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := table.Choose(route.Fastest{}, q, rng); !ok {
					b.Fatal("no target")
				}
			}
		})
	}
}
