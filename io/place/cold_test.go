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

// Guards against a bound that is exceeded when more than two control hosts decide for a
// service, as after a loss of power.
func TestColdLimitsOfAllControlHostsStayWithinTheBound(t *testing.T) {
	var controls []netip.AddrPort
	for i := range 7 {
		controls = append(controls, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000))
	}
	for _, c := range []struct{ rate, overshoot, slack float64 }{{2.27, 1.5, 8}, {4.2, 1.5, 8}} {
		for _, informed := range []bool{true, false} {
			g := gomega.NewWithT(t)
			sum := 0
			for _, self := range controls {
				cfg := place.Config{Self: self, Cold: place.ColdConfig{Overshoot: c.overshoot, Slack: c.slack}}
				if l := cfg.ColdLimit("s", c.rate, controls, informed); l.Burst >= 1 {
					sum += int(l.Rate + l.Burst) // A bucket lets no more through in a second.
				}
			}
			g.Expect(float64(sum)).To(gomega.BeNumerically("<=", c.rate*c.overshoot+c.slack))
			t.Logf("%d requests in a second from all control hosts", sum)
		}
	}
}

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
