package ctrl_test

import (
	"context"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

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
		gomega.Eventually(func() *peerpb.ConfirmReply { return s.confirm(1) }, planTimeout, pollPeriod).ShouldNot(gomega.BeNil())
		gomega.Consistently(func() uint64 { return s.confirm(1).GetEpoch() }, time.Second, pollPeriod).Should(gomega.BeZero())
		s.startHost(0, true)
		s.startHost(2, true)
		gomega.Eventually(func() uint64 { return s.confirm(1).GetPlanVersion() }, planTimeout, pollPeriod).Should(gomega.BeEquivalentTo(4))
	})

	// Guards against votes of a host that no longer is a member, and against a majority of
	// the former view beside one of the new view.
	ginkgo.It("names the view in which the host votes", func() {
		s := newTestFleet(3)
		for i := range 4 {
			s.startHost(i, true)
		}
		s.putPlan(1)
		gomega.Expect(s.confirm(3).GetEpoch()).To(gomega.BeZero(), "a host that does not vote")
		s.stopHost(2)
		gomega.Eventually(func() int {
			votes, _ := s.confirmations(4, 2, 1)
			return votes
		}, 10*time.Second, pollPeriod).Should(gomega.Equal(3))
		s.startHost(2, false)
		gomega.Eventually(func() *peerpb.ConfirmReply { return s.confirm(2) }, planTimeout, pollPeriod).ShouldNot(gomega.BeNil())
		gomega.Eventually(func() uint64 { return s.confirm(2).GetEpoch() }, planTimeout, pollPeriod).Should(gomega.BeZero())
		votes, _ := s.confirmations(4, 1, 0)
		gomega.Expect(votes).To(gomega.BeZero())
	})
})
