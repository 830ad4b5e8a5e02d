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
	"cardamomspool/core/wire"
)

// extraRun is a Scheduler that has learnt that calls take extraLatency, on a fake clock.
type extraRun struct {
	scheduler *engine.Scheduler
	now       time.Time
	nextCall  uint64
}

const (
	extraLatency = 100 * time.Millisecond
	extraTargets = 8
	extraWarmup  = 400 // Calls that are answered before a test begins.
)

// newExtraRun returns a run with the given limit. configure, unless nil, may change the
// document.
func newExtraRun(limit float64, configure func(*spec.Service)) *extraRun {
	doc := spec.Default()
	doc.Name, doc.Targets.Slots, doc.Hold.Length = "s", 1, 100
	doc.Hold.LongestWait = strict.Duration(500 * time.Millisecond)
	doc.Route.Policy = spec.PolicyFastest
	doc.Retry = spec.Retry{Attempts: 3, Window: strict.Duration(10 * time.Second), BudgetPercent: 20, Slack: 10}
	if configure != nil {
		configure(&doc)
	}
	r := &extraRun{now: start, nextCall: 1}
	r.scheduler = engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 2)),
		engine.WithExtras(engine.LimitExtras{Share: limit, Window: 10 * time.Second}))
	r.handle(targets(extraTargets))
	for range extraWarmup {
		call := r.arrive(true)
		r.now = r.now.Add(extraLatency / 10)
		r.handle(engine.Finish{Call: call.Call, Attempt: call.Attempt, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}})
	}
	// Answers from now on count with the latency that the warmup had.
	return r
}

func (r *extraRun) handle(e engine.Event) []engine.Action {
	return r.scheduler.Handle(nil, e, r.now)
}

// arrive sends a new call and returns the decision to send it.
func (r *extraRun) arrive(idempotent bool) engine.Send {
	r.nextCall++
	actions := r.handle(engine.Arrive{
		Call: r.nextCall, Deadline: r.now.Add(10 * time.Second),
		Class: spec.Class{Weight: 1, Idempotent: idempotent, Aim: 600 * time.Millisecond, Deadline: 10 * time.Second},
	})
	if len(actions) != 1 {
		return engine.Send{}
	}
	send, _ := actions[0].(engine.Send)
	return send
}

// ask passes an Extra after the call has run for d, and returns the action that follows.
func (r *extraRun) ask(call uint64, d time.Duration) engine.Action {
	r.now = r.now.Add(d)
	actions := r.handle(engine.Extra{Call: call})
	if len(actions) != 1 {
		return nil
	}
	return actions[0]
}

func (r *extraRun) inFlight() int {
	return r.scheduler.Stats(r.now).InFlight
}

// both returns a call with two attempts in progress.
func (r *extraRun) both(g *gomega.WithT) (first, second engine.Send) {
	first = r.arrive(true)
	second, ok := r.ask(first.Call, extraLatency).(engine.Send)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(r.inFlight()).To(gomega.Equal(2))
	return first, second
}

func attemptAnswered(s engine.Send) engine.Finish {
	return engine.Finish{Call: s.Call, Attempt: s.Attempt, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}}
}

func attemptFailed(s engine.Send) engine.Finish {
	return engine.Finish{Call: s.Call, Attempt: s.Attempt, Result: engine.Unknown, Replayable: true, Feedback: route.Feedback{Outcome: route.Failed}}
}

