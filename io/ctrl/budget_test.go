package ctrl

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/rank"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

// Guards against retries beyond the budget of a service when all control hosts decide
// for its calls, as in a surge that makes each of them miss decisions, and when some of
// them are killed and started again meanwhile.
func TestRetryBudgetHoldsOverAllControlHosts(t *testing.T) {
	for _, row := range []struct {
		name     string
		calls    uint64
		restarts []int // Hosts that start anew halfway.
	}{
		{"all hosts run", 8000, nil},
		{"the first host starts anew", 2000, []int{0}},
		{"three hosts start anew", 2000, []int{0, 1, 2}},
	} {
		t.Run(row.name, func(t *testing.T) { testRetryBudget(t, row.calls, row.restarts) })
	}
}

// testRetryBudget sends calls of which each first attempt is shed through seven control
// hosts in turn, within one window of the budget.
func testRetryBudget(t *testing.T, calls uint64, restarts []int) {
	const (
		controls     = 7
		ratio, slack = 0.2, 190
		window       = 10 * time.Second
	)
	g := gomega.NewWithT(t)
	cfg := setup.DefaultControl()
	cfg.Fleet = setup.Fleet{RetryRatio: ratio, RetryWindow: strict.Duration(window), RetrySlack: slack}
	var addresses []netip.AddrPort
	for i := range controls {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 7000))
	}
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int {
		return rank.Position("s", a, addresses) - rank.Position("s", b, addresses)
	})
	known := func() []netip.AddrPort { return addresses }
	now := time.Unix(1000, 0)
	newHost := func(i int, age time.Duration) *engine.Scheduler {
		cfg.PeerAddress = addresses[i]
		doc := (&Host{cfg: cfg}).placement(known).Document("s", addresses, age)
		s := engine.NewScheduler(doc, rand.New(rand.NewPCG(uint64(i), 1)))
		var records []member.Record
		for k := range 100 {
			records = append(records, member.Record{
				Key: member.Key{Service: "s", Target: fmt.Sprint("t", k)}, State: member.Ready, Slots: 100,
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+k)),
			})
		}
		s.Handle(nil, engine.SetTargets{Records: records}, now)
		return s
	}
	var hosts []*engine.Scheduler
	for i := range controls {
		hosts = append(hosts, newHost(i, window))
	}
	retries := 0
	for id := range calls {
		now = now.Add(time.Millisecond)
		if id == calls/2 {
			for _, i := range restarts {
				hosts[i] = newHost(i, 0)
			}
		}
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
	g.Expect(retries).To(gomega.BeNumerically("<=", int(ratio*float64(calls))+slack))
}
