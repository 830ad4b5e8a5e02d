package rank_test

import (
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/rank"
)

// testHosts returns n addresses.
func testHosts(n int) []netip.AddrPort {
	hosts := make([]netip.AddrPort, 0, n)
	for i := range n {
		hosts = append(hosts, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000))
	}
	return hosts
}

func TestPositionsAreAPermutation(t *testing.T) {
	g := gomega.NewWithT(t)
	hosts := testHosts(12)
	rng := rand.New(rand.NewPCG(1, 2))
	for s := range 200 {
		service, seen, sum := "s"+strconv.Itoa(s), make(map[int]bool), 0.0
		rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		for _, host := range hosts {
			p := rank.Position(service, host, hosts)
			g.Expect(p).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<", len(hosts))))
			seen[p] = true
			sum += rank.Share(p)
		}
		g.Expect(seen).To(gomega.HaveLen(len(hosts)))
		g.Expect(sum).To(gomega.BeNumerically("<", 1))
	}
}

func TestFirstPositionsAreSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	hosts, first := testHosts(6), make(map[netip.AddrPort]int)
	for s := range 600 {
		for _, host := range hosts {
			if rank.Position("service "+strconv.Itoa(s), host, hosts) == 0 {
				first[host]++
			}
		}
	}
	for _, host := range hosts {
		g.Expect(first[host]).To(gomega.BeNumerically("~", 100, 40))
	}
}

func TestPositionCountsTheHostItselfOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	hosts := testHosts(5)
	for _, host := range hosts {
		with := rank.Position("s", host, hosts)
		var others []netip.AddrPort
		for _, other := range hosts {
			if other != host {
				others = append(others, other)
			}
		}
		g.Expect(rank.Position("s", host, others)).To(gomega.Equal(with))
	}
}

// Hosts of different versions must compute the same order.
func TestScoreIsFNV(t *testing.T) {
	g := gomega.NewWithT(t)
	for i, host := range testHosts(20) {
		service := "service " + strconv.Itoa(i)
		h := fnv.New64a()
		h.Write([]byte(service + "\n" + host.String()))
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		g.Expect(rank.Score(service, host)).To(gomega.Equal(x))
	}
}

func BenchmarkPosition(b *testing.B) {
	hosts := testHosts(12)
	b.ReportAllocs()
	for b.Loop() {
		rank.Position("agenda", hosts[3], hosts)
	}
}
