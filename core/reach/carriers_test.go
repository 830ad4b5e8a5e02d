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
	c.Update(list, epoch)
	return c, rand.New(rand.NewPCG(1, 1))
}

func TestCallsSpreadOverCarriersNearestFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	c, rng := newTestCarriers(near(1), near(2), far(3))
	counts := make(map[netip.AddrPort]int)
	for range 3 {
		k, ok := c.Begin(address(9), nil, epoch, rng)
		g.Expect(ok).To(gomega.BeTrue())
		counts[k]++
	}
	g.Expect(counts).To(gomega.HaveLen(3), "each has one call in flight")
	for k := range counts {
		c.End(k, address(9), Carried, epoch)
	}
	first, _ := c.Begin(address(9), nil, epoch, rng)
	second, _ := c.Begin(address(9), nil, epoch, rng)
	g.Expect([]netip.AddrPort{first, second}).To(gomega.ConsistOf(address(1), address(2)))
}

func TestCarrierThatFailsIsAvoidedForLongerEachTime(t *testing.T) {
	g := gomega.NewWithT(t)
	c, rng := newTestCarriers(near(1), far(2))
	now := epoch
	for _, avoidance := range []time.Duration{minAvoidance, 2 * minAvoidance, 4 * minAvoidance, maxAvoidance, maxAvoidance} {
		k, _ := c.Begin(address(9), nil, now, rng)
		g.Expect(k).To(gomega.Equal(address(1)))
		c.End(k, address(9), NotTaken, now)
		for _, d := range []time.Duration{0, avoidance - 1} {
			k, _ = c.Begin(address(9), nil, now.Add(d), rng)
			g.Expect(k).To(gomega.Equal(address(2)))
			c.End(k, address(8), Carried, now.Add(d))
		}
		now = now.Add(avoidance)
	}
	k, _ := c.Begin(address(9), nil, now, rng)
	c.End(k, address(9), Carried, now)
	k, _ = c.Begin(address(9), nil, now, rng)
	c.End(k, address(9), NotTaken, now)
	k, _ = c.Begin(address(9), nil, now.Add(minAvoidance), rng)
	g.Expect(k).To(gomega.Equal(address(1)), "a carried call ends the count")
}

func TestAvoidedCarriersAreUsedWhenNoOthersAreLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	c, rng := newTestCarriers(near(1), far(2))
	c.Avoid(address(1), epoch)
	k, ok := c.Begin(address(9), []netip.AddrPort{address(2)}, epoch, rng)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(k).To(gomega.Equal(address(1)))
	_, ok = c.Begin(address(9), []netip.AddrPort{address(1), address(2)}, epoch, rng)
	g.Expect(ok).To(gomega.BeFalse())
}

func TestShortListDoesNotRemoveCarriers(t *testing.T) {
	g := gomega.NewWithT(t)
	c, rng := newTestCarriers(near(1), near(2))
	c.Update(nil, epoch.Add(time.Second))
	g.Expect(c.Len()).To(gomega.Equal(2), "a host that has just started lists none")
	c.Update([]Carrier{near(2)}, epoch.Add(carrierMemory))
	c.Update([]Carrier{near(2)}, epoch.Add(carrierMemory+1))
	g.Expect(c.Len()).To(gomega.Equal(1))
	k, _ := c.Begin(address(9), nil, epoch.Add(carrierMemory+1), rng)
	g.Expect(k).To(gomega.Equal(address(2)))
	c.End(address(1), address(9), Carried, epoch.Add(carrierMemory+1))
	c.Update([]Carrier{near(1)}, epoch.Add(carrierMemory+2))
	g.Expect(c.Len()).To(gomega.Equal(2), "a carrier that ended a call after its removal comes back")
}

func TestCarrierThatDoesNotReachATargetIsUsedForOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	c, rng := newTestCarriers(near(1), far(2))
	k, _ := c.Begin(address(9), nil, epoch, rng)
	g.Expect(k).To(gomega.Equal(address(1)))
	c.End(k, address(9), NotReached, epoch)
	for _, row := range []struct {
		target  byte
		after   time.Duration
		carrier byte
	}{{9, 0, 2}, {8, 0, 1}, {9, sightingMemory, 1}} {
		k, _ = c.Begin(address(row.target), nil, epoch.Add(row.after), rng)
		g.Expect(k).To(gomega.Equal(address(row.carrier)), "target %d after %v", row.target, row.after)
		c.End(k, address(7), Carried, epoch.Add(row.after))
	}
}

func BenchmarkBegin(b *testing.B) {
	var list []Carrier
	for i := range 120 {
		list = append(list, near(byte(i)))
	}
	c, rng := newTestCarriers(list...)
	for range b.N {
		k, _ := c.Begin(address(9), nil, epoch, rng)
		c.End(k, address(9), Carried, epoch)
	}
}
