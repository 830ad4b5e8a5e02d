package engine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
)

// ruleCall is the expected state of one call.
type ruleCall struct {
	class      spec.Class
	deadline   time.Time
	target     string // Empty when the call is not at a target.
	mayHaveRun bool
	failed     bool // The last attempt failed and was not shed.
	ended      bool
}

// rulesRun sends random events to a Scheduler and checks each action.
type rulesRun struct {
	t         *rapid.T
	doc       spec.Service
	scheduler *engine.Scheduler
	now       time.Time
	calls     map[uint64]*ruleCall
	open      []uint64
	running   map[string]int
	records   []member.Record
	retries   int
	accounts  bool // Calls have client accounts, ranks and aims.
}

// TestRulesHoldOverRandomRuns checks these rules over random events: a call that may
// have run is sent again only when it is idempotent; the NotRun of each Refuse is
// correct; every call ends once, and at a target only by its result or after its
// deadline; targets get no more calls than their slots and
// none while draining; retries after failures stay within the budget.
func TestRulesHoldOverRandomRuns(t *testing.T) {
	checkRules(t, false)
}

// TestRulesHoldOverRandomRunsWithAccounts checks the same rules for calls of accounts, and
// that no account counts as waiting after all calls have ended.
func TestRulesHoldOverRandomRunsWithAccounts(t *testing.T) {
	checkRules(t, true)
}

func checkRules(t *testing.T, accounts bool) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRulesRun(t)
		r.accounts = accounts
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			r.step()
		}
		r.now = r.now.Add(time.Hour)
		r.handle(engine.Tick{})
		if held := r.scheduler.QueuedCalls(); held > 0 {
			t.Fatalf("%d calls are still queued after an hour", held)
		}
		if len(r.open) > 0 || r.scheduler.OpenCalls() > 0 {
			t.Fatalf("the engine has %d open calls, and %d have not ended", r.scheduler.OpenCalls(), len(r.open))
		}
		if stats := r.scheduler.Stats(r.now); stats.AccountsWaiting != 0 || stats.LargestShare != 0 {
			t.Fatalf("%d accounts wait, and one has %.2f of the open calls, after all calls have ended", stats.AccountsWaiting, stats.LargestShare)
		}
		r.checkSlotsFree()
		allowed := 10 + len(r.calls)*r.doc.Retry.BudgetPercent/100
		if r.retries > allowed {
			t.Fatalf("%d retries after failures, the budget allows %d", r.retries, allowed)
		}
	})
}

func newRulesRun(t *rapid.T) *rulesRun {
	r := &rulesRun{t: t, doc: spec.Default(), now: start, calls: map[uint64]*ruleCall{}, running: map[string]int{}}
	r.doc.Route.Policy = rapid.SampledFrom(spec.Policies).Draw(t, "policy")
	r.doc.Targets.Slots, r.doc.Hold.Length = 2, 5
	seed := rapid.Uint64().Draw(t, "seed")
	r.scheduler = engine.NewScheduler(r.doc, rand.New(rand.NewPCG(seed, 1)))
	r.records = targets(4).Records
	r.handle(engine.SetTargets{Records: r.records})
	return r
}

// checkSlotsFree cancels all calls, makes all targets ready and checks that a call
// can be sent for every slot.
func (r *rulesRun) checkSlotsFree() {
	for len(r.open) > 0 {
		id := r.open[0]
		r.freeSlot(r.calls[id])
		r.end(id)
		r.handle(engine.Cancel{Call: id})
	}
	for i := range r.records {
		r.records[i].State = member.Ready
	}
	r.handle(engine.SetTargets{Records: r.records})
	slots := len(r.records) * r.doc.Targets.Slots
	for range slots {
		id := uint64(len(r.calls) + 1)
		r.calls[id] = &ruleCall{}
		r.handle(engine.Arrive{Call: id, Deadline: r.now.Add(time.Second)})
		if r.calls[id].target == "" {
			r.t.Fatalf("a slot was not freed: %v", r.running)
		}
	}
}

// step sends one random event, or none when it needs a call and there is none.
func (r *rulesRun) step() {
	switch rapid.IntRange(0, 9).Draw(r.t, "event") {
	case 0:
		r.handle(engine.Tick{})
	case 1:
		i := rapid.IntRange(0, len(r.records)-1).Draw(r.t, "target")
		r.records[i].State = rapid.SampledFrom([]member.State{member.Ready, member.Draining}).Draw(r.t, "state")
		r.records[i].Incarnation++
		r.handle(engine.SetTargets{Records: r.records})
	case 2:
		r.cancel()
	case 3, 4, 5:
		r.arrive()
	default:
		r.finish()
	}
}

