package reach

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// near and far return carriers in the data centre of the host and elsewhere.
func near(n byte) Carrier { return Carrier{Address: address(n), DataCentre: "near"} }
func far(n byte) Carrier  { return Carrier{Address: address(n), DataCentre: "far"} }

func newTestCarriers(list ...Carrier) (*Carriers, *rand.Rand) {
	c := NewCarriers("near")
	c.Update(list)
	return c, rand.New(rand.NewPCG(1, 1))
}

func TestCallsSpreadOverCarriersNearestFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	c, rng := newTestCarriers(near(1), near(2), far(3))
	counts := make(map[netip.AddrPort]int)
	for range 3 {
		k, ok := c.Begin(nil, epoch, rng)
		g.Expect(ok).To(gomega.BeTrue())
		counts[k]++
	}
	g.Expect(counts).To(gomega.HaveLen(3), "each has one call in flight")
	for k := range counts {
		c.End(k, false, epoch)
	}
	first, _ := c.Begin(nil, epoch, rng)
	second, _ := c.Begin(nil, epoch, rng)
	g.Expect([]netip.AddrPort{first, second}).To(gomega.ConsistOf(address(1), address(2)))
}

func TestCarrierThatFailsIsAvoidedForLongerEachTime(t *testing.T) {
	g := gomega.NewWithT(t)
	c, rng := newTestCarriers(near(1), far(2))
	now := epoch
	for _, avoidance := range []time.Duration{minAvoidance, 2 * minAvoidance, 4 * minAvoidance, maxAvoidance, maxAvoidance} {
		k, _ := c.Begin(nil, now, rng)
		g.Expect(k).To(gomega.Equal(address(1)))
		c.End(k, true, now)
		for _, d := range []time.Duration{0, avoidance - 1} {
			k, _ = c.Begin(nil, now.Add(d), rng)
			g.Expect(k).To(gomega.Equal(address(2)))
			c.End(k, false, now.Add(d))
		}
		now = now.Add(avoidance)
	}
	k, _ := c.Begin(nil, now, rng)
	c.End(k, false, now)
	k, _ = c.Begin(nil, now, rng)
	c.End(k, true, now)
	k, _ = c.Begin(nil, now.Add(minAvoidance), rng)
	g.Expect(k).To(gomega.Equal(address(1)), "a carried call ends the count")
}

func TestAvoidedCarriersAreUsedWhenNoOthersAreLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	c, rng := newTestCarriers(near(1), far(2))
	c.Avoid(address(1), epoch)
	k, ok := c.Begin([]netip.AddrPort{address(2)}, epoch, rng)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(k).To(gomega.Equal(address(1)))
	_, ok = c.Begin([]netip.AddrPort{address(1), address(2)}, epoch, rng)
	g.Expect(ok).To(gomega.BeFalse())
}

func BenchmarkBegin(b *testing.B) {
	var list []Carrier
	for i := range 120 {
		list = append(list, near(byte(i)))
	}
	c, rng := newTestCarriers(list...)
	for range b.N {
		k, _ := c.Begin(nil, epoch, rng)
		c.End(k, false, epoch)
	}
}
