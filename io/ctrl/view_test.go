package ctrl

import (
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/quorum"
	"cardamomspool/io/feed"
)

// members returns a member for each number n, at the address 10.0.0.n and with the
// disk identity n.
func members(numbers ...byte) []feed.Member {
	var list []feed.Member
	for _, n := range numbers {
		list = append(list, feed.Member{Host: netip.AddrFrom4([4]byte{10, 0, 0, n}), Disk: uint64(n)})
	}
	return list
}

// hosts returns the addresses of the members with the given numbers.
func hosts(numbers ...byte) []netip.Addr {
	var list []netip.Addr
	for _, m := range members(numbers...) {
		list = append(list, m.Host)
	}
	return list
}

var _ = ginkgo.DescribeTable("A voting host counts as lost",
	func(silence, viewAge time.Duration, want bool) {
		now := time.Unix(1000, 0)
		p := quorum.PeerStatus{Host: "10.0.0.1"}
		if silence > 0 {
			p.LastContact = now.Add(-silence)
		}
		gomega.Expect(isLost(p, now.Add(-viewAge), now)).To(gomega.Equal(want))
	},
	ginkgo.Entry("after the timeout", lostTimeout+1, time.Minute, true),
	ginkgo.Entry("not before the timeout", lostTimeout, time.Minute, false),
	ginkgo.Entry("not in a view that was entered just now", time.Duration(0), 50*time.Millisecond, false),
	ginkgo.Entry("when it was never in contact in a view", time.Duration(0), lostTimeout+1, true),
)

var _ = ginkgo.DescribeTable("The members of the next view",
	func(present []feed.Member, lost []netip.Addr, candidates, want []feed.Member) {
		next := nextMembers(feed.View{Epoch: 1, Members: present}, lost, candidates)
		gomega.Expect(next).To(gomega.Equal(want))
	},
	ginkgo.Entry("stay when no host was lost", members(1, 2, 3), hosts(), members(), nil),
	ginkgo.Entry("stay odd when one host could join", members(1, 2, 3), hosts(), members(4), nil),
	ginkgo.Entry("grow by two", members(1, 2, 3), hosts(), members(4, 5), members(1, 2, 3, 4, 5)),
	ginkgo.Entry("grow by four", members(1, 2, 3), hosts(), members(7, 6, 5, 4), members(1, 2, 3, 4, 5, 6, 7)),
	ginkgo.Entry("stay at the maximum number", members(1, 2, 3, 4, 5, 6, 7), hosts(), members(8, 9), nil),
	ginkgo.Entry("grow from one", members(1), hosts(), members(2, 3), members(1, 2, 3)),
	ginkgo.Entry("grow from an even number to an odd one", members(1, 2), hosts(), members(3), members(1, 2, 3)),
	ginkgo.Entry("replace a lost host", members(1, 2, 3), hosts(3), members(4), members(1, 2, 4)),
	ginkgo.Entry("keep a lost host that none can replace", members(1, 2, 3), hosts(3), members(), nil),
	ginkgo.Entry("ignore a lost host that is not a member", members(1, 2, 4), hosts(3), members(3), nil),
)
