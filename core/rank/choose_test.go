package rank_test

import (
	"cmp"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/rank"
)

// ordered returns candidates for service "s", the first one first.
func ordered(n int) []rank.Candidate {
	var list []rank.Candidate
	for _, host := range testHosts(n) {
		list = append(list, rank.Candidate{Host: host, Informed: true})
	}
	slices.SortFunc(list, func(a, b rank.Candidate) int { return cmp.Compare(rank.Score("s", b.Host), rank.Score("s", a.Host)) })
	return list
}

func TestChooseTakesTheFirstThatIsNotLate(t *testing.T) {
	g := gomega.NewWithT(t)
	list := ordered(6)
	g.Expect(rank.Choose("s", list)).To(gomega.Equal(0))
	list[0].Late = true
	g.Expect(rank.Choose("s", list)).To(gomega.Equal(1))
	g.Expect(rank.Choose("s", nil)).To(gomega.Equal(-1))
}

func TestChoosePrefersInformedHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	list := ordered(3)
	list[0].Informed, list[1].Informed = false, false
	g.Expect(rank.Choose("s", list)).To(gomega.Equal(2))
	list[2].Late = true
	g.Expect(rank.Choose("s", list)).To(gomega.Equal(0))
}

// The load of a service that makes its control host late must not make all of them late
// one after the other.
func TestChooseBoundsTheHostsThatOneServiceMakesLate(t *testing.T) {
	g := gomega.NewWithT(t)
	list := ordered(6)
	late := 0
	for i := rank.Choose("s", list); i >= 0; i = rank.Choose("s", list) {
		list[i].Late = true
		late++
	}
	g.Expect(late).To(gomega.Equal(2))
}

func BenchmarkChoose(b *testing.B) {
	list := ordered(12)
	b.ReportAllocs()
	for b.Loop() {
		rank.Choose("s", list)
	}
}
