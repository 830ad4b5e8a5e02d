package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
)

func TestRoster(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Roster")
}

var (
	start = time.Unix(1000, 0)
	place = netip.MustParseAddrPort("10.0.0.1:80")
)

func target(id string, born, sequence int, state member.State) roster.Target {
	return roster.Target{
		ID: id, Service: "s", Address: place, Slots: 3, State: state,
		Born: start.Add(time.Duration(born) * time.Second), Sequence: uint64(sequence), Heard: start,
	}
}

func usable(t *roster.Table) []string {
	var names []string
	for _, r := range t.Service(nil, "s") {
		names = append(names, r.Target+" "+r.State.String())
	}
	return names
}

var _ = ginkgo.Describe("A table of targets", func() {
	ginkgo.It("follows the sequence of one start", func() {
		t := roster.NewTable()
		gomega.Expect(t.Hear(target("a", 1, 5, member.Ready))).To(gomega.BeTrue())
		gomega.Expect(t.Hear(target("a", 1, 6, member.Ready))).To(gomega.BeFalse())
		gomega.Expect(t.Hear(target("a", 1, 7, member.Draining))).To(gomega.BeTrue())
		gomega.Expect(t.Hear(target("a", 1, 6, member.Ready))).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"a draining"}))
	})

	ginkgo.It("lets no heartbeat undo a departure", func() {
		t := roster.NewTable()
		t.Hear(target("a", 1, 5, member.Ready))
		gomega.Expect(t.Hear(roster.Target{ID: "a", State: member.Leaving, Heard: start})).To(gomega.BeTrue())
		gomega.Expect(t.Hear(target("a", 1, 9, member.Ready))).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.BeEmpty())
	})

	ginkgo.It("takes a later start under the same id", func() {
		t := roster.NewTable()
		t.Hear(target("a", 1, 50, member.Ready))
		t.Hear(target("a", 1, 51, member.Leaving))
		gomega.Expect(t.Hear(target("a", 2, 1, member.Ready))).To(gomega.BeTrue())
		gomega.Expect(t.Hear(target("a", 1, 99, member.Draining))).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"a ready"}))
	})

	ginkgo.It("gives an address to the target that started there last", func() {
		t := roster.NewTable()
		t.Hear(target("old", 1, 5, member.Ready))
		gomega.Expect(t.Hear(target("new", 2, 1, member.Ready))).To(gomega.BeTrue())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"new ready"}))
		// A heartbeat that a cut has delayed.
		gomega.Expect(t.Hear(target("old", 1, 6, member.Ready))).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"new ready"}))
	})

	ginkgo.It("forgets targets that are not heard", func() {
		t := roster.NewTable()
		t.Hear(target("a", 1, 1, member.Ready))
		gomega.Expect(t.Expire(nil, start.Add(roster.Lease))).To(gomega.BeEmpty())
		gomega.Expect(t.Expire(nil, start.Add(roster.Lease+1))).To(gomega.Equal([]string{"s"}))
		gomega.Expect(usable(t)).To(gomega.BeEmpty())
	})
})

// Hosts that hear the same words in any order, some twice, agree.
func TestTablesAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []roster.Target
		for i := range rapid.IntRange(1, 12).Draw(t, "words") {
			id := rapid.IntRange(0, 2).Draw(t, "id")
			born := rapid.IntRange(0, 2).Draw(t, "born")
			w := target(fmt.Sprint(id), 10*born+id, i, rapid.SampledFrom([]member.State{member.Ready, member.Draining, member.Leaving}).Draw(t, "state"))
			w.Address = netip.AddrPortFrom(place.Addr(), uint16(80+id))
			words = append(words, w)
		}
		one, two := roster.NewTable(), roster.NewTable()
		for _, w := range words {
			one.Hear(w)
		}
		for _, i := range rapid.Permutation(indices(len(words))).Draw(t, "order") {
			two.Hear(words[i])
			two.Hear(words[rapid.IntRange(0, len(words)-1).Draw(t, "again")])
		}
		for _, w := range words {
			two.Hear(w)
		}
		if a, b := fmt.Sprint(usable(one)), fmt.Sprint(usable(two)); a != b {
			t.Fatalf("%s differs from %s after %v", a, b, words)
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func BenchmarkHear(b *testing.B) {
	t := roster.NewTable()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t.Hear(target("a", 1, i, member.Ready))
	}
}
