package engine_test

import (
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
)

// shedLoad runs 500 calls a second for 20 s at targets that turn away 55 of 100 attempts at
// random, whatever their load. Callers come back once. It returns the share of the calls
// that are answered, and the number of retries.
func shedLoad(knowReturned bool) (answered float64, retries int) {
	const callsPerSecond, seconds, shedShare = 500, 20, 0.55
	doc := spec.Default()
	doc.Name = "s"
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	doc.Retry = spec.Retry{Attempts: 2, Window: strict.Duration(10 * time.Second), BudgetPercent: 20}
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 1)))
	var records []member.Record
	for i := range 50 {
		records = append(records, member.Record{
			Key: member.Key{Service: "s", Target: string(rune('A' + i))}, State: member.Ready, Incarnation: 1, Slots: 4,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
	}
	rng, now, id, served := rand.New(rand.NewPCG(2, 2)), start, uint64(0), 0
	s.Handle(nil, engine.SetTargets{Records: records}, now)
	try := func(returned bool) bool {
		id++
		class := spec.Class{Weight: 1, Attempts: 2, Returned: returned || !knowReturned}
		actions := s.Handle(nil, engine.Arrive{Call: id, Class: class, Deadline: now.Add(time.Second)}, now)
		for len(actions) > 0 {
			send, ok := actions[0].(engine.Send)
			if !ok {
				return false
			}
			if send.Attempt > 1 {
				retries++
			}
			e := engine.Finish{Call: id, Result: engine.Answered, Replayable: true, Feedback: route.Feedback{Outcome: route.Served}}
			if rng.Float64() < shedShare {
				e.Result, e.Feedback.Outcome = engine.NotRun, route.Shed
			}
			if actions = s.Handle(nil, e, now); e.Result == engine.Answered {
				return true
			}
		}
		return false
	}
	for range callsPerSecond * seconds {
		now = now.Add(time.Second / callsPerSecond)
		if try(false) || try(true) {
			served++
		}
	}
	return float64(served) / (callsPerSecond * seconds), retries
}

// Guards against a retry budget that is used up by callers who could still come back, while
// those who have come back are refused for good.
func TestCallersThatHaveComeBackGetTheRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	before, retriesBefore := shedLoad(false)
	after, retries := shedLoad(true)
	t.Logf("answered %.3f with %d retries, %.3f with %d if all calls share the budget", after, retries, before, retriesBefore)
	// With 0.45 of the attempts answered, a caller that comes back is answered in 0.698 of
	// the cases if it gets a second attempt, and 0.834 of all callers are then answered.
	g.Expect(after).To(gomega.BeNumerically(">=", 0.8))
	g.Expect(after).To(gomega.BeNumerically(">", before))
	g.Expect(retries).To(gomega.BeNumerically("<=", retriesBefore+retriesBefore/20))
}
