package place_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/grpc"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/quota"
	"cardamomspool/core/rank"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/place"
	"cardamomspool/io/telem"
)

func TestPlace(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Calls decided by a control host")
}

const eventTimeout = 5 * time.Second

// controlHost is a control host that decides for one service, "s", with one target, "t",
// that has one slot.
type controlHost struct {
	address netip.AddrPort
	server  *grpc.Server
}

// newControlHost starts a control host.
func newControlHost() *controlHost {
	doc := spec.Default()
	doc.Hold.LongestWait = strict.Duration(eventTimeout)
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	records := []member.Record{{
		Key: member.Key{Service: "s", Target: "t"}, State: member.Ready, Slots: 1, Incarnation: 1,
		Address: netip.MustParseAddrPort("127.0.0.1:9"),
	}}
	probeTarget := func(context.Context, member.Record, string) (route.Probe, error) {
		return route.Probe{Result: route.ProbeHealthy}, nil
	}
	s := place.NewServer(place.Config{ServiceTemplate: doc, HoldCheckInterval: time.Millisecond, Quota: oneCall()},
		probeTarget, slog.New(slog.DiscardHandler), telem.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	go s.Run(ctx)
	s.SetTargets("s", records)
	s.SetPlan(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s"}, {Name: "u"}}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	host := &controlHost{address: l.Addr().(*net.TCPAddr).AddrPort(), server: peer.NewServer()}
	peerpb.RegisterFleetServer(host.server, feed.NewServer(context.Background(), feed.NewState(), s.Serve))
	go host.server.Serve(l)
	ginkgo.DeferCleanup(host.server.Stop)
	return host
}

// oneCall returns a ledger in which the account "a" has room for one call.
func oneCall() *quota.Ledger {
	l := quota.NewLedger(quota.Config{Window: 5 * time.Second}, "self", 1)
	l.SetVoters([]string{"self"})
	l.SetAccounts([]plan.Account{{Name: "a", Rate: 0.001, Burst: 1}}, time.Now())
	return l
}

// newClientPool starts a pool with streams to the given control hosts, as an entry
// host does.
func newClientPool(controls ...netip.AddrPort) *place.ClientPool {
	metrics := telem.NewRegistry()
	traffic := peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")}
	pool := place.NewClientPool(func() []netip.AddrPort { return controls }, uninformed, traffic, slog.New(slog.DiscardHandler), metrics)
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	go pool.Run(ctx)
	return pool
}

// uninformed says of every control host that it may not know what others know.
func uninformed(netip.AddrPort) (informed, known bool) {
	return false, true
}

// newRelay starts a relay of connections to address. After silence it passes nothing
// on, and leaves the connections open.
func newRelay(address netip.AddrPort) (relay netip.AddrPort, silence func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	var silent atomic.Bool
	pass := func(to, from net.Conn) {
		buf := make([]byte, 4<<10)
		for {
			n, err := from.Read(buf)
			if silent.Load() {
				return
			}
			if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
				to.Close()
				return
			}
		}
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address.String())
			if err != nil {
				in.Close()
				continue
			}
			go pass(out, in)
			go pass(in, out)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), func() { silent.Store(true) }
}

// pick returns the client for service "s" as soon as there is one.
func pick(pool *place.ClientPool) *place.Client {
	var client *place.Client
	gomega.EventuallyWithOffset(1, func() *place.Client {
		client = pool.Pick("s", time.Now())
		return client
	}, eventTimeout, time.Millisecond).ShouldNot(gomega.BeNil())
	return client
}

// startCall starts a call of service "s". It returns the channel of its decisions,
// and one that is closed when the stream ends before the call does.
func startCall(client *place.Client, call uint64) (chan engine.Action, chan struct{}) {
	actions, lost := make(chan engine.Action, 8), make(chan struct{})
	now := time.Now()
	e := engine.Arrive{Call: call, Deadline: now.Add(eventTimeout), Class: spec.Class{Weight: 1, Deadline: eventTimeout, Idempotent: true}}
	callbacks := place.Callbacks{OnDecision: func(a engine.Action) { actions <- a }, OnStreamLost: func() { close(lost) }}
	gomega.ExpectWithOffset(1, client.StartCall("s", e, callbacks, now)).To(gomega.BeTrue())
	return actions, lost
}

