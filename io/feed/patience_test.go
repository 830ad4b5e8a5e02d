package feed_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/telem"
)

// busyControl is a control host that is too busy to send anything.
type busyControl struct {
	peerpb.UnimplementedFleetServer
	requests atomic.Int64
}

func (b *busyControl) Follow(_ *peerpb.FollowRequest, stream peerpb.Fleet_FollowServer) error {
	b.requests.Add(1)
	<-stream.Context().Done()
	return nil
}

// Each request to follow costs a busy control host more than the updates that are
// missing, so followers ask less and less often.
func TestFollowerAsksBusyControlHostLessOften(t *testing.T) {
	const (
		watched = 9 * time.Second
		allowed = 3 // 1.6, 3.2 and 6.4 s apart, and not five times 1.6 s.
	)
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	busy, server := &busyControl{}, peer.NewServer()
	peerpb.RegisterFleetServer(server, busy)
	go server.Serve(l)
	defer server.Stop()
	address := l.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithTimeout(context.Background(), watched)
	defer cancel()
	metrics := telem.NewRegistry()
	f := feed.NewFollower(feed.NewState(), feed.Self{Host: "h", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), address.Port())},
		func() []netip.AddrPort { return []netip.AddrPort{address} }, peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")})
	f.Run(ctx)
	g.Expect(busy.requests.Load()).To(gomega.And(gomega.BeNumerically(">=", 2), gomega.BeNumerically("<=", allowed)))
}
