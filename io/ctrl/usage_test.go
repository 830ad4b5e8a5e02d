package ctrl_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/roster"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/admin"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/place"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

// The quota of the account "shop" in these specs, and what the slack of the settings adds
// to its burst.
const (
	shopRate, shopBurst = 1, 30
	shopHeadroom        = 5
)

// newQuotaFleet starts three control hosts that vote, with a plan of two services and the
// account "shop", and a target for each service.
func newQuotaFleet() *testFleet {
	s := newTestFleet(3)
	s.configure = func(f *setup.Fleet) {
		f.QuotaWindow, f.QuotaOvershoot, f.QuotaSlack = strict.Duration(5*time.Second), 0.1, 4*shopHeadroom
	}
	for i := range 3 {
		s.startHost(i, true)
	}
	d := document(1)
	d.Plan.Services = []plan.Service{{Name: "s"}, {Name: "u"}}
	d.Plan.Accounts = []plan.Account{{Name: "shop", Rate: shopRate, Burst: shopBurst}, {Name: "free"}}
	s.putDocument(d)
	for i, service := range []string{"s", "u"} {
		t := roster.Target{
			ID: "t-" + service, Service: service, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9+i)), Slots: 100,
			State: member.Ready, Born: time.UnixMilli(1), Sequence: 4, Heard: time.Now(),
		}
		for _, r := range s.hosts {
			gomega.Expect(r.host.Announce(context.Background(), t)).To(gomega.Succeed())
		}
		s.sendHeartbeats(t)
	}
	for i := range 3 {
		gomega.Eventually(func() bool {
			a, known := s.shop(i)
			return known && !a.Restricted
		}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.BeTrue(), "host %d", i)
	}
	return s
}

// shop returns what host i knows of the account "shop".
func (s *testFleet) shop(i int) (admin.AccountUse, bool) {
	for _, a := range s.hosts[i].host.Accounts() {
		if a.Account == "shop" {
			return a, true
		}
	}
	return admin.AccountUse{}, false
}

// call makes n calls of the account "shop" of a service that host i decides about. It
// returns the refusals for the quota, once all calls are decided.
func (s *testFleet) call(i int, service string, n int) []engine.Refuse {
	address := netip.AddrPortFrom(s.address(i), s.ports[0].Port())
	metrics := telem.NewRegistry()
	traffic := peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")}
	pool := place.NewClientPool(func() []netip.AddrPort { return []netip.AddrPort{address} },
		func(netip.AddrPort) (bool, bool) { return true, true }, traffic, slog.New(slog.DiscardHandler), metrics)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.Run(ctx)
	var client *place.Client
	gomega.Eventually(func() *place.Client {
		client = pool.Pick(service, time.Now())
		return client
	}).WithContext(within(planTimeout)).WithPolling(time.Millisecond).ShouldNot(gomega.BeNil())
	decisions, now := make(chan engine.Action, 2*n), time.Now()
	for id := range uint64(n) {
		e := engine.Arrive{Call: id, Deadline: now.Add(planTimeout), Class: spec.Class{Weight: 1, Account: "shop"}}
		callbacks := place.Callbacks{OnDecision: func(a engine.Action) { decisions <- a }, OnStreamLost: func() {}}
		gomega.Expect(client.StartCall(service, e, callbacks, now)).To(gomega.BeTrue())
	}
	var refused []engine.Refuse
	for decided := 0; decided < n; {
		var a engine.Action
		gomega.Eventually(decisions).WithContext(within(planTimeout)).Should(gomega.Receive(&a))
		switch a := a.(type) {
		case engine.Refuse:
			gomega.Expect(a.Reason).To(gomega.Equal(engine.OverQuota))
			gomega.Expect(a.NotRun).To(gomega.BeTrue())
			gomega.Expect(a.RetryAfter).To(gomega.BeNumerically(">", 0))
			refused = append(refused, a)
			decided++
		case engine.Send:
			client.FinishAttempt(engine.Finish{Call: a.Call, Result: engine.Answered})
			decided++
		}
	}
	return refused
}

// lateControl is a control host that answers reports of use late.
type lateControl struct {
	peerpb.UnimplementedFleetServer
	answered atomic.Int64
}

