package feed_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/telem"
)

// interruptedServer is a control host that calls interrupt between the request of a
// follower and the first update.
type interruptedServer struct {
	*feed.Server
	interrupt func()
}

func (s *interruptedServer) Follow(r *peerpb.FollowRequest, stream peerpb.Fleet_FollowServer) error {
	s.interrupt()
	return s.Server.Follow(r, stream)
}

// Guards against a target that stays unknown to a follower, because it expired there
// after the control host had been told that the follower holds it.
func TestTargetThatExpiresDuringReconnectIsNotLost(t *testing.T) {
	g := gomega.NewWithT(t)
	control, state := feed.NewState(), feed.NewState()
	control.UpdateTargets(true, target("t", 2, member.Ready))
	old := target("t", 1, member.Ready)
	old.Heard = time.Now().Add(-roster.Lease / 2)
	state.UpdateTargets(false, old)

	l, err := net.Listen("tcp", "127.0.2.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := l.Addr().(*net.TCPAddr).AddrPort()
	server := peer.NewServer()
	peerpb.RegisterFleetServer(server, &interruptedServer{
		Server:    feed.NewServer(context.Background(), control, nil),
		interrupt: func() { state.Expire(time.Now().Add(roster.Lease)) },
	})
	go server.Serve(l)
	t.Cleanup(server.Stop)

	metrics := telem.NewRegistry()
	self := feed.Self{Host: "entry-1", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.2.99"), address.Port())}
	seeds := func() []netip.AddrPort { return []netip.AddrPort{address} }
	f := feed.NewFollower(state, self, seeds, peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	g.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(1))
	g.Eventually(states(state), waitTimeout).Should(gomega.Equal([]member.State{member.Ready}))
}

// Guards against a host that drops targets because it was frozen itself while their
// heartbeats arrived.
func TestStalledHostKeepsItsTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	state := feed.NewState()
	now := time.Now()
	state.UpdateTargets(false, target("t", 1, member.Ready))
	state.Expire(now)
	now = now.Add(2 * roster.Lease)
	state.Expire(now)
	g.Expect(state.Records("s")).To(gomega.HaveLen(1), "after the stall")
	for range int(2 * roster.Lease / time.Second) {
		now = now.Add(time.Second)
		state.Expire(now)
	}
	g.Expect(state.Records("s")).To(gomega.BeEmpty(), "a lease after the stall")
}
