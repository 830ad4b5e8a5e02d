package engine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

// restHosts are the hosts of the calls in these tests.
const (
	askedHost uint64 = 1
	otherHost uint64 = 2
)

// newRestScheduler returns a scheduler for n targets of one slot each, and a function
// that passes events to it at its time, which the caller may advance.
func newRestScheduler(n int) (now *time.Time, handle func(engine.Event) []engine.Action) {
	doc := spec.Default()
	doc.Name, doc.Targets.Slots, doc.Hold.Length = "s", 1, 100
	doc.Hold.LongestWait = strict.Duration(500 * time.Millisecond)
	doc.Route.Policy = spec.PolicyFastest
	doc.Retry = spec.Retry{Attempts: 2, BudgetPercent: 20}
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 2)))
	at := start
	handle = func(e engine.Event) []engine.Action { return s.Handle(nil, e, at) }
	handle(targets(n))
	return &at, handle
}

func arriveFrom(call, host uint64) engine.Arrive {
	return engine.Arrive{Call: call, Host: host, Class: spec.Class{Weight: 1}, Deadline: start.Add(time.Minute)}
}

func turnedAway(call uint64, rest time.Duration) engine.Finish {
	return engine.Finish{Call: call, Result: engine.NotRun, Replayable: true, Feedback: route.Feedback{Outcome: route.Shed, Rest: rest}}
}

func TestRestBindsTheHostThatWasAsked(t *testing.T) {
	g := gomega.NewWithT(t)
	now, handle := newRestScheduler(1)
	handle(arriveFrom(1, askedHost))
	handle(turnedAway(1, 3*time.Second))
	*now = now.Add(time.Second)
	refused := handle(arriveFrom(2, askedHost))
	g.Expect(refused).To(gomega.ConsistOf(gomega.HaveField("Reason", engine.NoProspect)), "at once, as the rest is longer than any wait")
	g.Expect(refused[0].(engine.Refuse).RetryAfter).To(gomega.Equal(2 * time.Second))
	g.Expect(handle(arriveFrom(3, otherHost))).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(engine.Send{})))
	handle(engine.Finish{Call: 3, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}})
	*now = now.Add(2 * time.Second)
	g.Expect(handle(arriveFrom(4, askedHost))).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(engine.Send{})))
}

func TestRestBindsHeldCallsAndRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	now, handle := newRestScheduler(1)
	handle(arriveFrom(1, otherHost))
	g.Expect(handle(arriveFrom(2, askedHost))).To(gomega.BeEmpty(), "held")
	g.Expect(handle(arriveFrom(3, otherHost))).To(gomega.BeEmpty(), "held behind it")
	handle(engine.Finish{Call: 1, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}})
	actions := handle(turnedAway(2, 400*time.Millisecond))
	g.Expect(actions).NotTo(gomega.ContainElement(gomega.HaveField("Call", uint64(2))), "neither sent again nor refused")
	*now = now.Add(60 * time.Millisecond) // The pause after a shed is over.
	g.Expect(handle(engine.Tick{})).To(gomega.ConsistOf(gomega.HaveField("Call", uint64(3))), "a call of another host goes first")
	handle(engine.Finish{Call: 3, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}})
	*now = now.Add(340 * time.Millisecond)
	g.Expect(handle(engine.Tick{})).To(gomega.ConsistOf(gomega.And(gomega.BeAssignableToTypeOf(engine.Send{}), gomega.HaveField("Call", uint64(2)))))
}

func TestTargetThatRestsForAHostStaysInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	_, handle := newRestScheduler(2)
	send := handle(arriveFrom(1, askedHost))[0].(engine.Send)
	actions := handle(engine.Finish{Call: 1, Result: engine.NotSent, Feedback: route.Feedback{Rest: time.Second}})
	g.Expect(actions).To(gomega.HaveLen(1))
	again := actions[0].(engine.Send)
	g.Expect(again.Target).NotTo(gomega.Equal(send.Target))
	g.Expect(again.Attempt).To(gomega.Equal(1), "no attempt was made")
	other := handle(arriveFrom(2, otherHost))[0].(engine.Send)
	g.Expect(other.Target).To(gomega.Equal(send.Target))
}
