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

// fakeQuota admits calls while it has room and records the calls that it has admitted
// and got back.
type fakeQuota struct {
	room               int
	yielding           int
	admitted, returned []string
}

const quotaRetryAfter = 700 * time.Millisecond

func (q *fakeQuota) Admit(account string, _ time.Time) (time.Duration, bool) {
	if q.room == 0 {
		return quotaRetryAfter, false
	}
	q.room--
	q.admitted = append(q.admitted, account)
	return 0, true
}

func (q *fakeQuota) AdmitYielding(account string, now time.Time) (time.Duration, bool) {
	q.yielding++
	return q.Admit(account, now)
}

func (q *fakeQuota) Return(account string, _ time.Time) {
	q.returned = append(q.returned, account)
}

// newQuotaScheduler returns a scheduler of a service with n targets of one slot each
// and a queue of one call.
func newQuotaScheduler(q *fakeQuota, n, openCalls int) *engine.Scheduler {
	doc := spec.Default()
	doc.Name, doc.Targets.Slots, doc.Hold.Length = "s", 1, 1
	doc.Hold.LongestWait = strict.Duration(time.Second)
	doc.Refuse.OpenCalls = openCalls
	doc.Retry = spec.Retry{Attempts: 3, BudgetPercent: 100}
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 2)), engine.WithQuota(q))
	s.Handle(nil, targets(n), start)
	return s
}

func arriveWithQuota(call uint64, account string) engine.Arrive {
	class := spec.Class{Weight: 1, Idempotent: true, Account: account}
	return engine.Arrive{Call: call, Class: class, Deadline: start.Add(time.Minute)}
}

// Guards against calls over the quota that take a slot, a place in the queue or retry
// budget from calls within theirs.
func TestCallOverQuotaTakesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &fakeQuota{}
	s := newQuotaScheduler(q, 1, 10)
	refusal := engine.Refuse{Call: 1, Reason: engine.OverQuota, NotRun: true, RetryAfter: quotaRetryAfter}
	g.Expect(s.Handle(nil, arriveWithQuota(1, "a"), start)).To(gomega.Equal([]engine.Action{refusal}))
	g.Expect(s.OpenCalls()).To(gomega.BeZero())
	q.room = 1
	g.Expect(s.Handle(nil, arriveWithQuota(2, "b"), start)).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(engine.Send{})))
	g.Expect(q.admitted).To(gomega.Equal([]string{"b"}))
	g.Expect(q.returned).To(gomega.BeEmpty(), "what was not admitted is not given back")
}

// Guards against calls without an account, as on deployments without accounts, that are
// counted against a quota.
func TestCallWithoutAccountAsksNoQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &fakeQuota{}
	s := newQuotaScheduler(q, 1, 10)
	g.Expect(s.Handle(nil, arriveWithQuota(1, ""), start)).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(engine.Send{})))
	s.Handle(nil, engine.Finish{Call: 1, Result: engine.NotRun}, start)
	g.Expect(q.returned).To(gomega.BeEmpty())
}

// Guards against repeats that count as further calls of the account, and against calls
// that may have run and are given back.
func TestRepeatsAreOneCall(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &fakeQuota{room: 1}
	s := newQuotaScheduler(q, 2, 10)
	g.Expect(s.Handle(nil, arriveWithQuota(1, "a"), start)).To(gomega.HaveLen(1))
	f := route.Feedback{Outcome: route.Failed}
	again := s.Handle(nil, engine.Finish{Call: 1, Result: engine.Unknown, Replayable: true, Feedback: f}, start)
	g.Expect(again).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(engine.Send{})))
	s.Handle(nil, engine.Finish{Call: 1, Result: engine.NotRun, Feedback: f}, start)
	g.Expect(s.OpenCalls()).To(gomega.BeZero())
	g.Expect(q.admitted).To(gomega.Equal([]string{"a"}))
	g.Expect(q.returned).To(gomega.BeEmpty())
}

// Guards against quotas that are used up by calls that no target has run.
func TestCallsThatWereNotRunAreGivenBack(t *testing.T) {
	for name, end := range map[string]func(*engine.Scheduler){
		"refused by its target": func(s *engine.Scheduler) {
			s.Handle(nil, engine.Finish{Call: 1, Result: engine.NotRun, Feedback: route.Feedback{Outcome: route.Shed}}, start)
		},
		"cancelled in the queue": func(s *engine.Scheduler) { s.Handle(nil, engine.Cancel{Call: 2}, start) },
		"waited too long":        func(s *engine.Scheduler) { s.Handle(nil, engine.Tick{}, start.Add(2*time.Second)) },
		"queue full":             func(s *engine.Scheduler) { s.Handle(nil, arriveWithQuota(3, "a"), start) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			q := &fakeQuota{room: 3}
			s := newQuotaScheduler(q, 1, 10)
			s.Handle(nil, arriveWithQuota(1, "a"), start)
			s.Handle(nil, arriveWithQuota(2, "a"), start)
			g.Expect(s.QueuedCalls()).To(gomega.Equal(1))
			end(s)
			g.Expect(q.returned).To(gomega.Equal([]string{"a"}))
		})
	}
}

// Guards against a call that was withdrawn while it was at a target, and may have run,
// being given back.
func TestCallCancelledAtATargetIsNotGivenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &fakeQuota{room: 1}
	s := newQuotaScheduler(q, 1, 10)
	s.Handle(nil, arriveWithQuota(1, "a"), start)
	s.Handle(nil, engine.Cancel{Call: 1}, start)
	g.Expect(q.returned).To(gomega.BeEmpty())
}

// Guards against calls that are refused because too many are open and yet use up the
// quota.
func TestCallRefusedForOpenCallsIsGivenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &fakeQuota{room: 2}
	s := newQuotaScheduler(q, 1, 1)
	s.Handle(nil, arriveWithQuota(1, "a"), start)
	actions := s.Handle(nil, arriveWithQuota(2, "a"), start)
	g.Expect(actions).To(gomega.ConsistOf(gomega.HaveField("Reason", engine.TooManyOpen)))
	g.Expect(q.returned).To(gomega.Equal([]string{"a"}))
}

// Guards against late calls and calls of less urgent routes that are admitted like others and
// use up the quota of their account.
func TestCallsYieldToOthersOfTheirAccount(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &fakeQuota{room: 3}
	s := newQuotaScheduler(q, 3, 10)
	for id, class := range []spec.Class{{Rank: 5}, {Late: true}, {RouteRank: 1}} {
		class.Weight, class.Account = 1, "a"
		s.Handle(nil, engine.Arrive{Call: uint64(id), Class: class, Deadline: start.Add(time.Second)}, start)
	}
	g.Expect(q.admitted).To(gomega.HaveLen(3))
	g.Expect(q.yielding).To(gomega.Equal(2))
}
