package route_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/route"
)

func TestTwoChoicesAvoidsTheBusierOfTwo(t *testing.T) {
	g := gomega.NewWithT(t)
	table := grown(2)
	table.Begin("t0", start)
	counts := draws(table, route.TwoChoices{}, 1000, start)
	// t0 is taken only when it is drawn twice, one time in four.
	g.Expect(counts["t0"]).To(gomega.BeNumerically("~", 250, 50))
}

func BenchmarkTwoChoices(b *testing.B) {
	benchmarkChoose(b, route.TwoChoices{})
}
