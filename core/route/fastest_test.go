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

// fleetTable returns a table of n targets of three slots; every second one is
// in the data centre "far".
func fleetTable(n int, now time.Time) (*route.Table, []member.Record) {
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

func paced(pace int) route.Probe {
	return route.Probe{Result: route.ProbeWell, Load: wire.Load{Slots: 3, Pace: pace}, Reported: true}
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

	ginkgo.BeforeEach(func() { table, _ = fleetTable(4, now) })

	ginkgo.It("leaves a target that reports that it is slow, until the report is old", func() {
		for i := 1; i < 4; i++ {
			table.Report(fmt.Sprintf("t%d", i), paced(400), now)
		}
		table.Report("t0", paced(100), now)
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
	// one that did so last has most probably kept it.
	ginkgo.It("believes a young report more than an old one", func() {
		for range 200 {
			table.Report("t3", paced(400), now)
			table.Report("t0", paced(100), now)
		}
		table.Report("t1", paced(100), now)
		now = now.Add(200 * time.Millisecond)
		table.Report("t2", paced(100), now)
		for range 20 {
			gomega.Expect(choose(route.Query{})).To(gomega.Equal("t2"))
		}
		table.Report("t2", paced(400), now)
		gomega.Expect(choose(route.Query{})).To(gomega.BeElementOf("t0", "t1"))
	})

	ginkgo.It("takes age for nothing while all targets report the usual pace", func() {
		for _, name := range []string{"t0", "t1", "t3"} {
			table.Report(name, paced(100), now)
		}
		now = now.Add(200 * time.Millisecond)
		table.Report("t2", paced(100), now)
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

	ginkgo.It("counts the calls of others that a report shows", func() {
		full := route.Probe{Result: route.ProbeWell, Load: wire.Load{Running: 3, Slots: 3}, Reported: true}
		for i := range 4 {
			table.Report(fmt.Sprintf("t%d", i), full, now)
		}
		gomega.Expect(choose(route.Query{})).To(gomega.BeEmpty())
	})

	ginkgo.It("keeps the last slot of a target for when there is no other", func() {
		for range 8 {
			table.Begin(choose(route.Query{}), now)
		}
		gomega.Expect(table.InFlight()).To(gomega.Equal(8))
		for i := range 4 {
			pick, _ := table.Choose(route.Fastest{}, route.Query{Now: now, Slots: 3, Exclude: others(4, i)}, rng)
			gomega.Expect(pick.InFlight).To(gomega.Equal(2), pick.Name)
		}
	})

	ginkgo.It("stays in the call's data centre among equals", func() {
		for range 20 {
			gomega.Expect(choose(route.Query{DataCentre: "far"})).To(gomega.BeElementOf("t1", "t3"))
		}
	})

	ginkgo.It("leaves a slow near target for a far one unless the call has time", func() {
		for _, name := range []string{"t0", "t2"} {
			table.Report(name, paced(150), now)
		}
		gomega.Expect(choose(route.Query{DataCentre: "near"})).To(gomega.BeElementOf("t1", "t3"))
		gomega.Expect(choose(route.Query{DataCentre: "near", Relaxed: true})).To(gomega.BeElementOf("t0", "t2"))
	})

	// A health check may be false either way.
	ginkgo.It("prefers targets whose health check passes, and uses the others when those are full", func() {
		ill := route.Probe{Result: route.ProbeIll, Load: wire.Load{Slots: 3, Pace: 100}, Reported: true}
		for i := range 3 {
			table.Report(fmt.Sprintf("t%d", i), ill, now)
		}
		table.Report("t3", paced(100), now)
		for range 3 {
			gomega.Expect(choose(route.Query{})).To(gomega.Equal("t3"))
			table.Begin("t3", now)
		}
		gomega.Expect(choose(route.Query{})).To(gomega.BeElementOf("t0", "t1", "t2"))
		table.Report("t1", paced(100), now)
		for range 20 {
			gomega.Expect(choose(route.Query{})).To(gomega.Equal("t1"))
		}
	})

	ginkgo.It("leaves a target that says it is healthy and fails its calls", func() {
		for i := range 4 {
			table.Report(fmt.Sprintf("t%d", i), paced(100), now)
		}
		for range 3 {
			table.Begin("t0", now)
			table.End("t0", route.Feedback{Ending: route.Failed}, 5*time.Millisecond, now)
			table.Report("t0", paced(100), now)
		}
		for range 20 {
			gomega.Expect(choose(route.Query{})).NotTo(gomega.Equal("t0"))
		}
	})

	ginkgo.It("never uses an address that another target has", func() {
		for i := range 4 {
			table.Report(fmt.Sprintf("t%d", i), route.Probe{Result: route.ProbeGone}, now)
		}
		gomega.Expect(choose(route.Query{})).To(gomega.BeEmpty())
	})

	ginkgo.It("leaves targets out that lose two probes in a row, but uses them when all do", func() {
		for range 2 {
			table.Report("t0", route.Probe{Result: route.ProbeLost}, now)
		}
		for range 20 {
			gomega.Expect(choose(route.Query{})).NotTo(gomega.Equal("t0"))
		}
		gomega.Expect(choose(route.Query{Exclude: others(4, 0)})).To(gomega.Equal("t0"))
	})
})

func others(n, but int) []string {
	var list []string
	for i := range n {
		if i != but {
			list = append(list, fmt.Sprintf("t%d", i))
		}
	}
	return list
}

func BenchmarkFastest(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
			table, _ := fleetTable(n, now)
			for i := range n {
				table.Report(fmt.Sprintf("t%d", i), paced(100+i%7), now)
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
