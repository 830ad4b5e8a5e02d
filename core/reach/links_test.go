package reach

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 80)
}

func TestLinkThatRefusesKeepsItsOpenConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLinks()
	g.Expect(l.Way(address(1))).To(gomega.Equal(Way{Dial: true}))
	l.Lose(address(1), true, at(time.Second))
	g.Expect(l.Way(address(1))).To(gomega.Equal(Way{}))
	l.Heard(address(1), at(2*time.Second))
	g.Expect(l.Way(address(1))).To(gomega.Equal(Way{}), "an answer on an open connection shows nothing of new ones")
	l.Opened(address(1), at(3*time.Second))
	g.Expect(l.Way(address(1))).To(gomega.Equal(Way{Dial: true}))
}

func TestSilentLinkUsesOnlyConnectionsHeardLater(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLinks()
	l.Lose(address(1), false, at(time.Second))
	g.Expect(l.Way(address(1))).To(gomega.Equal(Way{HeardAfter: at(time.Second)}))
	l.Heard(address(1), at(time.Second/2))
	g.Expect(l.Lost(address(1))).To(gomega.BeTrue(), "heard before the loss")
	l.Heard(address(1), at(2*time.Second))
	g.Expect(l.Lost(address(1))).To(gomega.BeFalse())
}

func TestHostIsCutOffWhenSeveralLinksAreLostAndNoTargetIsHeard(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLinks()
	l.Heard(address(3), at(0))
	l.Lose(address(1), false, at(1*time.Second))
	g.Expect(l.CutOff()).To(gomega.BeFalse(), "one target may be gone")
	l.Heard(address(3), at(2*time.Second))
	l.Lose(address(2), false, at(3*time.Second))
	g.Expect(l.CutOff()).To(gomega.BeFalse(), "a target was heard in between")
	l.Lose(address(4), false, at(4*time.Second))
	g.Expect(l.CutOff()).To(gomega.BeTrue())
	g.Expect(l.Way(address(3))).To(gomega.Equal(Way{HeardAfter: at(4 * time.Second)}))
	l.Opened(address(3), at(5*time.Second))
	g.Expect(l.CutOff()).To(gomega.BeFalse())
	g.Expect(l.Way(address(3))).To(gomega.Equal(Way{Dial: true}))
	g.Expect(l.Lost(address(4))).To(gomega.BeTrue(), "each link shows by itself that it works")
}

func TestLostLinksAreCheckedAtGrowingIntervals(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLinks()
	g.Expect(l.ClaimCheck(address(1), at(0))).To(gomega.BeFalse(), "a sound link")
	l.Lose(address(1), false, at(0))
	checks := 0
	for now := time.Duration(0); now <= 10*time.Second; now += 10 * time.Millisecond {
		if l.ClaimCheck(address(1), at(now)) {
			checks++
		}
	}
	g.Expect(checks).To(gomega.BeNumerically("~", 11, 1))
}

func TestLinkLostOnlyByTheCutOfItsHostIsCheckedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLinks()
	l.Lose(address(1), false, at(0))
	l.Lose(address(2), false, at(0))
	g.Expect(l.ClaimCheck(address(3), at(time.Millisecond))).To(gomega.BeTrue())
	g.Expect(l.ClaimCheck(address(3), at(2*time.Millisecond))).To(gomega.BeFalse())
}

func BenchmarkWay(b *testing.B) {
	l := NewLinks()
	for i := range 200 {
		l.Lose(address(byte(i)), i%2 == 0, at(0))
	}
	for i := range b.N {
		l.Way(address(byte(i)))
	}
}
