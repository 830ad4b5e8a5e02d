package ctrl

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

// Guards against retries beyond the budget of a service when all control hosts decide
// for its calls, as in a surge that makes each of them miss decisions.
func TestRetryBudgetHoldsOverAllControlHosts(t *testing.T) {
	const (
		controls, calls = 7, 8000
		ratio, slack    = 0.2, 190
	)
	g := gomega.NewWithT(t)
	cfg := setup.DefaultControl()
	cfg.Fleet = setup.Fleet{RetryRatio: ratio, RetryWindow: strict.Duration(10 * time.Second), RetrySlack: slack}
	var addresses []netip.AddrPort
	for i := range controls {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 7000))
	}
	known := func() []netip.AddrPort { return addresses }
	now := time.Unix(1000, 0)
	var hosts []*engine.Scheduler
	for i := range uint64(controls) {
		cfg.PeerAddress = addresses[i]
		doc := (&Host{cfg: cfg}).placement(known).Document("s", addresses)
		s := engine.NewScheduler(doc, rand.New(rand.NewPCG(i, 1)))
		var records []member.Record
		for k := range 100 {
			records = append(records, member.Record{
				Key: member.Key{Service: "s", Target: fmt.Sprint("t", k)}, State: member.Ready, Slots: 100,
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+k)),
			})
		}
		s.Handle(nil, engine.SetTargets{Records: records}, now)
		hosts = append(hosts, s)
	}
	retries := 0
	for id := range uint64(calls) {
		now = now.Add(time.Millisecond)
		s := hosts[id%controls]
		class := spec.Class{Weight: 1, Deadline: time.Second, Idempotent: true, Attempts: 2}
		for _, action := range s.Handle(nil, engine.Arrive{Call: id, Class: class, Deadline: now.Add(time.Second)}, now) {
			send, ok := action.(engine.Send)
			if !ok {
				continue
			}
			shed := engine.Finish{Call: send.Call, Result: engine.NotRun, Replayable: true, Feedback: route.Feedback{Outcome: route.Shed}}
			for _, next := range s.Handle(nil, shed, now) {
				if again, resent := next.(engine.Send); resent {
					retries++
					s.Handle(nil, engine.Finish{Call: again.Call, Result: engine.Answered}, now)
				}
			}
		}
	}
	g.Expect(retries).To(gomega.BeNumerically("<=", int(ratio*calls)+slack))
}