// Guards against slots that stay occupied, or are freed twice, when a call has been at two
// targets, whichever attempt wins and in whatever order the reports come.
func TestSlotsOfBothAttemptsAreFreed(t *testing.T) {
	withdrawn := func(s engine.Send) engine.Finish {
		return engine.Finish{Call: s.Call, Attempt: s.Attempt, Result: engine.Withdrawn}
	}
	for name, reports := range map[string]func(first, second engine.Send) []engine.Event{
		"the first wins":                   func(a, b engine.Send) []engine.Event { return []engine.Event{withdrawn(b), attemptAnswered(a)} },
		"the second wins":                  func(a, b engine.Send) []engine.Event { return []engine.Event{withdrawn(a), attemptAnswered(b)} },
		"the answer is reported first":     func(a, b engine.Send) []engine.Event { return []engine.Event{attemptAnswered(b), withdrawn(a)} },
		"the caller leaves":                func(a, _ engine.Send) []engine.Event { return []engine.Event{engine.Cancel{Call: a.Call}} },
		"the first fails, the second wins": func(a, b engine.Send) []engine.Event { return []engine.Event{attemptFailed(a), attemptAnswered(b)} },
		"the second fails, the first wins": func(a, b engine.Send) []engine.Event { return []engine.Event{attemptFailed(b), attemptAnswered(a)} },
		"both win":                         func(a, b engine.Send) []engine.Event { return []engine.Event{attemptAnswered(a), attemptAnswered(b)} },
		"a report comes twice": func(a, b engine.Send) []engine.Event {
			return []engine.Event{attemptFailed(a), attemptFailed(a), attemptAnswered(b)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newExtraRun(0.05, nil)
			first, second := r.both(g)
			g.Expect(second.Extra).To(gomega.BeTrue())
			g.Expect(second.Target).NotTo(gomega.Equal(first.Target))
			g.Expect([]int{first.Attempt, second.Attempt}).To(gomega.Equal([]int{1, 2}))
			for _, e := range reports(first, second) {
				r.now = r.now.Add(time.Millisecond)
				g.Expect(r.handle(e)).To(gomega.BeEmpty(), "the call goes on with the other attempt, or has ended")
			}
			g.Expect(r.inFlight()).To(gomega.BeZero())
			g.Expect(r.scheduler.OpenCalls()).To(gomega.BeZero())
		})
	}
}

// Guards against calls that stay open with two slots when their host is not heard any more.
func TestOverdueCallFreesBothSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newExtraRun(0.05, nil)
	r.both(g)
	r.now = r.now.Add(12 * time.Second)
	g.Expect(r.handle(engine.Tick{})).To(gomega.ConsistOf(gomega.HaveField("Reason", engine.Unreported)))
	g.Expect(r.inFlight()).To(gomega.BeZero())
}

// Guards against a call that ends with its first failure, or is sent a third time, while
// another attempt is running, and one that is given up although it may be sent again.
func TestCallIsSentAgainOnlyAfterBothAttemptsHaveFailed(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newExtraRun(0.05, nil)
	first, second := r.both(g)
	g.Expect(r.handle(attemptFailed(second))).To(gomega.BeEmpty())
	actions := r.handle(attemptFailed(first))
	g.Expect(actions).To(gomega.HaveLen(1))
	third := actions[0].(engine.Send)
	g.Expect(third.Attempt).To(gomega.Equal(3))
	g.Expect(third.Extra).To(gomega.BeFalse())
	g.Expect(third.Target).NotTo(gomega.Or(gomega.Equal(first.Target), gomega.Equal(second.Target)))
	g.Expect(r.handle(attemptFailed(third))).To(gomega.ConsistOf(gomega.HaveField("Reason", engine.TargetFailed)), "three attempts are allowed")
}

// Guards against a second attempt that is charged although the entry host did not make it,
// and that ends the first one.
func TestSecondAttemptThatIsNotSentLeavesTheFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newExtraRun(0.05, nil)
	first, second := r.both(g)
	notSent := engine.Finish{Call: second.Call, Attempt: second.Attempt, Result: engine.NotSent, Feedback: route.Feedback{Rest: time.Second}}
	g.Expect(r.handle(notSent)).To(gomega.BeEmpty())
	g.Expect(r.inFlight()).To(gomega.Equal(1))
	again, ok := r.ask(first.Call, time.Millisecond).(engine.Send)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(again.Attempt).To(gomega.Equal(2))
	g.Expect(again.Target).NotTo(gomega.Or(gomega.Equal(first.Target), gomega.Equal(second.Target)))
}

