package feed_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/telem"
)

// countUpdates follows a control host as an entry host does and counts the states and
// the renewals of targets that it sends.
func countUpdates(address netip.AddrPort) (states, renewals *atomic.Int64) {
	states, renewals = new(atomic.Int64), new(atomic.Int64)
	conn, err := peer.Dial(address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(func() {
		cancel()
		conn.Close()
	})
	stream, err := peerpb.NewFleetClient(conn).Follow(ctx, &peerpb.FollowRequest{Host: "e", Entry: "127.0.0.9:1", FetchesPlan: true})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		for {
			u, recvErr := stream.Recv()
			if recvErr != nil {
				return
			}
			states.Add(int64(len(u.GetTargets())))
			renewals.Add(int64(len(u.GetHeard())))
		}
	}()
	return states, renewals
}

// Targets that are not answered in time announce themselves to the next control host.
// Each of them would be sent to all entry hosts once more, by hosts that are too busy.
var _ = ginkgo.Describe("Targets that change from one control host to another", func() {
	ginkgo.It("are not sent again while the first one relays them", func() {
		s := newControls(2)
		s[0].UpdateTargets(true, target("t", 1, member.Ready))
		metrics := telem.NewRegistry()
		self := feed.Self{Host: "control-2", Peer: s[1].address, Control: true}
		second := feed.NewFollower(s[1].State, self, func() []netip.AddrPort { return []netip.AddrPort{s[0].address} },
			peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")})
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go second.Run(ctx)
		gomega.Eventually(func() int { return len(s[1].Targets()) }, waitTimeout).Should(gomega.Equal(1))

		states, renewals := countUpdates(s[1].address)
		for sequence := range uint64(5) {
			s[1].UpdateTargets(true, target("t", 2+sequence, member.Ready))
			time.Sleep(100 * time.Millisecond)
		}
		gomega.Expect(states.Load()).To(gomega.BeZero())
		gomega.Eventually(renewals.Load, 2*waitTimeout).Should(gomega.BeNumerically(">=", 1), "its lease is renewed from here")

		s[0].stop()
		gomega.Eventually(func() int64 {
			s[1].UpdateTargets(true, target("t", 10, member.Ready))
			return states.Load()
		}, waitTimeout, 100*time.Millisecond).Should(gomega.BeEquivalentTo(1), "no other host relays it any more")
	})
})
