package route_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/route"
)

func TestLeastOutstandingSpreadsCallsEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	rng, table := newRand(), newTable(5)
	counts := map[string]int{}
	for range 50 {
		pick, ok := table.Choose(route.LeastOutstanding{}, route.Query{Slots: 100, Now: start}, rng)
		g.Expect(ok).To(gomega.BeTrue())
		table.Begin(pick.Name, start)
		counts[pick.Name]++
	}
	g.Expect(counts).To(gomega.Equal(map[string]int{"t0": 10, "t1": 10, "t2": 10, "t3": 10, "t4": 10}))
}

func BenchmarkLeastOutstanding(b *testing.B) {
	benchmarkChoose(b, route.LeastOutstanding{})
}