// Guards against second attempts that a rule forbids, each named by its reason.
func TestSecondAttemptIsRefused(t *testing.T) {
	refused := func(reason engine.Reason) any {
		return gomega.And(gomega.BeAssignableToTypeOf(engine.ExtraRefused{}), gomega.HaveField("Reason", reason))
	}
	for name, row := range map[string]struct {
		configure func(*spec.Service)
		prepare   func(*extraRun) (call uint64)
		wait      time.Duration
		reason    engine.Reason
	}{
		"a call that must not run twice": {
			prepare: func(r *extraRun) uint64 { return r.arrive(false).Call },
			wait:    extraLatency, reason: engine.ExtraNotIdempotent,
		},
		"an answer that is due soon": {
			prepare: func(r *extraRun) uint64 { return r.arrive(true).Call },
			wait:    time.Millisecond, reason: engine.ExtraNotWorthwhile,
		},
		"a route with one attempt": {
			configure: func(doc *spec.Service) { doc.Retry.Attempts = 1 },
			prepare:   func(r *extraRun) uint64 { return r.arrive(true).Call },
			wait:      extraLatency, reason: engine.ExtraAttempts,
		},
		"no retry budget": {
			configure: func(doc *spec.Service) { doc.Retry.BudgetPercent, doc.Retry.Slack = 0, 0 },
			prepare:   func(r *extraRun) uint64 { return r.arrive(true).Call },
			wait:      extraLatency, reason: engine.ExtraRetryBudget,
		},
		"fewer than a quarter of the slots free": {
			prepare: func(r *extraRun) uint64 {
				call := r.arrive(true).Call
				for range extraTargets - 2 {
					r.arrive(true)
				}
				return call
			},
			wait: extraLatency, reason: engine.ExtraShortage,
		},
		"a call that waits": {
			prepare: func(r *extraRun) uint64 {
				call := r.arrive(true).Call
				for range extraTargets {
					r.arrive(true)
				}
				return call
			},
			wait: extraLatency, reason: engine.ExtraShortage,
		},
		"a call of another host that waits, as targets want none from it": {
			prepare: func(r *extraRun) uint64 {
				const askedHost = 5
				var sent []engine.Send
				arrive := func() []engine.Action {
					r.nextCall++
					return r.handle(engine.Arrive{Call: r.nextCall, Host: askedHost, Deadline: r.now.Add(time.Minute), Class: spec.Class{Weight: 1}})
				}
				for range extraTargets {
					sent = append(sent, arrive()[0].(engine.Send))
				}
				for _, s := range sent {
					e := attemptAnswered(s)
					e.Feedback.Rest = 400 * time.Millisecond
					r.handle(e)
				}
				call := r.arrive(true).Call
				arrive() // It waits.
				return call
			},
			wait: extraLatency, reason: engine.ExtraShortage,
		},
		"a second attempt that runs": {
			prepare: func(r *extraRun) uint64 {
				call := r.arrive(true).Call
				r.ask(call, extraLatency)
				return call
			},
			wait: extraLatency, reason: engine.ExtraNotInProgress,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newExtraRun(0.05, row.configure)
			call := row.prepare(r)
			g.Expect(r.ask(call, row.wait)).To(refused(row.reason).(gomega.OmegaMatcher))
		})
	}
}

// Guards against second attempts, and times to ask for them, that nobody has asked for in
// the settings, and against such times for calls that must not run twice.
func TestNoSecondAttemptsByDefault(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newExtraRun(0, nil)
	send := r.arrive(true)
	g.Expect(send.ExtraAfter).To(gomega.BeZero())
	g.Expect(r.ask(send.Call, extraLatency)).To(gomega.BeNil())
	on := newExtraRun(0.05, nil)
	g.Expect(on.arrive(true).ExtraAfter).To(gomega.BeNumerically("~", extraLatency/10, extraLatency/20))
	g.Expect(on.arrive(false).ExtraAfter).To(gomega.BeZero())
}

// Guards against a first attempt that is left at a target that has become slow since, or
// answers no probes, until most calls would have been answered.
func TestSecondAttemptIsGivenEarlyAtATargetInTrouble(t *testing.T) {
	for name, probe := range map[string]route.Probe{
		"slow":   {Result: route.ProbeHealthy, Reported: true, Load: wire.Load{Running: 1, Slots: 1, Pace: 400}},
		"silent": {Result: route.ProbeLost},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newExtraRun(0.05, nil)
			send := r.arrive(true)
			g.Expect(r.ask(send.Call, time.Millisecond)).To(gomega.BeAssignableToTypeOf(engine.ExtraRefused{}))
			r.now = r.now.Add(time.Millisecond)
			r.handle(engine.ProbeReport{Target: send.Target, Probe: probe})
			g.Expect(r.ask(send.Call, time.Millisecond)).To(gomega.BeAssignableToTypeOf(engine.Send{}))
		})
	}
}

