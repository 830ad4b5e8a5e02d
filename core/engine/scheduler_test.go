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
)

var (
	start = time.Unix(1000, 0)
	class = spec.Class{Weight: 1, Deadline: time.Second}
)

func newScheduler() *engine.Scheduler {
	doc := spec.Default()
	doc.Name = "s"
	doc.Targets.Slots = 1
	doc.Hold.Length = 1
	return engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 1)))
}

func targets(n int) engine.SetTargets {
	list := make([]member.Record, n)
	for i := range list {
		list[i] = member.Record{
			Key:     member.Key{Service: "s", Target: string(rune('a' + i))},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
			State:   member.Ready,
		}
	}
	return engine.SetTargets{Records: list}
}

func TestHeldCallIsSentWhenASlotIsFreed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler()
	s.Handle(nil, targets(1), start)
	g.Expect(s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)).To(gomega.HaveLen(1))
	g.Expect(s.Handle(nil, engine.Arrive{Call: 2, Class: class, Deadline: start.Add(time.Second)}, start)).To(gomega.BeEmpty())
	actions := s.Handle(nil, engine.Arrive{Call: 3, Class: class, Deadline: start.Add(time.Second)}, start)
	g.Expect(actions).To(gomega.ConsistOf(engine.Refuse{Call: 3, Reason: engine.QueueFull, NotRun: true, RetryAfter: time.Second}))
	actions = s.Handle(nil, engine.Finish{Call: 1, Result: engine.Answered}, start.Add(time.Millisecond))
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Send).HeldFor).To(gomega.Equal(time.Millisecond))
}

func TestNonIdempotentCallIsNotSentAgainAfterUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler()
	s.Handle(nil, targets(2), start)
	s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	actions := s.Handle(nil, engine.Finish{Call: 1, Result: engine.NotRun, Replayable: true}, start)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Send).Attempt).To(gomega.Equal(2))
	actions = s.Handle(nil, engine.Finish{Call: 1, Result: engine.Unknown, Replayable: true}, start)
	g.Expect(actions).To(gomega.ConsistOf(engine.Refuse{Call: 1, Reason: engine.TargetFailed, RetryAfter: time.Second}))
	g.Expect(s.OpenCalls()).To(gomega.BeZero())
}

func TestCallIsRefusedAtOnceWithoutReadyOrColdTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler()
	arrive := engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}
	refused := engine.Refuse{Call: 1, Reason: engine.NoTarget, NotRun: true, RetryAfter: time.Second}
	g.Expect(s.Handle(nil, arrive, start)).To(gomega.ConsistOf(refused))
	leaving := targets(1)
	leaving.Records[0].State = member.Draining
	s.Handle(nil, leaving, start)
	g.Expect(s.Handle(nil, arrive, start)).To(gomega.ConsistOf(refused))
	coming := targets(1)
	coming.Records[0].State = member.Cold
	s.Handle(nil, coming, start)
	g.Expect(s.Handle(nil, arrive, start)).To(gomega.BeEmpty())
	g.Expect(s.Handle(nil, targets(1), start.Add(time.Millisecond))).To(gomega.HaveLen(1))
}

func TestCallWithTooShortDeadlineIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Targets.Slots = 1
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 1)))
	s.Handle(nil, targets(1), start)
	s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	s.Handle(nil, engine.Finish{Call: 1, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}}, start.Add(100*time.Millisecond))
	now := start.Add(200 * time.Millisecond)
	refused := []engine.Action{}
	for id := uint64(2); id < 10; id++ {
		refused = s.Handle(refused, engine.Arrive{Call: id, Class: class, Deadline: now.Add(350 * time.Millisecond)}, now)
	}
	// One call runs, for 100 ms. Two more can start within 250 ms, which leaves
	// 100 ms to run before the deadline.
	g.Expect(s.QueuedCalls()).To(gomega.Equal(2))
	g.Expect(refused[1:]).To(gomega.HaveEach(gomega.HaveField("Reason", engine.NoProspect)))
	g.Expect(refused).To(gomega.HaveLen(6))
}

func TestShedCallGoesToAnotherTargetWithoutRetryBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Route.Policy = spec.PolicyHotCold
	doc.Retry.BudgetPercent, doc.Retry.Attempts = 0, 2
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 1)))
	s.Handle(nil, targets(5), start)
	actions := s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	seen := map[string]bool{}
	for range 5 {
		g.Expect(actions).To(gomega.HaveLen(1))
		seen[actions[0].(engine.Send).Target] = true
		actions = s.Handle(nil, engine.Finish{Call: 1, Result: engine.NotRun, Replayable: true, Feedback: route.Feedback{Outcome: route.Shed}}, start)
	}
	g.Expect(seen).To(gomega.HaveLen(5))
	g.Expect(actions).To(gomega.BeEmpty())
	g.Expect(s.QueuedCalls()).To(gomega.Equal(1))
	next, ok := s.NextDispatch(start)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(s.Handle(nil, engine.Tick{}, next)).To(gomega.HaveLen(1))
}

func TestHeldCallWaitsForUntriedTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Targets.Slots = 1
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 1)))
	s.Handle(nil, targets(2), start)
	first := s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)[0].(engine.Send)
	second := s.Handle(nil, engine.Arrive{Call: 2, Class: class, Deadline: start.Add(time.Second)}, start)[0].(engine.Send)
	s.Handle(nil, engine.Arrive{Call: 3, Class: class, Deadline: start.Add(time.Second)}, start)
	actions := s.Handle(nil, engine.Finish{Call: 1, Result: engine.NotRun, Replayable: true}, start)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0]).To(gomega.And(gomega.HaveField("Call", uint64(3)), gomega.HaveField("Target", first.Target)))
	actions = s.Handle(nil, engine.Finish{Call: 2, Result: engine.Answered}, start)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0]).To(gomega.And(gomega.HaveField("Call", uint64(1)), gomega.HaveField("Target", second.Target)))
}

func TestMissedDeadlinesEjectTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Targets.Slots = 100
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 1)))
	s.Handle(nil, targets(2), start)
	id, now, unanswered := uint64(0), start, 0
	for range 200 {
		id++
		now = now.Add(20 * time.Millisecond)
		send := s.Handle(nil, engine.Arrive{Call: id, Class: class, Deadline: now.Add(time.Second)}, now)[0].(engine.Send)
		if send.Target == "b" {
			now = now.Add(10 * time.Millisecond)
			s.Handle(nil, engine.Finish{Call: id, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}}, now)
			continue
		}
		unanswered++
		now = now.Add(time.Second)
		s.Handle(nil, engine.Cancel{Call: id, DeadlinePassed: true}, now)
	}
	g.Expect(unanswered).To(gomega.BeNumerically("<=", 12))
}

func TestRetryBudgetBoundsAttemptsWhenNoTargetCanBeReached(t *testing.T) {
	g := gomega.NewWithT(t)
	s := engine.NewScheduler(spec.Default(), rand.New(rand.NewPCG(1, 1)))
	s.Handle(nil, targets(3), start)
	const calls = 1000
	attempts := 0
	for id := uint64(1); id <= calls; id++ {
		actions := s.Handle(nil, engine.Arrive{Call: id, Class: class, Deadline: start.Add(time.Second)}, start)
		for len(actions) == 1 {
			if _, sent := actions[0].(engine.Send); !sent {
				break
			}
			attempts++
			actions = s.Handle(nil, engine.Finish{
				Call: id, Result: engine.NotRun, Replayable: true, Feedback: route.Feedback{Outcome: route.Unreachable},
			}, start)
		}
	}
	// A tenth of the calls, plus the initial burst of ten retries.
	g.Expect(attempts).To(gomega.BeNumerically("~", calls+calls/10, 10))
	g.Expect(s.OpenCalls()).To(gomega.BeZero())
}

func TestFinishOfHeldCallIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler()
	s.Handle(nil, targets(1), start)
	s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	s.Handle(nil, engine.Arrive{Call: 2, Class: class, Deadline: start.Add(time.Second)}, start)
	g.Expect(s.Handle(nil, engine.Finish{Call: 2, Result: engine.Answered}, start)).To(gomega.BeEmpty())
	g.Expect(s.QueuedCalls()).To(gomega.Equal(1))
	actions := s.Handle(nil, engine.Finish{Call: 1, Result: engine.Answered}, start)
	g.Expect(actions).To(gomega.ConsistOf(gomega.HaveField("Call", uint64(2))))
}

func TestPatientCallDoesNotOvertakeHeldPromptCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Targets.Slots = 1
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 1)))
	s.Handle(nil, targets(1), start)
	s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	s.Handle(nil, engine.Finish{Call: 1, Result: engine.NotRun, Replayable: true, Feedback: route.Feedback{Outcome: route.Shed}}, start)
	g.Expect(s.QueuedCalls()).To(gomega.Equal(1))
	patient := spec.Class{Weight: 1, Deadline: time.Second, Patient: true}
	later := start.Add(50 * time.Millisecond) // The pause after the shed is over, without a Tick.
	actions := s.Handle(nil, engine.Arrive{Call: 2, Class: patient, Deadline: later.Add(time.Second)}, later)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Send).Call).To(gomega.Equal(uint64(1)))
}

func TestTickRefusesCallsThatWaitedTooLong(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler()
	s.Handle(nil, targets(1), start)
	s.Handle(nil, engine.Arrive{Call: 9, Class: class, Deadline: start.Add(time.Minute)}, start)
	s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	g.Expect(s.Handle(nil, engine.Tick{}, start.Add(499*time.Millisecond))).To(gomega.BeEmpty())
	actions := s.Handle(nil, engine.Tick{}, start.Add(500*time.Millisecond))
	g.Expect(actions).To(gomega.ConsistOf(engine.Refuse{Call: 1, Reason: engine.WaitedTooLong, NotRun: true, RetryAfter: time.Second}))
}

func TestBrokenAnswerEndsTheCallAndFreesItsSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler()
	s.Handle(nil, targets(1), start)
	s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	g.Expect(s.Handle(nil, engine.Finish{Call: 1, Result: engine.Broken, Replayable: true}, start)).To(gomega.BeEmpty())
	g.Expect(s.OpenCalls()).To(gomega.BeZero())
	g.Expect(s.Handle(nil, engine.Arrive{Call: 2, Class: class, Deadline: start.Add(time.Second)}, start)).To(gomega.HaveLen(1))
}