var _ = ginkgo.Describe("A control host that decides", func() {
	ginkgo.It("shares target slots among all entry hosts", func() {
		host := newControlHost()
		one, two := pick(newClientPool(host.address)), pick(newClientPool(host.address))
		first, _ := startCall(one, 1)
		var sent engine.Action
		gomega.Eventually(first, eventTimeout).Should(gomega.Receive(&sent))
		gomega.Expect(sent.(engine.Send).Target).To(gomega.Equal("t"))
		second, _ := startCall(two, 1)
		gomega.Eventually(second, eventTimeout).Should(gomega.Receive(gomega.Equal(engine.Hold{Call: 1})))
		gomega.Consistently(second, 50*time.Millisecond).ShouldNot(gomega.Receive())
		gomega.Expect(one.FinishAttempt(engine.Finish{Call: 1, Result: engine.Answered})).To(gomega.BeTrue())
		gomega.Eventually(second, eventTimeout).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
	})

	ginkgo.It("frees the slots of an entry host whose stream ends", func() {
		host := newControlHost()
		ctx, cancel := context.WithCancel(context.Background())
		metrics := telem.NewRegistry()
		traffic := peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")}
		ending := place.NewClientPool(func() []netip.AddrPort { return []netip.AddrPort{host.address} }, uninformed, traffic, slog.New(slog.DiscardHandler), metrics)
		go ending.Run(ctx)
		first, _ := startCall(pick(ending), 1)
		gomega.Eventually(first, eventTimeout).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
		second, _ := startCall(pick(newClientPool(host.address)), 2)
		gomega.Eventually(second, eventTimeout).Should(gomega.Receive(gomega.Equal(engine.Hold{Call: 2})))
		cancel()
		gomega.Eventually(second, eventTimeout).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
	})

	// An entry host without power closes no connection.
	ginkgo.It("frees the slots of an entry host that has fallen silent, after the deadlines of its calls", func() {
		host := newControlHost()
		relay, silence := newRelay(host.address)
		client := pick(newClientPool(relay))
		now, sent := time.Now(), make(chan engine.Action, 8)
		e := engine.Arrive{Call: 1, Deadline: now.Add(100 * time.Millisecond), Class: spec.Class{Weight: 1}}
		callbacks := place.Callbacks{OnDecision: func(a engine.Action) { sent <- a }, OnStreamLost: func() {}}
		gomega.Expect(client.StartCall("s", e, callbacks, now)).To(gomega.BeTrue())
		gomega.Eventually(sent, eventTimeout).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
		silence()
		second, _ := startCall(pick(newClientPool(host.address)), 2)
		gomega.Eventually(second, eventTimeout).Should(gomega.Receive(gomega.Equal(engine.Hold{Call: 2})))
		gomega.Eventually(second, eventTimeout).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
	})

	ginkgo.It("notifies all waiting calls when its stream ends", func() {
		host := newControlHost()
		pool := newClientPool(host.address)
		client := pick(pool)
		_, lost := startCall(client, 1)
		host.server.Stop()
		gomega.Eventually(lost, eventTimeout).Should(gomega.BeClosed())
		gomega.Eventually(func() *place.Client { return pool.Pick("s", time.Now()) }, eventTimeout).Should(gomega.BeNil())
		gomega.Expect(client.FinishAttempt(engine.Finish{Call: 1, Result: engine.Unknown})).To(gomega.BeFalse())
	})

	// Guards against quotas that each service counts for itself.
	ginkgo.It("refuses calls beyond the quota of their account, over all services", func() {
		client := pick(newClientPool(newControlHost().address))
		arrive := func(service string, call uint64) chan engine.Action {
			decisions, now := make(chan engine.Action, 8), time.Now()
			class := spec.Class{Weight: 1, Deadline: eventTimeout, Account: "a"}
			callbacks := place.Callbacks{OnDecision: func(a engine.Action) { decisions <- a }, OnStreamLost: func() {}}
			gomega.Expect(client.StartCall(service, engine.Arrive{Call: call, Class: class, Deadline: now.Add(eventTimeout)}, callbacks, now)).To(gomega.BeTrue())
			return decisions
		}
		gomega.Eventually(arrive("s", 1), eventTimeout).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
		var refusal engine.Action
		gomega.Eventually(arrive("u", 2), eventTimeout).Should(gomega.Receive(&refusal))
		gomega.Expect(refusal).To(gomega.And(gomega.HaveField("Reason", engine.OverQuota), gomega.HaveField("NotRun", true)))
		gomega.Expect(refusal.(engine.Refuse).RetryAfter).To(gomega.BeNumerically(">=", 5*time.Second))
	})

	ginkgo.It("is not picked for a while after missed decisions", func() {
		host := newControlHost()
		pool := newClientPool(host.address)
		client, now := pick(pool), time.Now()
		client.RecordMissedDecision(now)
		gomega.Expect(pool.Pick("s", now)).To(gomega.Equal(client))
		client.RecordMissedDecision(now)
		gomega.Expect(pool.Pick("s", now)).To(gomega.BeNil())
		gomega.Expect(pool.Pick("s", now.Add(2*time.Second))).To(gomega.Equal(client))
	})

	// A busy host that decides too late does all the work for nothing.
	ginkgo.It("is not picked after decisions that arrive too late", func() {
		host := newControlHost()
		pool := newClientPool(host.address)
		client := pick(pool)
		for id := range uint64(4) {
			decisions, _ := startCall(client, id)
			client.CancelCall(engine.Cancel{Call: id})
			client.RecordMissedDecision(time.Now())
			gomega.Consistently(decisions, 50*time.Millisecond).ShouldNot(gomega.Receive())
		}
		gomega.Expect(pool.Pick("s", time.Now())).To(gomega.BeNil())
		gomega.Consistently(pool.Pick, 500*time.Millisecond).WithArguments("s", time.Now().Add(time.Minute)).Should(gomega.Equal(client),
			"a stream on which decisions arrive must stay open")
	})

	ginkgo.It("is avoided for longer while it goes on missing decisions", func() {
		host := newControlHost()
		pool := newClientPool(host.address)
		client, now := pick(pool), time.Now()
		client.RecordMissedDecision(now)
		client.RecordMissedDecision(now)
		now = now.Add(1100 * time.Millisecond)
		gomega.Expect(pool.Pick("s", now)).To(gomega.Equal(client))
		client.RecordMissedDecision(now)
		gomega.Expect(pool.Pick("s", now.Add(1900*time.Millisecond))).To(gomega.BeNil())
		gomega.Expect(pool.Pick("s", now.Add(2100*time.Millisecond))).To(gomega.Equal(client))
	})

	ginkgo.It("is picked consistently for a service by all entry hosts", func() {
		a, b, c := newControlHost(), newControlHost(), newControlHost()
		one, two := newClientPool(a.address, b.address, c.address), newClientPool(c.address, a.address, b.address)
		same := func() bool {
			now := time.Now()
			for _, service := range []string{"s", "bookings", "photos", "status"} {
				c1, c2 := one.Pick(service, now), two.Pick(service, now)
				if c1 == nil || c2 == nil || c1.Address() != c2.Address() {
					return false
				}
			}
			return true
		}
		gomega.Eventually(same, eventTimeout).Should(gomega.BeTrue())
	})

	// After a loss of power entry hosts reach the control hosts in different orders.
	ginkgo.It("is not picked while the one that others will pick is not reached yet", func() {
		a, b := newControlHost(), newControlHost()
		first, second := a, b
		if rank.Score("s", b.address) > rank.Score("s", a.address) {
			first, second = b, a
		}
		var known atomic.Bool
		metrics := telem.NewRegistry()
		pool := place.NewClientPool(func() []netip.AddrPort { return []netip.AddrPort{second.address, first.address} },
			func(address netip.AddrPort) (bool, bool) { return true, address == second.address || known.Load() },
			peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")}, slog.New(slog.DiscardHandler), metrics)
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go pool.Run(ctx)
		gomega.Consistently(func() *place.Client { return pool.Pick("s", time.Now()) }, 500*time.Millisecond).Should(gomega.BeNil())
		later := time.Now().Add(2 * time.Second)
		gomega.Expect(pool.Pick("s", later).Address()).To(gomega.Equal(first.address), "nobody waits for long")
		known.Store(true)
		gomega.Eventually(func() netip.AddrPort {
			if client := pool.Pick("s", time.Now()); client != nil {
				return client.Address()
			}
			return netip.AddrPort{}
		}, eventTimeout).Should(gomega.Equal(first.address))
	})

	// A control host that is cut off from the others misses departures and new targets.
	ginkgo.It("is picked only while it is informed, if another one is", func() {
		a, b := newControlHost(), newControlHost()
		metrics := telem.NewRegistry()
		traffic := peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")}
		var informed atomic.Pointer[netip.AddrPort]
		informed.Store(&netip.AddrPort{})
		pool := place.NewClientPool(func() []netip.AddrPort { return []netip.AddrPort{a.address, b.address} },
			func(address netip.AddrPort) (bool, bool) { return address == *informed.Load(), true }, traffic, slog.New(slog.DiscardHandler), metrics)
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go pool.Run(ctx)
		var services []string
		for i := range 64 {
			services = append(services, fmt.Sprint("service-", i))
		}
		picked := func() map[netip.AddrPort]int {
			counts := map[netip.AddrPort]int{}
			for _, service := range services {
				if c := pool.Pick(service, time.Now()); c != nil {
					counts[c.Address()]++
				}
			}
			return counts
		}
		gomega.Eventually(picked, eventTimeout).Should(gomega.HaveLen(2))
		for _, address := range []netip.AddrPort{a.address, b.address} {
			informed.Store(&address)
			gomega.Expect(picked()).To(gomega.Equal(map[netip.AddrPort]int{address: len(services)}))
		}
		informed.Store(&netip.AddrPort{})
		gomega.Expect(picked()).To(gomega.HaveLen(2))
	})
})
