package route_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/route"
)

func TestTwoChoicesAvoidsTheBusierOfTwo(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(2)
	table.Begin("t0", start)
	counts := countChoices(table, route.TwoChoices{}, 1000, start)
	// t0 is picked only when both draws yield it, one time in four.
	g.Expect(counts["t0"]).To(gomega.BeNumerically("~", 250, 50))
}

func BenchmarkTwoChoices(b *testing.B) {
	benchmarkChoose(b, route.TwoChoices{})
}
