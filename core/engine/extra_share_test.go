package engine_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
)

// submit sends a new idempotent call of an account.
func (r *extraRun) submit(account string) (call uint64, actions []engine.Action) {
	r.nextCall++
	return r.nextCall, r.handle(engine.Arrive{
		Call: r.nextCall, Deadline: r.now.Add(10 * time.Second),
		Class: spec.Class{Weight: 1, Idempotent: true, Aim: 600 * time.Millisecond, Deadline: 10 * time.Second, Account: account},
	})
}

// sendOne sends a new call of an account, which must be sent at once.
func (r *extraRun) sendOne(g *gomega.WithT, account string) engine.Send {
	_, actions := r.submit(account)
	g.Expect(actions).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(engine.Send{})))
	return actions[0].(engine.Send)
}

// hedgedRun returns a run in which the accounts "hedges" and "works" have one call each at a
// target, that of "hedges" with a second attempt, and no slot is free. busy is the call of
// "works".
func hedgedRun(g *gomega.WithT) (r *extraRun, busy, second engine.Send) {
	r = newExtraRun(0.05, nil)
	busy = r.sendOne(g, "works")
	first := r.sendOne(g, "hedges")
	second, ok := r.ask(first.Call, extraLatency).(engine.Send)
	g.Expect(ok).To(gomega.BeTrue())
	for _, account := range []string{"a", "b", "c", "d", "e"} {
		r.sendOne(g, account)
	}
	return r, busy, second
}

// Guards against second attempts that cost an account nothing in fair shares.
func TestSecondAttemptsCountAsWork(t *testing.T) {
	g := gomega.NewWithT(t)
	r, busy, second := hedgedRun(g)
	r.submit("hedges")
	works, _ := r.submit("works")
	g.Expect(sentCalls(r.handle(attemptAnswered(busy)))).To(gomega.Equal([]uint64{works}), "two attempts of the other account have begun")
	g.Expect(sentCalls(r.handle(attemptAnswered(second)))).NotTo(gomega.BeEmpty())
}

// Guards against accounts that pay for second attempts which no target has run.
func TestSecondAttemptThatWasNotRunCountsAsNoWork(t *testing.T) {
	for name, e := range map[string]engine.Finish{
		"not sent": {Result: engine.NotSent, Feedback: route.Feedback{Rest: time.Minute}},
		"shed":     {Result: engine.NotRun, Feedback: route.Feedback{Outcome: route.Shed}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, busy, second := hedgedRun(g)
			e.Call, e.Attempt = second.Call, second.Attempt
			r.handle(e)
			hedges, _ := r.submit("hedges")
			r.submit("works")
			g.Expect(sentCalls(r.handle(attemptAnswered(busy)))).To(gomega.Equal([]uint64{hedges}))
		})
		t.Run(name+" while calls wait", func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, busy, second := hedgedRun(g)
			next, _ := r.submit("works")
			r.submit("works")
			hedges, _ := r.submit("hedges")
			e.Call, e.Attempt = second.Call, second.Attempt
			g.Expect(r.handle(e)).To(gomega.BeEmpty(), "the target takes no calls for now")
			g.Expect(sentCalls(r.handle(attemptAnswered(busy)))).To(gomega.Equal([]uint64{next}))
			g.Expect(sentCalls(r.handle(engine.Cancel{Call: second.Call}))).To(gomega.Equal([]uint64{hedges}))
		})
	}
}

// Guards against a quota that is used up by second attempts which no target has run.
func TestSecondAttemptThatWasNotRunIsGivenBackToTheQuota(t *testing.T) {
	for name, row := range map[string]struct {
		end      engine.Finish
		returned []string
	}{
		"not sent": {engine.Finish{Result: engine.NotSent}, []string{"a"}},
		"shed":     {engine.Finish{Result: engine.NotRun, Feedback: route.Feedback{Outcome: route.Shed}}, []string{"a"}},
		"failed":   {engine.Finish{Result: engine.Unknown, Feedback: route.Feedback{Outcome: route.Failed}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newExtraRun(0.05, nil)
			q := &fakeQuota{room: 2}
			engine.WithQuota(q)(r.scheduler)
			first := r.sendOne(g, "a")
			second := r.ask(first.Call, extraLatency).(engine.Send)
			row.end.Call, row.end.Attempt = second.Call, second.Attempt
			r.handle(row.end)
			g.Expect(q.returned).To(gomega.Equal(row.returned))
			r.handle(attemptAnswered(first))
			g.Expect(q.returned).To(gomega.Equal(row.returned), "the first attempt has run")
		})
	}
}
