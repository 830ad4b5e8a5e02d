package feed_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/roster"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/telem"
)

func TestFeed(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Replication of the fleet state")
}

const waitTimeout = 5 * time.Second

// testControl is the state of a control host that is served at address. stop stops
// its server.
type testControl struct {
	*feed.State
	address netip.AddrPort
	stop    func()
}

// newControls serves n states, at the IP addresses 127.0.2.1 to 127.0.2.n and all on
// the same port, as control hosts do.
func newControls(n int) []*testControl {
	var list []*testControl
	port := uint16(0)
	for i := range n {
		host := netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)})
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, port).String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s := &testControl{State: feed.NewState(), address: l.Addr().(*net.TCPAddr).AddrPort()}
		port = s.address.Port()
		server := peer.NewServer()
		peerpb.RegisterFleetServer(server, feed.NewServer(context.Background(), s.State, nil))
		go server.Serve(l)
		s.stop = server.Stop
		ginkgo.DeferCleanup(server.Stop)
		list = append(list, s)
	}
	return list
}

// follow runs a follower that updates state, until the spec ends.
func follow(state *feed.State, seeds ...netip.AddrPort) *feed.Follower {
	metrics := telem.NewRegistry()
	self := feed.Self{Host: "entry-1", DataCentre: "xela", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.2.99"), seeds[0].Port())}
	f := feed.NewFollower(state, self, func() []netip.AddrPort { return seeds }, peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")})
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	go f.Run(ctx)
	return f
}

func target(id string, sequence uint64, state member.State) roster.Target {
	return roster.Target{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 3, State: state,
		Born: time.UnixMilli(1), Sequence: sequence, Heard: time.Now(),
	}
}

// states returns a function that returns the states of all targets of service s.
func states(state *feed.State) func() []member.State {
	return func() []member.State {
		var list []member.State
		for _, r := range state.Records("s") {
			list = append(list, r.State)
		}
		return list
	}
}

// planVersion returns a function that returns the version of the plan in force, or 0.
func planVersion(state *feed.State) func() uint64 {
	return func() uint64 {
		if p := state.Plan(); p != nil {
			return p.Version
		}
		return 0
	}
}

var _ = ginkgo.Describe("A follower", func() {
	ginkgo.It("discovers all control hosts from one seed and merges their states", func() {
		s := newControls(3)
		view := feed.View{Epoch: 1}
		for _, v := range s {
			view.Members = append(view.Members, feed.Member{Host: v.address.Addr()})
		}
		s[0].SetView(view)
		s[1].SetPlan(&plan.Plan{Version: 4})
		s[2].UpdateTargets(true, target("t", 1, member.Ready))
		state := feed.NewState()
		f := follow(state, s[0].address)
		gomega.Eventually(f.Synced, waitTimeout).Should(gomega.BeTrue())
		gomega.Eventually(planVersion(state), waitTimeout).Should(gomega.BeEquivalentTo(4))
		gomega.Eventually(states(state), waitTimeout).Should(gomega.Equal([]member.State{member.Ready}))
	})

	ginkgo.It("never replaces a plan by a lower version", func() {
		s := newControls(2)
		s[0].SetPlan(&plan.Plan{Version: 5})
		s[1].SetPlan(&plan.Plan{Version: 3})
		state := feed.NewState()
		f := follow(state, s[0].address, s[1].address)
		gomega.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(2))
		gomega.Eventually(planVersion(state), waitTimeout).Should(gomega.BeEquivalentTo(5))
		s[1].SetPlan(&plan.Plan{Version: 4})
		gomega.Consistently(planVersion(state), 200*time.Millisecond).Should(gomega.BeEquivalentTo(5))
	})

	ginkgo.It("receives a departure within a fraction of the time limit", func() {
		s := newControls(1)
		s[0].UpdateTargets(true, target("t", 1, member.Ready))
		state := feed.NewState()
		follow(state, s[0].address)
		gomega.Eventually(states(state), waitTimeout).Should(gomega.Equal([]member.State{member.Ready}))
		s[0].UpdateTargets(true, target("t", 2, member.Draining))
		gomega.Eventually(states(state), 500*time.Millisecond, time.Millisecond).Should(gomega.Equal([]member.State{member.Draining}))
	})

	ginkgo.It("receives only the targets that the control host relays", func() {
		s := newControls(1)
		s[0].UpdateTargets(false, target("t", 1, member.Ready))
		s[0].UpdateTargets(true, target("u", 1, member.Ready))
		state := feed.NewState()
		follow(state, s[0].address)
		gomega.Eventually(func() bool { _, ok := state.Target("u"); return ok }, waitTimeout).Should(gomega.BeTrue())
		_, ok := state.Target("t")
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	ginkgo.It("is not sent state that it already holds", func() {
		s := newControls(2)
		at := func(i int, sequence uint64, state member.State) roster.Target {
			t := target(fmt.Sprint(i), sequence, state)
			t.Address = netip.AddrPortFrom(t.Address.Addr(), uint16(1000+i))
			return t
		}
		const targets = 400
		for i := range targets {
			for _, v := range s {
				v.UpdateTargets(true, at(i, 1, member.Ready))
			}
		}
		s[1].UpdateTargets(true, at(7, 2, member.Draining))
		for _, v := range s {
			v.SetPlan(&plan.Plan{Version: 1, Routes: make([]plan.Route, 100)})
		}
		metrics := telem.NewRegistry()
		traffic := peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")}
		state := feed.NewState()
		// read follows the control host at address, and those that it discovers,
		// until updates arrive from as many as sources says. It returns the number
		// of bytes received.
		read := func(address netip.AddrPort, sources int) int64 {
			before := traffic.In.Value()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			self := feed.Self{Host: "entry-1", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.2.99"), address.Port())}
			f := feed.NewFollower(state, self, func() []netip.AddrPort { return []netip.AddrPort{address} }, traffic)
			go f.Run(ctx)
			gomega.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(sources))
			return traffic.In.Value() - before
		}
		read(s[0].address, 1)
		gomega.Expect(state.Records("s")).To(gomega.HaveLen(targets))
		second := read(s[1].address, 2) // The first control host is still known, so it is followed again.
		// The limit in bytes allows 2000 for opening two streams, and 24 for one
		// lease renewal of each target.
		gomega.Expect(second).To(gomega.BeNumerically("<", 2_000+24*targets))
		t, _ := state.Target("7")
		gomega.Expect(t.State).To(gomega.Equal(member.Draining))
	})

	ginkgo.It("keeps its targets when it reconnects after a long silence", func() {
		s := newControls(1)
		s[0].UpdateTargets(true, target("t", 2, member.Ready))
		state := feed.NewState()
		old := target("t", 1, member.Ready)
		old.Heard = time.Now().Add(-roster.Lease)
		state.UpdateTargets(false, old)
		follow(state, s[0].address)
		gomega.Eventually(func() time.Time { t, _ := state.Target("t"); return t.Heard }, waitTimeout).Should(gomega.BeTemporally(">", old.Heard.Add(roster.Lease/2)))
		state.Expire(time.Now())
		gomega.Expect(state.Records("s")).To(gomega.HaveLen(1))
	})

	ginkgo.It("tries further control hosts when the first never answers", func() {
		s := newControls(3)
		l, err := net.Listen("tcp", netip.AddrPortFrom(netip.MustParseAddr("127.0.2.4"), s[0].address.Port()).String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(l.Close) // l accepts connections, but never answers.
		silent := l.Addr().(*net.TCPAddr).AddrPort()
		state := feed.NewState()
		f := follow(state, silent, s[0].address, s[1].address, s[2].address)
		gomega.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(3))
	})

	ginkgo.It("follows a control host again after it was cut off only from that one", func() {
		s := newControls(2)
		s[0].ObserveControl(s[1].address, 1, time.Now())
		state := feed.NewState()
		f := follow(state, s[0].address)
		gomega.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(2))
		s[1].stop()
		gomega.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(1))
		state.Expire(time.Now().Add(time.Hour))
		l, err := net.Listen("tcp", s[1].address.String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		server := peer.NewServer()
		peerpb.RegisterFleetServer(server, feed.NewServer(context.Background(), s[1].State, nil))
		go server.Serve(l)
		ginkgo.DeferCleanup(server.Stop)
		gomega.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(2))
	})

	ginkgo.It("forgets a control host that no one hears any more", func() {
		s := newControls(2)
		gone := netip.AddrPortFrom(netip.MustParseAddr("127.0.2.77"), s[0].address.Port())
		s[0].ObserveControl(gone, 1, time.Now())
		state := feed.NewState()
		follow(state, s[0].address, s[1].address)
		follow(s[1].State, s[0].address)
		gomega.Eventually(state.Controls, waitTimeout).Should(gomega.ContainElement(gone))
		gomega.Eventually(s[1].Controls, waitTimeout).Should(gomega.ContainElement(gone))
		gomega.Eventually(func() []netip.AddrPort {
			for _, v := range []*feed.State{s[0].State, s[1].State, state} {
				v.Expire(time.Now().Add(time.Hour))
			}
			return append(append(s[0].Controls(), s[1].Controls()...), state.Controls()...)
		}, waitTimeout, time.Second).ShouldNot(gomega.ContainElement(gone))
		gomega.Consistently(state.Controls, 2*time.Second).ShouldNot(gomega.ContainElement(gone))
	})

	ginkgo.It("calls OnTargets once for each update", func() {
		s := newControls(1)
		const targets = 300
		for i := range targets {
			t := target(fmt.Sprint(i), 1, member.Ready)
			t.Address = netip.AddrPortFrom(t.Address.Addr(), uint16(1000+i))
			s[0].UpdateTargets(true, t)
		}
		var calls, largest atomic.Int64
		state := feed.NewState(feed.OnTargets(func(_ string, list []member.Record) {
			calls.Add(1)
			largest.Store(int64(len(list)))
		}))
		follow(state, s[0].address)
		gomega.Eventually(largest.Load, waitTimeout).Should(gomega.BeEquivalentTo(targets))
		gomega.Expect(calls.Load()).To(gomega.BeEquivalentTo(1))
	})

	ginkgo.It("discovers control hosts from replaced seeds", func() {
		s := newControls(2)
		s[1].SetPlan(&plan.Plan{Version: 2})
		seeds := feed.NewSeeds([]netip.AddrPort{netip.AddrPortFrom(netip.MustParseAddr("127.0.2.77"), s[0].address.Port())})
		metrics := telem.NewRegistry()
		self := feed.Self{Host: "entry-1", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.2.99"), s[0].address.Port())}
		state := feed.NewState()
		f := feed.NewFollower(state, self, seeds.List, peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")})
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go f.Run(ctx)
		gomega.Consistently(f.Streams, 200*time.Millisecond).Should(gomega.BeZero())
		seeds.Set([]netip.AddrPort{s[1].address})
		gomega.Eventually(state.Plan, waitTimeout).Should(gomega.HaveField("Version", gomega.BeEquivalentTo(2)))
	})

	ginkgo.It("receives all targets when it is further behind than the log of changes", func() {
		s := newControls(1)
		for i := range 20_000 {
			s[0].UpdateTargets(true, target("t", uint64(2*i+1), member.State(2+i%2)))
		}
		s[0].UpdateTargets(true, target("u", 1, member.Ready))
		state := feed.NewState()
		follow(state, s[0].address)
		gomega.Eventually(func() int { return len(state.Targets()) }, waitTimeout).Should(gomega.Equal(2))
	})

	ginkgo.It("learns whether a control host hears a majority of the voting hosts", func() {
		s := newControls(2)
		lost := feed.Member{Host: netip.MustParseAddr("127.0.2.3")}
		for _, v := range s {
			v.SetView(feed.View{Epoch: 1, Members: []feed.Member{{Host: s[0].address.Addr()}, {Host: s[1].address.Addr()}, lost}})
		}
		seeds := []netip.AddrPort{s[0].address, s[1].address}
		metrics := telem.NewRegistry()
		self := feed.Self{Host: "control-1", Peer: s[0].address, Control: true}
		control := feed.NewFollower(s[0].State, self, func() []netip.AddrPort { return seeds }, peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")})
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go control.Run(ctx)
		f := follow(feed.NewState(), seeds...)
		informedHost := func(address netip.AddrPort) bool {
			informed, known := f.Informed(address)
			return informed && known
		}
		informed := func() bool { return informedHost(s[0].address) }
		gomega.Eventually(informed, waitTimeout).Should(gomega.BeTrue())
		gomega.Expect(informedHost(s[1].address)).To(gomega.BeFalse())
		s[1].stop()
		gomega.Eventually(informed, waitTimeout).Should(gomega.BeFalse())
	})
})
