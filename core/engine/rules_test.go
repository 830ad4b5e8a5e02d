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

// ruleCall is what a test knows of one call.
type ruleCall struct {
	class    spec.Class
	target   string // Where the call is now; empty when it is held.
	maybeRun bool
	failed   bool // The last attempt failed and was not shed.
	ended    bool
}

// rules plays random events against an engine and checks each decision.
type rules struct {
	t       *rapid.T
	doc     spec.Service
	engine  *engine.Service
	now     time.Time
	calls   map[uint64]*ruleCall
	open    []uint64
	atWork  map[string]int
	records []member.Record
	repeats int
}

// Over any run: a call that may have run is sent again only when idempotent,
// not run is said truthfully, every call ends once, targets get no more than
// their slots and nothing once they drain, and repeats after failures stay
// within the budget.
func TestRulesHoldOverRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRules(t)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			r.step()
		}
		r.now = r.now.Add(time.Hour)
		r.handle(engine.Tick{})
		if held := r.engine.Held(); held > 0 {
			t.Fatalf("%d calls are still held after an hour", held)
		}
		if len(r.open) != r.engine.Open() {
			t.Fatalf("the engine has %d calls open, should have %d", r.engine.Open(), len(r.open))
		}
		r.checkRoom()
		allowed := 10 + len(r.calls)*r.doc.Retry.BudgetPercent/100
		if r.repeats > allowed {
			t.Fatalf("%d repeats after failures, the budget allows %d", r.repeats, allowed)
		}
	})
}

func newRules(t *rapid.T) *rules {
	r := &rules{t: t, doc: spec.Default(), now: start, calls: map[uint64]*ruleCall{}, atWork: map[string]int{}}
	r.doc.Route.Policy = rapid.SampledFrom(spec.Policies).Draw(t, "policy")
	r.doc.Targets.Slots, r.doc.Hold.Length = 2, 5
	seed := rapid.Uint64().Draw(t, "seed")
	r.engine = engine.NewService(r.doc, rand.New(rand.NewPCG(seed, 1)))
	r.records = targets(4).Records
	r.handle(engine.Retarget{Records: r.records})
	return r
}

// checkRoom ends all calls and checks that every slot is free again.
func (r *rules) checkRoom() {
	for len(r.open) > 0 {
		id := r.open[0]
		r.leave(r.calls[id])
		r.end(id)
		r.handle(engine.Cancel{Call: id})
	}
	for i := range r.records {
		r.records[i].State = member.Ready
	}
	r.handle(engine.Retarget{Records: r.records})
	room := len(r.records) * r.doc.Targets.Slots
	for range room {
		id := uint64(len(r.calls) + 1)
		r.calls[id] = &ruleCall{}
		r.handle(engine.Arrive{Call: id, Deadline: r.now.Add(time.Second)})
		if r.calls[id].target == "" {
			r.t.Fatalf("a slot was not freed: %v", r.atWork)
		}
	}
}

func (r *rules) step() {
	switch rapid.IntRange(0, 9).Draw(r.t, "event") {
	case 0:
		r.handle(engine.Tick{})
	case 1:
		i := rapid.IntRange(0, len(r.records)-1).Draw(r.t, "target")
		r.records[i].State = rapid.SampledFrom([]member.State{member.Ready, member.Draining}).Draw(r.t, "state")
		r.records[i].Incarnation++
		r.handle(engine.Retarget{Records: r.records})
	case 2:
		r.cancel()
	case 3, 4, 5:
		r.arrive()
	default:
		r.finish()
	}
}

func (r *rules) arrive() {
	id := uint64(len(r.calls) + 1)
	class := spec.Class{Weight: rapid.IntRange(1, 3).Draw(r.t, "weight"), Idempotent: rapid.Bool().Draw(r.t, "idempotent")}
	class.Patient = rapid.Bool().Draw(r.t, "patient")
	r.calls[id] = &ruleCall{class: class}
	r.open = append(r.open, id)
	deadline := time.Duration(rapid.IntRange(1, 1000).Draw(r.t, "deadline")) * time.Millisecond
	r.handle(engine.Arrive{Call: id, Class: class, Deadline: r.now.Add(deadline)})
}

// drawn returns one of the open calls that are, or are not, at a target.
func (r *rules) drawn(atTarget bool) (uint64, bool) {
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

func (r *rules) cancel() {
	id, ok := r.drawn(rapid.Bool().Draw(r.t, "at target"))
	if !ok {
		return
	}
	r.leave(r.calls[id])
	r.end(id)
	r.handle(engine.Cancel{Call: id, Overdue: rapid.Bool().Draw(r.t, "overdue")})
}

func (r *rules) finish() {
	id, ok := r.drawn(true)
	if !ok {
		return
	}
	c := r.calls[id]
	r.leave(c)
	f := engine.Finish{Call: id, Replayable: rapid.Bool().Draw(r.t, "replayable")}
	switch rapid.IntRange(0, 3).Draw(r.t, "result") {
	case 0:
		f.Result, f.Feedback.Ending = engine.Answered, route.Served
		r.end(id)
	case 1:
		f.Result, f.Feedback.Ending = engine.NotRun, route.Shed
	case 2:
		f.Result, f.Feedback.Ending = engine.NotRun, route.Unreachable
		c.failed = true
	default:
		f.Result, f.Feedback.Ending = engine.Unknown, route.Failed
		c.failed, c.maybeRun = true, true
	}
	r.handle(f)
}

func (r *rules) leave(c *ruleCall) {
	if c.target != "" {
		r.atWork[c.target]--
		c.target = ""
	}
}

func (r *rules) end(id uint64) {
	r.calls[id].ended = true
	for i, other := range r.open {
		if other == id {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

func (r *rules) handle(e engine.Event) {
	for _, action := range r.engine.Handle(nil, e, r.now) {
		switch a := action.(type) {
		case engine.Send:
			r.sent(a)
		case engine.Refuse:
			c := r.calls[a.Call]
			if c.ended || a.NotRun == c.maybeRun || c.target != "" {
				r.t.Fatalf("call %d, %+v, was refused with %+v", a.Call, *c, a)
			}
			r.end(a.Call)
		}
	}
}

func (r *rules) sent(a engine.Send) {
	c := r.calls[a.Call]
	if c.ended || c.target != "" || c.maybeRun && !c.class.Idempotent {
		r.t.Fatalf("call %d, %+v, was sent to %s", a.Call, *c, a.Target)
	}
	for i := range r.records {
		if r.records[i].Target == a.Target && r.records[i].State != member.Ready {
			r.t.Fatalf("call %d was sent to %s, which drains", a.Call, a.Target)
		}
	}
	if c.failed {
		r.repeats++
	}
	c.failed = false
	c.target = a.Target
	r.atWork[a.Target]++
	if r.atWork[a.Target] > r.doc.Targets.Slots {
		r.t.Fatalf("%s got %d calls at once", a.Target, r.atWork[a.Target])
	}
}
