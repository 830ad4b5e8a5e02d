package place_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/grpc"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
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

const limit = 5 * time.Second

// decider is a control host with one service, "s", of one target with a slot.
type decider struct {
	address netip.AddrPort
	server  *grpc.Server
}

func newDecider() *decider {
	doc := spec.Default()
	doc.Hold.LongestWait = strict.Duration(limit)
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	records := []member.Record{{
		Key: member.Key{Service: "s", Target: "t"}, State: member.Ready, Slots: 1, Incarnation: 1,
		Address: netip.MustParseAddrPort("127.0.0.1:9"),
	}}
	ask := func(context.Context, member.Record, string) (route.Probe, error) {
		return route.Probe{Result: route.ProbeWell}, nil
	}
	s := place.NewServer(place.Config{Service: doc, Tick: time.Millisecond},
		func(string) []member.Record { return records }, ask, slog.New(slog.DiscardHandler), telem.NewSet())
	s.SetPlan(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s"}}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d := &decider{address: l.Addr().(*net.TCPAddr).AddrPort(), server: peer.NewServer()}
	peerpb.RegisterFleetServer(d.server, feed.NewServer(context.Background(), feed.NewBoard(), s.Serve))
	go d.server.Serve(l)
	ginkgo.DeferCleanup(d.server.Stop)
	return d
}

func newLinks(controls ...netip.AddrPort) *place.Links {
	metrics := telem.NewSet()
	traffic := peer.Traffic{In: metrics.Count("in"), Out: metrics.Count("out")}
	links := place.NewLinks(func() []netip.AddrPort { return controls }, traffic, slog.New(slog.DiscardHandler), metrics)
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	go links.Run(ctx)
	return links
}

func pick(links *place.Links) *place.Link {
	var link *place.Link
	gomega.EventuallyWithOffset(1, func() *place.Link {
		link = links.Pick("s", time.Now())
		return link
	}, limit, time.Millisecond).ShouldNot(gomega.BeNil())
	return link
}

func arrive(link *place.Link, call uint64) (chan engine.Action, chan struct{}) {
	actions, lost := make(chan engine.Action, 8), make(chan struct{})
	now := time.Now()
	e := engine.Arrive{Call: call, Deadline: now.Add(limit), Class: spec.Class{Weight: 1, Deadline: limit, Idempotent: true}}
	w := place.Waiter{Decide: func(a engine.Action) { actions <- a }, Lose: func() { close(lost) }}
	gomega.ExpectWithOffset(1, link.Arrive("s", e, w, now)).To(gomega.BeTrue())
	return actions, lost
}

var _ = ginkgo.Describe("A control host that decides", func() {
	ginkgo.It("sees the calls of all entry hosts together", func() {
		d := newDecider()
		one, two := pick(newLinks(d.address)), pick(newLinks(d.address))
		first, _ := arrive(one, 1)
		var sent engine.Action
		gomega.Eventually(first, limit).Should(gomega.Receive(&sent))
		gomega.Expect(sent.(engine.Send).Target).To(gomega.Equal("t"))
		second, _ := arrive(two, 1)
		gomega.Eventually(second, limit).Should(gomega.Receive(gomega.Equal(engine.Hold{Call: 1})))
		gomega.Consistently(second, 50*time.Millisecond).ShouldNot(gomega.Receive())
		gomega.Expect(one.Finish(engine.Finish{Call: 1, Result: engine.Answered})).To(gomega.BeTrue())
		gomega.Eventually(second, limit).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
	})

	ginkgo.It("frees the slots of an entry host whose stream ends", func() {
		d := newDecider()
		ctx, cancel := context.WithCancel(context.Background())
		metrics := telem.NewSet()
		traffic := peer.Traffic{In: metrics.Count("in"), Out: metrics.Count("out")}
		gone := place.NewLinks(func() []netip.AddrPort { return []netip.AddrPort{d.address} }, traffic, slog.New(slog.DiscardHandler), metrics)
		go gone.Run(ctx)
		first, _ := arrive(pick(gone), 1)
		gomega.Eventually(first, limit).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
		second, _ := arrive(pick(newLinks(d.address)), 2)
		gomega.Eventually(second, limit).Should(gomega.Receive(gomega.Equal(engine.Hold{Call: 2})))
		cancel()
		gomega.Eventually(second, limit).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
	})

	ginkgo.It("is missed by all who wait when it ends", func() {
		d := newDecider()
		links := newLinks(d.address)
		link := pick(links)
		_, lost := arrive(link, 1)
		d.server.Stop()
		gomega.Eventually(lost, limit).Should(gomega.BeClosed())
		gomega.Eventually(func() *place.Link { return links.Pick("s", time.Now()) }, limit).Should(gomega.BeNil())
		gomega.Expect(link.Finish(engine.Finish{Call: 1, Result: engine.Unknown})).To(gomega.BeFalse())
	})

	ginkgo.It("is left alone for a while when it does not answer", func() {
		d := newDecider()
		links := newLinks(d.address)
		link, now := pick(links), time.Now()
		link.Miss(now)
		gomega.Expect(links.Pick("s", now)).To(gomega.Equal(link))
		link.Miss(now)
		gomega.Expect(links.Pick("s", now)).To(gomega.BeNil())
		gomega.Expect(links.Pick("s", now.Add(2*time.Second))).To(gomega.Equal(link))
	})

	ginkgo.It("is the same one for a service at every entry host", func() {
		a, b, c := newDecider(), newDecider(), newDecider()
		one, two := newLinks(a.address, b.address, c.address), newLinks(c.address, a.address, b.address)
		same := func() bool {
			now := time.Now()
			for _, service := range []string{"s", "bookings", "photos", "status"} {
				k, l := one.Pick(service, now), two.Pick(service, now)
				if k == nil || l == nil || k.Address() != l.Address() {
					return false
				}
			}
			return true
		}
		gomega.Eventually(same, limit).Should(gomega.BeTrue())
	})
})
