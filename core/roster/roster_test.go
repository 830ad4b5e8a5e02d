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
	start   = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("10.0.0.1:80")
)

// target returns a report; born is in seconds after start.
func target(id string, born, sequence int, state member.State) roster.Target {
	return roster.Target{
		ID: id, Service: "s", Address: address, Slots: 3, State: state,
		Born: start.Add(time.Duration(born) * time.Second), Sequence: uint64(sequence), Heard: start,
	}
}

// usable returns the IDs and states of the targets that have not departed.
func usable(t *roster.Table) []string {
	var names []string
	for _, r := range t.Records(nil, "s") {
		names = append(names, r.Target+" "+r.State.String())
	}
	return names
}

var _ = ginkgo.Describe("A table of targets", func() {
	ginkgo.It("orders the reports of one start by sequence number", func() {
		t := roster.NewTable()
		gomega.Expect(t.Merge(target("a", 1, 5, member.Ready))).To(gomega.BeTrue())
		gomega.Expect(t.Merge(target("a", 1, 6, member.Ready))).To(gomega.BeFalse())
		gomega.Expect(t.Merge(target("a", 1, 7, member.Draining))).To(gomega.BeTrue())
		gomega.Expect(t.Merge(target("a", 1, 6, member.Ready))).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"a draining"}))
	})

	ginkgo.It("ignores heartbeats after a departure", func() {
		t := roster.NewTable()
		t.Merge(target("a", 1, 5, member.Ready))
		gomega.Expect(t.Merge(roster.Target{ID: "a", State: member.Leaving, Heard: start})).To(gomega.BeTrue())
		gomega.Expect(t.Merge(target("a", 1, 9, member.Ready))).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.BeEmpty())
	})

	ginkgo.It("replaces a target by a later start with the same ID", func() {
		t := roster.NewTable()
		t.Merge(target("a", 1, 50, member.Ready))
		t.Merge(target("a", 1, 51, member.Leaving))
		gomega.Expect(t.Merge(target("a", 2, 1, member.Ready))).To(gomega.BeTrue())
		gomega.Expect(t.Merge(target("a", 1, 99, member.Draining))).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"a ready"}))
	})

	ginkgo.It("brings back an expired target by a renewal, unless its address is taken", func() {
		now := start.Add(roster.Lease + time.Second)
		expired := func() *roster.Table {
			t := roster.NewTable()
			t.Merge(target("a", 1, 5, member.Ready))
			gomega.Expect(t.Expire(nil, now)).To(gomega.Equal([]string{"s"}))
			gomega.Expect(usable(t)).To(gomega.BeEmpty())
			return t
		}
		t := expired()
		gomega.Expect(t.Renew("a", 4, now, now)).To(gomega.BeFalse(), "older report")
		gomega.Expect(t.Renew("a", 6, start, now)).To(gomega.BeFalse(), "lease over again")
		gomega.Expect(t.Renew("a", 6, now, now)).To(gomega.BeTrue())
		gomega.Expect(t.Renew("a", 7, now, now)).To(gomega.BeFalse(), "not expired any more")
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"a ready"}))
		gomega.Expect(t.Merge(target("b", 2, 1, member.Ready))).To(gomega.BeTrue())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"b ready"}))

		t = expired()
		t.Merge(target("b", 0, 1, member.Ready))
		gomega.Expect(t.Renew("a", 6, now, now)).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"b ready"}))

		t = expired()
		later := now.Add(5 * time.Minute)
		t.Expire(nil, later)
		gomega.Expect(t.Renew("a", 6, later, later)).To(gomega.BeFalse())
	})

	ginkgo.It("does not bring back a target that departed", func() {
		t := roster.NewTable()
		t.Merge(target("a", 1, 5, member.Leaving))
		later := start.Add(2 * roster.DepartureTime)
		t.Expire(nil, later)
		gomega.Expect(t.Renew("a", 6, later, later)).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.BeEmpty())
	})

	ginkgo.It("assigns an address to the target that started there last", func() {
		t := roster.NewTable()
		t.Merge(target("old", 1, 5, member.Ready))
		gomega.Expect(t.Merge(target("new", 2, 1, member.Ready))).To(gomega.BeTrue())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"new ready"}))
		// A heartbeat delayed by a network partition.
		gomega.Expect(t.Merge(target("old", 1, 6, member.Ready))).To(gomega.BeFalse())
		gomega.Expect(usable(t)).To(gomega.Equal([]string{"new ready"}))
	})

	ginkgo.It("removes targets without heartbeats", func() {
		t := roster.NewTable()
		t.Merge(target("a", 1, 1, member.Ready))
		gomega.Expect(t.Expire(nil, start.Add(roster.Lease))).To(gomega.BeEmpty())
		gomega.Expect(t.Expire(nil, start.Add(roster.Lease+1))).To(gomega.Equal([]string{"s"}))
		gomega.Expect(usable(t)).To(gomega.BeEmpty())
	})
})

// Two tables that receive the same reports in different orders, one of them with
// repetitions, hold the same targets that have not departed.
func TestTablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []roster.Target
		for i := range rapid.IntRange(1, 12).Draw(t, "words") {
			id := rapid.IntRange(0, 2).Draw(t, "id")
			born := rapid.IntRange(0, 2).Draw(t, "born")
			r := target(fmt.Sprint(id), 10*born+id, i, rapid.SampledFrom([]member.State{member.Ready, member.Draining, member.Leaving}).Draw(t, "state"))
			r.Address = netip.AddrPortFrom(address.Addr(), uint16(80+id))
			reports = append(reports, r)
		}
		one, two := roster.NewTable(), roster.NewTable()
		for _, r := range reports {
			one.Merge(r)
		}
		for _, i := range rapid.Permutation(indices(len(reports))).Draw(t, "order") {
			two.Merge(reports[i])
			two.Merge(reports[rapid.IntRange(0, len(reports)-1).Draw(t, "again")])
		}
		for _, r := range reports {
			two.Merge(r)
		}
		if a, b := fmt.Sprint(usable(one)), fmt.Sprint(usable(two)); a != b {
			t.Fatalf("%s differs from %s after %v", a, b, reports)
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

func BenchmarkMerge(b *testing.B) {
	t := roster.NewTable()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t.Merge(target("a", 1, i, member.Ready))
	}
}
