package ctrl_test

import (
	"context"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

// confirm asks host i which plan it has accepted. It returns nil without an answer.
func (s *testFleet) confirm(i int) *peerpb.ConfirmReply {
	conn, err := peer.Dial(netip.AddrPortFrom(s.address(i), s.ports[0].Port()))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := peerpb.NewFleetClient(conn).Confirm(ctx, &peerpb.ConfirmRequest{Host: "entry-1"})
	if err != nil {
		return nil
	}
	return reply
}

// confirmations returns how many of the hosts 0 to n-1 vote in the epoch, and how many of
// these say that they have accepted the version.
func (s *testFleet) confirmations(n int, epoch, version uint64) (votes, versions int) {
	for i := range n {
		reply := s.confirm(i)
		if reply.GetEpoch() != epoch || reply.GetEnded() {
			continue
		}
		votes++
		if reply.GetPlanVersion() >= version {
			versions++
		}
	}
	return votes, versions
}

// votingView waits until the running ones of the hosts 0 to n-1 know the same view, its
// three members vote in it and the others do not vote, and returns the view, which is later
// than the given epoch. No host may vote in a view that it is not a member of meanwhile.
func (s *testFleet) votingView(n int, after uint64) feed.View {
	var view feed.View
	learnViews := func() {
		for _, r := range s.hosts {
			view = r.host.View()
			s.views[view.Epoch] = view
		}
	}
	gomega.EventuallyWithOffset(1, func() (votes int) {
		learnViews()
		replies := make([]*peerpb.ConfirmReply, n)
		for i := range replies {
			replies[i] = s.confirm(i)
		}
		learnViews() // A host votes in a view once it has learnt it.
		agreed := view.Epoch > after
		for i, reply := range replies {
			r, running := s.hosts[i]
			if !running {
				continue
			}
			agreed = agreed && reply != nil && r.host.View().Epoch == view.Epoch
			if epoch := reply.GetEpoch(); epoch != 0 {
				voted := s.views[epoch]
				gomega.ExpectWithOffset(2, voted.Has(s.address(i))).To(gomega.BeTrue(), "host %d votes in view %d, which is that of %v", i, epoch, voted.Names())
				agreed = agreed && epoch == view.Epoch && !reply.GetEnded()
				votes++
			}
		}
		if !agreed {
			return 0
		}
		return votes
	}).WithContext(within(10 * time.Second)).WithPolling(pollPeriod).Should(gomega.Equal(3))
	return view
}

var _ = ginkgo.Describe("The confirmation of a plan", func() {
	// Guards against a majority that denies an acknowledged plan: entry hosts would accept
	// the keys that it withdraws for as long as they have an older one.
	ginkgo.It("names the plan at a majority as soon as the plan is acknowledged", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		for version := uint64(1); version <= 20; version++ {
			s.putPlan(version)
			_, versions := s.confirmations(3, 1, version)
			gomega.Expect(versions).To(gomega.BeNumerically(">=", 2), "version %d", version)
		}
	})

	// Guards against answers of a host that has lost its votes: with its disk, it has lost
	// the plan that a majority had with it.
	ginkgo.It("is no vote of a host that recovers", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		s.putPlan(4)
		for i := range 3 {
			s.stopHost(i)
		}
		s.wipeDisk(1)
		s.startHost(1, true)
		gomega.Eventually(func() *peerpb.ConfirmReply { return s.confirm(1) }).WithContext(within(planTimeout)).WithPolling(pollPeriod).ShouldNot(gomega.BeNil())
		gomega.Consistently(func() uint64 { return s.confirm(1).GetEpoch() }, time.Second, pollPeriod).Should(gomega.BeZero())
		s.startHost(0, true)
		s.startHost(2, true)
		gomega.Eventually(func() uint64 { return s.confirm(1).GetPlanVersion() }).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.BeEquivalentTo(4))
	})

	// Guards against votes of a host that no longer is a member, and against a majority of
	// the former view beside one of the new view. A machine that runs a host only after some
	// seconds ends a view too, so that the views are those that the hosts agree on.
	ginkgo.It("names the view in which the host votes", func() {
		s := newTestFleet(3)
		for i := range 4 {
			s.startHost(i, true)
		}
		s.putPlan(1)
		former := s.votingView(4, 0)
		member := 2
		for !former.Has(s.address(member)) {
			member--
		}
		s.stopHost(member)
		next := s.votingView(4, former.Epoch)
		s.startHost(member, false)
		gomega.Eventually(func() *peerpb.ConfirmReply { return s.confirm(member) }).WithContext(within(planTimeout)).WithPolling(pollPeriod).ShouldNot(gomega.BeNil())
		s.votingView(4, next.Epoch-1)
		votes, _ := s.confirmations(4, former.Epoch, 0)
		gomega.Expect(votes).To(gomega.BeZero())
	})
})
