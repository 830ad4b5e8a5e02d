package feed

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
)

// Hosts of different versions compare digests.
func TestDigestKeepsItsValue(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, target := range []roster.Target{
		{},
		{ID: "t", Service: "s", DataCentre: "a", Slots: 3, State: member.Ready, Born: time.UnixMilli(1787853841000), Address: netip.MustParseAddrPort("10.1.0.15:8644")},
		{ID: "t", State: member.Leaving, Address: netip.MustParseAddrPort("[::1]:80")},
	} {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %s %s %s %d %d %d", target.ID, target.Service, target.DataCentre, target.Address, target.Slots, target.State, target.Born.UnixMilli())
		g.Expect(digest(target)).To(gomega.Equal(h.Sum64()))
	}
}

func BenchmarkDigest(b *testing.B) {
	target := roster.Target{ID: "i-9abcb4e459", Service: "agenda-banco", DataCentre: "occ-a", Slots: 3, State: member.Ready, Born: time.UnixMilli(1787853841000), Address: netip.MustParseAddrPort("10.1.0.15:8644")}
	b.ReportAllocs()
	for b.Loop() {
		digest(target)
	}
}
