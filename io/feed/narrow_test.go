package feed_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/internal/sample"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/telem"
)

// link is a network link of limited bandwidth that several connections share. Its
// queue is not limited.
type link struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time // When all bytes so far have been sent.
}

const (
	// planApplyTimeout is the time within which a confirmed plan must be in force.
	planApplyTimeout = 2 * time.Second
	// narrowLink is the bandwidth of an entry host's link, in bytes a second: 2 Mbit/s.
	narrowLink = 2e6 / 8
	manyRoutes = 1400
)

// send waits until n bytes have been sent.
func (l *link) send(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// relay accepts connections at from and connects them to to. What it passes back from
// there goes over the link.
func (l *link) relay(t *testing.T, from, to netip.AddrPort) {
	listener, err := net.Listen("tcp", from.String())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	pass := func(dst, src net.Conn, send func(int)) {
		defer dst.Close()
		buf := make([]byte, 1500)
		for {
			n, err := src.Read(buf)
			send(n)
			if _, writeErr := dst.Write(buf[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				in.Close()
				continue
			}
			go pass(out, in, func(int) {})
			go pass(in, out, l.send)
		}
	}()
}

// newNarrowFollower runs a follower of n control hosts behind a narrow link. It returns
// the follower and its state, and the states of the control hosts.
func newNarrowFollower(t *testing.T, n int) (*feed.Follower, *feed.State, []*feed.State) {
	g := gomega.NewWithT(t)
	var (
		controls []*feed.State
		seeds    []netip.AddrPort
		view     = feed.View{Epoch: 1}
	)
	narrow := &link{bytesPerSecond: narrowLink}
	port := uint16(0)
	for i := range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 4, byte(i + 1)}), port).String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		address := l.Addr().(*net.TCPAddr).AddrPort()
		port = address.Port()
		state := feed.NewState()
		server := peer.NewServer()
		peerpb.RegisterFleetServer(server, feed.NewServer(context.Background(), state, nil))
		go server.Serve(l)
		t.Cleanup(server.Stop)
		seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 5, byte(i + 1)}), port)
		narrow.relay(t, seed, address)
		controls, seeds = append(controls, state), append(seeds, seed)
		view.Members = append(view.Members, feed.Member{Host: seed.Addr()})
	}
	for _, state := range controls {
		state.SetView(view)
	}
	state, metrics := feed.NewState(), telem.NewRegistry()
	self := feed.Self{Host: "entry-1", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.5.99"), port)}
	f := feed.NewFollower(state, self, func() []netip.AddrPort { return seeds }, peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f, state, controls
}

// Guards against plans that are late at hosts behind narrow links, because every control
// host sends its own copy.
func TestLargePlanIsInForceInTimeBehindNarrowLink(t *testing.T) {
	g := gomega.NewWithT(t)
	const hosts, changes = 7, 5
	f, state, controls := newNarrowFollower(t, hosts)
	g.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(hosts))
	for i := range uint64(changes) {
		for _, c := range controls {
			c.SetPlan(sample.Plan(i+1, manyRoutes))
		}
		g.Eventually(planVersion(state), planApplyTimeout, 10*time.Millisecond).Should(gomega.Equal(i+1), "version in force after change %d", i+1)
		g.Expect(f.Streams()).To(gomega.Equal(hosts), "streams after change %d", i+1)
	}
}

// unhelpfulServer is a control host whose plan cannot be fetched.
type unhelpfulServer struct {
	*feed.Server
	plan func(context.Context) (*peerpb.PlanReply, error)
}

func (s *unhelpfulServer) Plan(ctx context.Context, _ *peerpb.PlanRequest) (*peerpb.PlanReply, error) {
	return s.plan(ctx)
}

// Guards against a follower that waits for the one control host that it has asked.
func TestPlanIsFetchedFromAnotherControlHost(t *testing.T) {
	for name, reply := range map[string]func(context.Context) (*peerpb.PlanReply, error){
		"silent": func(ctx context.Context) (*peerpb.PlanReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		"garbled": func(context.Context) (*peerpb.PlanReply, error) { return &peerpb.PlanReply{Plan: []byte("{")}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var seeds []netip.AddrPort
			states, port := []*feed.State{feed.NewState(), feed.NewState()}, uint16(0)
			for i, s := range states {
				l, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 6, byte(i + 1)}), port).String())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				seeds = append(seeds, l.Addr().(*net.TCPAddr).AddrPort())
				port = seeds[0].Port()
				server := peer.NewServer()
				var fleet peerpb.FleetServer = feed.NewServer(context.Background(), s, nil)
				if i == 0 {
					fleet = &unhelpfulServer{Server: feed.NewServer(context.Background(), s, nil), plan: reply}
				}
				peerpb.RegisterFleetServer(server, fleet)
				go server.Serve(l)
				t.Cleanup(server.Stop)
			}
			state, metrics := feed.NewState(), telem.NewRegistry()
			self := feed.Self{Host: "entry-1", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.6.99"), port)}
			f := feed.NewFollower(state, self, func() []netip.AddrPort { return seeds }, peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")})
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go f.Run(ctx)
			g.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(2))
			states[0].SetPlan(sample.Plan(2, manyRoutes))
			time.Sleep(50 * time.Millisecond) // The unhelpful one is asked first.
			states[1].SetPlan(sample.Plan(2, manyRoutes))
			g.Eventually(state.Plan, planApplyTimeout, 10*time.Millisecond).ShouldNot(gomega.BeNil())
		})
	}
}

// Guards against followers of an older version, which do not fetch plans.
func TestFollowerThatFetchesNoPlansIsSentThem(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.6.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	state, server := feed.NewState(), peer.NewServer()
	state.SetPlan(sample.Plan(3, manyRoutes))
	peerpb.RegisterFleetServer(server, feed.NewServer(context.Background(), state, nil))
	go server.Serve(l)
	t.Cleanup(server.Stop)
	conn, err := peer.Dial(l.Addr().(*net.TCPAddr).AddrPort())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	for _, fetches := range []bool{false, true} {
		stream, err := peerpb.NewFleetClient(conn).Follow(ctx, &peerpb.FollowRequest{Host: "entry-1", FetchesPlan: fetches})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		update, err := stream.Recv()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(update.GetPlanVersion()).To(gomega.BeEquivalentTo(3))
		g.Expect(len(update.GetPlan()) == 0).To(gomega.Equal(fetches))
	}
}
