package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/route"
)

func records(n int) []member.Record {
	list := make([]member.Record, n)
	for i := range list {
		list[i] = member.Record{
			Key:     member.Key{Service: "s", Target: fmt.Sprintf("t%d", i)},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
			State:   member.Ready,
		}
	}
	return list
}

func TestLeastOutstandingSpreadsCallsEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var table route.Table
	table.Update(records(5))
	counts := map[string]int{}
	for range 50 {
		pick, ok := table.Choose(route.LeastOutstanding{}, 100, nil, rng)
		g.Expect(ok).To(gomega.BeTrue())
		table.Begin(pick.Name)
		counts[pick.Name]++
	}
	for _, n := range counts {
		g.Expect(n).To(gomega.Equal(10))
	}
}

func TestChooseLeavesOutUnreadyFullAndExcludedTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	list := records(4)
	list[0].State = member.Draining
	var table route.Table
	table.Update(list)
	table.Begin("t1")
	for _, policy := range []route.Policy{route.LeastOutstanding{}, route.TwoChoices{}} {
		for range 20 {
			pick, ok := table.Choose(policy, 1, []string{"t2"}, rng)
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(pick.Name).To(gomega.Equal("t3"))
		}
		_, ok := table.Choose(policy, 1, []string{"t2", "t3"}, rng)
		g.Expect(ok).To(gomega.BeFalse())
	}
}

func BenchmarkLeastOutstanding(b *testing.B) {
	for _, n := range []int{10, 100, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			var table route.Table
			table.Update(records(n))
			b.ReportAllocs()
			for b.Loop() {
				pick, _ := table.Choose(route.LeastOutstanding{}, 1<<30, nil, rng)
				table.Begin(pick.Name)
			}
		})
	}
}