func (r *rulesRun) arrive() {
	id := uint64(len(r.calls) + 1)
	class := spec.Class{Weight: rapid.IntRange(1, 3).Draw(r.t, "weight"), Idempotent: rapid.Bool().Draw(r.t, "idempotent")}
	class.Patient = rapid.Bool().Draw(r.t, "patient")
	if r.accounts {
		class.Account = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(r.t, "account")
		class.Rank = rapid.IntRange(0, 2).Draw(r.t, "rank")
		class.Aim = time.Duration(rapid.IntRange(0, 500).Draw(r.t, "aim")) * time.Millisecond
		class.Late = rapid.IntRange(0, 4).Draw(r.t, "late") == 0
	}
	deadline := r.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(r.t, "deadline")) * time.Millisecond)
	r.calls[id] = &ruleCall{class: class, deadline: deadline}
	r.open = append(r.open, id)
	r.handle(engine.Arrive{Call: id, Class: class, Deadline: deadline})
}

// drawCall draws one of the open calls that are at a target, or of those that
// are not. It reports false when there is none.
func (r *rulesRun) drawCall(atTarget bool) (uint64, bool) {
	var list []uint64
	for _, id := range r.open {
		if (r.calls[id].target != "") == atTarget {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(list).Draw(r.t, "call"), true
}

func (r *rulesRun) cancel() {
	id, ok := r.drawCall(rapid.Bool().Draw(r.t, "at target"))
	if !ok {
		return
	}
	r.freeSlot(r.calls[id])
	r.end(id)
	r.handle(engine.Cancel{Call: id, DeadlinePassed: rapid.Bool().Draw(r.t, "overdue")})
}

func (r *rulesRun) finish() {
	id, ok := r.drawCall(true)
	if !ok {
		return
	}
	c := r.calls[id]
	r.freeSlot(c)
	f := engine.Finish{Call: id, Replayable: rapid.Bool().Draw(r.t, "replayable")}
	switch rapid.IntRange(0, 3).Draw(r.t, "result") {
	case 0:
		f.Result, f.Feedback.Outcome = engine.Answered, route.Served
		r.end(id)
	case 1:
		f.Result, f.Feedback.Outcome = engine.NotRun, route.Shed
	case 2:
		f.Result, f.Feedback.Outcome = engine.NotRun, route.Unreachable
		c.failed = true
	default:
		f.Result, f.Feedback.Outcome = engine.Unknown, route.Failed
		c.failed, c.mayHaveRun = true, true
	}
	r.handle(f)
}

// freeSlot records that a call has left its target, if it is at one.
func (r *rulesRun) freeSlot(c *ruleCall) {
	if c.target != "" {
		r.running[c.target]--
		c.target = ""
	}
}

// end records that a call has ended.
func (r *rulesRun) end(id uint64) {
	r.calls[id].ended = true
	for i, other := range r.open {
		if other == id {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

// handle passes an event to the Scheduler and checks the actions.
func (r *rulesRun) handle(e engine.Event) {
	for _, action := range r.scheduler.Handle(nil, e, r.now) {
		switch a := action.(type) {
		case engine.Send:
			r.checkSend(a)
		case engine.Refuse:
			c := r.calls[a.Call]
			if a.Reason == engine.Unreported && c.target != "" && r.now.Sub(c.deadline) > time.Second {
				r.freeSlot(c)
				c.mayHaveRun = true
			}
			if c.ended || a.NotRun == c.mayHaveRun || c.target != "" {
				r.t.Fatalf("call %d, %+v, was refused with %+v", a.Call, *c, a)
			}
			r.end(a.Call)
		}
	}
}

// checkSend checks that a call may be sent as a says, and records it.
func (r *rulesRun) checkSend(a engine.Send) {
	c := r.calls[a.Call]
	if c.ended || c.target != "" || c.mayHaveRun && !c.class.Idempotent {
		r.t.Fatalf("call %d, %+v, was sent to %s", a.Call, *c, a.Target)
	}
	for i := range r.records {
		if r.records[i].Target == a.Target && r.records[i].State != member.Ready {
			r.t.Fatalf("call %d was sent to %s, which is draining", a.Call, a.Target)
		}
	}
	if c.failed {
		r.retries++
	}
	c.failed = false
	c.target = a.Target
	r.running[a.Target]++
	if r.running[a.Target] > r.doc.Targets.Slots {
		r.t.Fatalf("%s has %d calls in flight and %d slots", a.Target, r.running[a.Target], r.doc.Targets.Slots)
	}
}