// Guards against a second attempt that stays in a data centre that is in trouble, and one
// that leaves its data centre without need.
func TestSecondAttemptLeavesADataCentreInTrouble(t *testing.T) {
	for _, inTrouble := range []bool{false, true} {
		g := gomega.NewWithT(t)
		r := newExtraRun(0.05, nil)
		records := targets(extraTargets).Records
		for i := range records {
			records[i].DataCentre = []string{"near", "far"}[i%2]
		}
		r.handle(engine.SetTargets{Records: records})
		r.nextCall++
		first := r.handle(engine.Arrive{
			Call: r.nextCall, Deadline: r.now.Add(10 * time.Second), DataCentre: "near",
			Class: spec.Class{Weight: 1, Idempotent: true, Aim: 600 * time.Millisecond},
		})[0].(engine.Send)
		r.now = r.now.Add(extraLatency)
		for i, record := range records {
			pace := 100
			if inTrouble && i%4 == 0 { // Half of those that are near.
				pace = 400
			}
			r.handle(engine.ProbeReport{Target: record.Target, Probe: route.Probe{
				Result: route.ProbeHealthy, Reported: true, Load: wire.Load{Slots: 1, Pace: pace},
			}})
		}
		second := r.ask(first.Call, time.Millisecond).(engine.Send)
		far := false
		for _, record := range records {
			far = far || record.Target == second.Target && record.DataCentre == "far"
		}
		g.Expect(far).To(gomega.Equal(inTrouble))
	}
}

// Guards against more second attempts than the limit, or than the retry budget, in a run
// under load in which every tenth call is slow.
func TestLimitsHoldOverALoadRun(t *testing.T) {
	for name, row := range map[string]struct {
		limit         float64
		budgetPercent int
		most          float64
	}{
		"limit":        {0.05, 20, 0.05},
		"retry budget": {0.5, 2, 0.02},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newExtraRun(row.limit, func(doc *spec.Service) {
				doc.Retry.BudgetPercent, doc.Retry.Slack = row.budgetPercent, 0
				doc.Targets.Slots = 4
			})
			calls, extras := 0, 0
			for range 2000 {
				send := r.arrive(true)
				calls++
				if calls%10 > 0 {
					r.now = r.now.Add(extraLatency / 10)
					r.handle(attemptAnswered(send))
					continue
				}
				if second, ok := r.ask(send.Call, extraLatency).(engine.Send); ok {
					extras++
					r.handle(engine.Finish{Call: send.Call, Attempt: send.Attempt, Result: engine.Withdrawn})
					r.handle(attemptAnswered(second))
				} else {
					r.handle(attemptAnswered(send))
				}
			}
			g.Expect(extras).To(gomega.BeNumerically("<=", row.most*float64(calls+extraWarmup)))
			g.Expect(extras).To(gomega.BeNumerically(">", row.most*float64(calls)/2), "the limit is used")
		})
	}
}

// Guards against latencies that seem to fall because slow attempts are cancelled before they
// are answered: a cancelled attempt counts as one that takes longer.
func TestCancelledAttemptsRaiseTheExpectedLatency(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newExtraRun(1, func(doc *spec.Service) { doc.Retry.BudgetPercent = 100 })
	send := r.arrive(true)
	before := send.ExtraAfter
	r.handle(engine.Cancel{Call: send.Call})
	for range 12 {
		first, second := r.both(g)
		r.handle(engine.Finish{Call: first.Call, Attempt: first.Attempt, Result: engine.Withdrawn})
		r.now = r.now.Add(extraLatency / 10)
		r.handle(attemptAnswered(second))
	}
	g.Expect(float64(r.arrive(true).ExtraAfter)).To(gomega.BeNumerically(">", 1.2*float64(before)))
}

// Guards against a target that counts as failing or slow because an attempt there was
// cancelled.
func TestWithdrawnSaysNothingAgainstTheTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newExtraRun(1, func(doc *spec.Service) { doc.Retry.BudgetPercent = 100 })
	before := r.scheduler.Stats(r.now)
	for range 20 {
		first, second := r.both(g)
		r.handle(engine.Finish{Call: first.Call, Attempt: first.Attempt, Result: engine.Withdrawn})
		r.now = r.now.Add(extraLatency / 10)
		r.handle(attemptAnswered(second))
		for range 20 {
			send := r.arrive(true)
			r.now = r.now.Add(extraLatency / 10)
			r.handle(attemptAnswered(send))
		}
	}
	after := r.scheduler.Stats(r.now)
	g.Expect(after.Targets.Failing).To(gomega.BeZero())
	g.Expect(after.MeanLatency).To(gomega.BeNumerically("~", before.MeanLatency, before.MeanLatency/10))
}