func (c *lateControl) Usage(ctx context.Context, _ *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	select {
	case <-time.After(300 * time.Millisecond):
		c.answered.Add(1)
	case <-ctx.Done():
	}
	return &peerpb.UsageReply{Start: 1}, nil
}

var _ = ginkgo.Describe("The control hosts of a fleet with quotas", func() {
	// Guards against a host that refuses nearly all calls with accounts since the others are
	// too busy to answer each question before the next one is asked.
	ginkgo.It("are not restricted by busy hosts that answer late", func() {
		s := newQuotaFleet()
		s.stopHost(1)
		s.stopHost(2)
		l, err := net.Listen("tcp", netip.AddrPortFrom(s.address(2), s.ports[0].Port()).String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		server := peer.NewServer()
		late := &lateControl{}
		peerpb.RegisterFleetServer(server, late)
		go server.Serve(l)
		ginkgo.DeferCleanup(server.Stop)
		restricted := func() bool {
			a, _ := s.shop(0)
			return a.Restricted
		}
		gomega.Eventually(late.answered.Load).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.BeNumerically(">=", 5))
		gomega.Consistently(restricted, time.Second, pollPeriod).Should(gomega.BeFalse())
	})

	// Guards against an account that gets its quota once for each service or each
	// deciding host. The bucket is filled while the calls are made.
	ginkgo.It("count the calls of an account over all services and hosts", func() {
		s := newQuotaFleet()
		begin := time.Now()
		filled := func() float64 { return shopBurst + shopHeadroom + shopRate*time.Since(begin).Seconds() }
		gomega.Expect(s.call(0, "s", 20)).To(gomega.BeEmpty())
		gomega.Eventually(func() int {
			a, _ := s.shop(1)
			return a.Used
		}).WithContext(within(time.Second)).WithPolling(5 * time.Millisecond).Should(gomega.Equal(20))
		admitted := 20 + 20 - len(s.call(1, "u", 20))
		gomega.Expect(admitted).To(gomega.BeNumerically(">=", shopBurst+shopHeadroom-2))
		gomega.Expect(admitted).To(gomega.BeNumerically("<=", filled()))
		for i := range 3 {
			gomega.Eventually(func() float64 {
				a, _ := s.shop(i)
				return a.Room + float64(admitted) - filled()
			}).WithContext(within(time.Second)).WithPolling(5*time.Millisecond).Should(gomega.BeNumerically("<", 0.5), "host %d has room for calls that it has not heard of", i)
		}
	})

	// Guards against a restarted host that admits a whole burst again.
	ginkgo.It("tell a host that has restarted what is left of the quotas", func() {
		s := newQuotaFleet()
		s.call(0, "s", shopBurst+shopHeadroom)
		s.stopHost(1)
		s.startHost(1, false)
		gomega.Eventually(func() bool {
			a, known := s.shop(1)
			return known && !a.Restricted
		}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.BeTrue())
		a, _ := s.shop(1)
		gomega.Expect(a.Room).To(gomega.BeNumerically("<", shopBurst/2), "a few seconds at 1 call a second")
	})

	// Guards against a host that admits whole quotas although the others may do so too.
	ginkgo.It("restrict themselves without a majority, until they hear one again", func() {
		s := newQuotaFleet()
		s.stopHost(1)
		s.stopHost(2)
		gomega.Eventually(func() bool {
			a, _ := s.shop(0)
			return a.Restricted
		}).WithContext(within(2 * time.Second)).WithPolling(pollPeriod).Should(gomega.BeTrue())
		gomega.Expect(s.call(0, "s", 10)).To(gomega.HaveLen(9), "the part of an entry host")
		s.startHost(1, false)
		gomega.Eventually(func() bool {
			a, _ := s.shop(0)
			return a.Restricted
		}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.BeFalse())
	})

	// Guards against messages on fleets that do not use quotas.
	ginkgo.It("exchange nothing while no account has a quota", func() {
		s := newQuotaFleet()
		d := document(2)
		d.Plan.Accounts = []plan.Account{{Name: "free"}}
		s.putDocument(d)
		s.expectPlan(0, 2)
		gomega.Eventually(func() bool {
			a, _ := s.shop(0)
			return a.Account == ""
		}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.BeTrue())
		gomega.Eventually(func() bool {
			list := s.hosts[0].host.Accounts()
			return len(list) == 1 && list[0].Restricted
		}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.BeTrue(), "no answers")
	})
})
