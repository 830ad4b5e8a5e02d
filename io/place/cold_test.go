package place_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

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

var _ = ginkgo.Describe("A control host that decides for a cold target", func() {
	// Guards against a limit that does not reach the schedulers of services, and one where the
	// plan names no rate.
	ginkgo.DescribeTable("sends it what the plan allows", func(rate float64, sends int) {
		doc := spec.Default()
		doc.Hold.LongestWait = strict.Duration(eventTimeout)
		doc.Route = spec.Route{Policy: spec.PolicyFastest}
		s := place.NewServer(place.Config{
			ServiceTemplate: doc, HoldCheckInterval: time.Millisecond, Cold: place.ColdConfig{Overshoot: 1.5, Slack: 8},
		}, func(context.Context, member.Record, string) (route.Probe, error) {
			return route.Probe{Result: route.ProbeHealthy}, nil
		}, slog.New(slog.DiscardHandler), telem.NewRegistry())
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go s.Run(ctx)
		s.SetTargets("s", []member.Record{{
			Key: member.Key{Service: "s", Target: "t"}, State: member.Ready, Slots: 50, Incarnation: 1,
			Address: netip.MustParseAddrPort("127.0.0.1:9"), WarmAt: time.Now().Add(time.Hour),
		}})
		s.SetPlan(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s", WarmRate: rate}}})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		server := peer.NewServer()
		peerpb.RegisterFleetServer(server, feed.NewServer(context.Background(), feed.NewState(), s.Serve))
		go server.Serve(l)
		ginkgo.DeferCleanup(server.Stop)
		client := pick(newClientPool(l.Addr().(*net.TCPAddr).AddrPort()))
		count := 0
		for id := range uint64(10) {
			decisions, _ := startCall(client, id+1)
			var a engine.Action
			gomega.Eventually(decisions, eventTimeout).Should(gomega.Receive(&a))
			if _, ok := a.(engine.Send); ok {
				count++
			}
		}
		gomega.Expect(count).To(gomega.Equal(sends))
	},
		ginkgo.Entry("with a rate", 0.001, 2),
		ginkgo.Entry("without one", 0.0, 10),
	)
})
