package engine_test

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
)

type (
	// fullRun replays calls at targets that reset connections when they are full. Several
	// Schedulers, which know nothing of each other, decide for the same targets.
	fullRun struct {
		schedulers []*engine.Scheduler
		targets    []*fullTarget
		byName     map[string]*fullTarget
		now        time.Time
		rng        *rand.Rand
		events     []timedEvent // Sorted by time.
		lastCall   uint64
		calls      map[uint64]*fullCall
		// hideResets leaves resets out of what is reported of attempts.
		hideResets bool
		told       bool     // The hosts that decide alone know of resets.
		control    int      // The number of Schedulers of control hosts, which come first.
		sent       []string // The target of each attempt.
		untold     []string // The targets of resets that control hosts do not know.
		// Calls that arrived, that were answered, also within their aim, that targets reset at
		// least once, and that were lost though they must not run twice.
		arrived, answered, inTime, reset, lost int
	}

	// fullTarget runs calls in its slots and queues some more.
	fullTarget struct {
		name    string
		running int
		queue   []func()
		pace    int  // In percent.
		broken  bool // It resets all connections.
		resets  int
	}

	fullCall struct {
		class    spec.Class
		deadline time.Time
		work     time.Duration
		decider  int
		reset    bool
		ended    bool
	}
)

const (
	fullTargets = 24
	fullSlots   = 4
	fullQueue   = 8
	fullWork    = 260 * time.Millisecond
	fullTravel  = time.Millisecond
	// fullCapacity is the number of calls a second that the targets can answer.
	fullCapacity = int(fullTargets * fullSlots * time.Second / fullWork)
)

// newFullRun returns a run in which control hosts decide for half of the calls or, without hosts
// that decide alone, for all. Control hosts probe the targets; the others learn their state from
// answers only, and are told what the first control host has learnt.
func newFullRun(control, alone int, policy string) *fullRun {
	doc := spec.Default()
	doc.Name = "s"
	doc.Hold = spec.Hold{Length: 4096, LongestWait: strict.Duration(2 * time.Second)}
	doc.Retry = spec.Retry{Attempts: 2, Window: strict.Duration(10 * time.Second), BudgetPercent: 20}
	doc.Refuse.OpenCalls = 100_000
	r := &fullRun{now: start, rng: rand.New(rand.NewPCG(7, 7)), calls: make(map[uint64]*fullCall), byName: make(map[string]*fullTarget)}
	var records []member.Record
	for i := range fullTargets {
		t := &fullTarget{name: string(rune('a' + i)), pace: 100}
		r.targets, r.byName[t.name] = append(r.targets, t), t
		records = append(records, member.Record{
			Key: member.Key{Service: "s", Target: t.name}, State: member.Ready, Incarnation: 1, Slots: fullSlots,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
	}
	r.control = control
	for i := range control + alone {
		var opts []engine.Option
		if doc.Route = (spec.Route{Policy: policy}); i >= control {
			doc.Route.Policy = spec.PolicyHotCold
			opts = append(opts, engine.WithSlotShare(1/float64(alone)))
		}
		s := engine.NewScheduler(doc, rand.New(rand.NewPCG(uint64(i), 1)), opts...)
		s.Handle(nil, engine.SetTargets{Records: records}, r.now)
		r.schedulers = append(r.schedulers, s)
		r.every(5*time.Millisecond, func() { r.handle(i, engine.Tick{}) })
		if i < control {
			r.every(100*time.Millisecond, func() { r.probe(i) })
		}
	}
	r.every(300*time.Millisecond, r.slowDown)
	return r
}

func (r *fullRun) after(d time.Duration, do func()) {
	e := timedEvent{r.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(r.events, e, func(a, b timedEvent) int { return cmp.Or(a.at.Compare(b.at), -1) })
	r.events = slices.Insert(r.events, i, e)
}

func (r *fullRun) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		r.every(d, do)
	})
}

func (r *fullRun) run(d time.Duration) {
	for end := r.now.Add(d); len(r.events) > 0 && !r.events[0].at.After(end); {
		e := r.events[0]
		r.events = r.events[1:]
		r.now = e.at
		e.do()
	}
}

// slowDown makes three targets in ten four times slower until the next time.
func (r *fullRun) slowDown() {
	for _, t := range r.targets {
		t.pace = 100
		if r.rng.IntN(10) < 3 {
			t.pace = 400
		}
	}
}

func (t *fullTarget) load() wire.Load {
	return wire.Load{Running: t.running, Queued: len(t.queue), Slots: fullSlots, Pace: t.pace}
}

func (r *fullRun) probe(decider int) {
	for _, t := range r.targets {
		p := route.Probe{Result: route.ProbeHealthy, Load: t.load(), Reported: true}
		r.handle(decider, engine.ProbeReport{Target: t.name, Probe: p})
	}
}

// decider returns the number of the Scheduler that decides about the next call.
func (r *fullRun) decider() int {
	alone := len(r.schedulers) - r.control
	if alone == 0 || r.control > 0 && r.rng.IntN(2) == 0 {
		return r.rng.IntN(r.control)
	}
	return r.control + r.rng.IntN(alone)
}

// tell tells the hosts that decide alone that the targets reset connections when they are full.
func (r *fullRun) tell() {
	r.told = true
	for i := r.control; i < len(r.schedulers); i++ {
		r.handle(i, engine.LearnResets{})
	}
}

// offer schedules calls for the next duration. A quarter of them must not run twice.
func (r *fullRun) offer(perSecond int, d time.Duration) {
	for n := range int(d.Seconds() * float64(perSecond)) {
		r.after(time.Duration(n)*time.Second/time.Duration(perSecond), func() {
			c := &fullCall{
				class: spec.Class{Weight: 1, Aim: 800 * time.Millisecond, Idempotent: n%4 > 0, Deadline: 4 * time.Second},
				work:  fullWork, deadline: r.now.Add(4 * time.Second), decider: r.decider(),
			}
			if r.rng.IntN(100) < 3 {
				c.work *= 7
			}
			r.lastCall++
			r.arrived++
			id := r.lastCall
			r.calls[id] = c
			arrive := engine.Arrive{Call: id, Class: c.class, Deadline: c.deadline}
			if c.decider < r.control {
				arrive.Resets, r.untold = r.untold, nil
			}
			r.handle(c.decider, arrive)
			r.after(c.class.Deadline, func() {
				if !c.ended {
					c.ended = true
					r.handle(c.decider, engine.Cancel{Call: id, DeadlinePassed: true})
				}
			})
		})
	}
}

func (r *fullRun) handle(decider int, e engine.Event) {
	actions := r.schedulers[decider].Handle(nil, e, r.now)
	if learnt, _ := r.schedulers[decider].ResetsWhenFull(r.now); learnt && decider < r.control && len(actions) > 0 && !r.told {
		r.tell() // As each action says so.
	}
	for _, action := range actions {
		switch a := action.(type) {
		case engine.Send:
			r.sent = append(r.sent, a.Target)
			r.after(fullTravel, func() { r.accept(a) })
		case engine.Refuse:
			r.calls[a.Call].ended = true
			if !a.NotRun && !r.calls[a.Call].class.Idempotent {
				r.lost++
			}
		}
	}
}

// accept has a target take a call or reset its connection.
func (r *fullRun) accept(a engine.Send) {
	t, c := r.byName[a.Target], r.calls[a.Call]
	if t.broken || t.running >= fullSlots && len(t.queue) >= fullQueue {
		t.resets++
		if !c.reset {
			c.reset = true
			r.reset++
		}
		f := route.Feedback{Outcome: route.Failed, Reset: !r.hideResets}
		if c.decider >= r.control {
			r.untold = append(r.untold, t.name)
		}
		r.after(fullTravel, func() {
			r.handle(c.decider, engine.Finish{Call: a.Call, Attempt: a.Attempt, Result: engine.Unknown, Replayable: true, Feedback: f})
		})
		return
	}
	work := func() { r.work(t, c, a) }
	if t.running >= fullSlots {
		t.queue = append(t.queue, work)
		return
	}
	work()
}

// work runs a call in a slot, also if its caller has given it up meanwhile.
func (r *fullRun) work(t *fullTarget, c *fullCall, a engine.Send) {
	t.running++
	d := c.work * time.Duration(t.pace) / 100
	if t.running == fullSlots {
		d = d * 17 / 10
	}
	r.after(d, func() {
		t.running--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
		if c.ended {
			return
		}
		c.ended = true
		r.answered++
		if r.now.Sub(c.deadline.Add(-c.class.Deadline)) <= c.class.Aim {
			r.inTime++
		}
		f := route.Feedback{Outcome: route.Served, Load: t.load(), Reported: true, Answered: true}
		r.handle(c.decider, engine.Finish{Call: a.Call, Attempt: a.Attempt, Result: engine.Answered, Feedback: f})
	})
}

// Guards against targets that are overfilled in a burst and reset connections: calls that must
// not run twice are lost, and targets that count as failing leave their calls to the others.
func TestTargetsThatResetWhenFullAreNotOverfilled(t *testing.T) {
	for _, row := range []struct {
		name           string
		control, alone int
		told           bool // By a control host that has learnt it before.
		load           int  // The usual load is the capacity divided by this.
		resets         int  // The largest number of reset calls of 100.
		inTime         int  // The least number of calls of 100 that are answered in time.
	}{
		{"one control host decides", 1, 0, false, 4, 1, 50},
		{"four control hosts decide", 4, 0, false, 4, 1, 50},
		{"twelve hosts decide alone", 0, 12, true, 4, 1, 30},
		{"twelve hosts decide alone and were not told", 0, 12, false, 4, 15, 22},
		{"a control host and twelve hosts that decide alone", 1, 12, false, 2, 1, 15},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newFullRun(row.control, row.alone, spec.PolicyFastest)
			if row.told {
				r.tell()
			}
			usual := fullCapacity / row.load
			r.offer(usual, 5*time.Second)
			r.run(5 * time.Second)
			r.offer(usual*17/10, 10*time.Second)
			r.run(10 * time.Second)
			r.offer(usual, 5*time.Second)
			r.run(10 * time.Second)
			t.Logf("arrived %d answered %d in time %d reset %d lost %d", r.arrived, r.answered, r.inTime, r.reset, r.lost)
			g.Expect(100 * r.reset).To(gomega.BeNumerically("<=", row.resets*r.arrived))
			g.Expect(100 * r.inTime).To(gomega.BeNumerically(">=", row.inTime*r.arrived))
			g.Expect(100 * r.lost).To(gomega.BeNumerically("<=", row.resets*r.arrived/2))
		})
	}
}

// Guards against a target that fails and resets all connections but is taken for a full one,
// so that it gets calls again and again.
func TestTargetThatResetsAllCallsStillCountsAsFailing(t *testing.T) {
	for _, told := range []bool{false, true} {
		g := gomega.NewWithT(t)
		r := newFullRun(1, 0, spec.PolicyFastest)
		if told {
			r.handle(0, engine.LearnResets{})
		}
		r.targets[3].broken = true
		failing := 0
		r.every(100*time.Millisecond, func() { failing = max(failing, r.schedulers[0].Stats(r.now).Targets.Failing) })
		r.offer(fullCapacity/4, 20*time.Second)
		r.run(20 * time.Second)
		learnt, taken := r.schedulers[0].ResetsWhenFull(r.now)
		t.Logf("told %t, resets %d", told, r.targets[3].resets)
		g.Expect(failing).To(gomega.Equal(1))
		g.Expect(r.targets[3].resets).To(gomega.BeNumerically("<=", 20))
		g.Expect(learnt).To(gomega.Equal(told))
		g.Expect(taken).To(gomega.BeZero())
	}
}

// Guards against other choices for a service whose targets reset connections for other reasons
// than that they are full.
func TestServiceWithoutResetsAtFullSlotsIsDecidedAsBefore(t *testing.T) {
	for _, policy := range spec.Policies {
		var sent [2][]string
		for i := range sent {
			r := newFullRun(1, 0, policy)
			r.hideResets = i == 0
			r.targets[3].broken, r.targets[7].broken = true, true
			r.offer(fullCapacity/3, 20*time.Second)
			r.run(24 * time.Second)
			sent[i] = r.sent
		}
		gomega.NewWithT(t).Expect(sent[1]).To(gomega.Equal(sent[0]), policy)
	}
}

// Guards against a call that must not run twice and, waiting for a free slot, keeps calls
// behind it from the queues of targets.
func TestCallsThatMayRepeatPassThoseThatWaitForASlot(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Name, doc.Targets.Slots, doc.Hold.Length = "s", 2, 100
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 2)))
	handle := func(e engine.Event) []engine.Action { return s.Handle(nil, e, start) }
	arrive := func(call uint64, idempotent bool) []engine.Action {
		return handle(engine.Arrive{Call: call, Class: spec.Class{Weight: 1, Idempotent: idempotent}, Deadline: start.Add(time.Minute)})
	}
	handle(targets(1))
	handle(engine.LearnResets{})
	arrive(1, true)
	arrive(2, true)
	handle(engine.Cancel{Call: 2}) // The target may still run it.
	g.Expect(arrive(3, false)).To(gomega.BeEmpty())
	g.Expect(arrive(4, false)).To(gomega.BeEmpty())
	g.Expect(arrive(5, true)).To(gomega.ConsistOf(gomega.HaveField("Call", uint64(5))))
	g.Expect(arrive(6, true)).To(gomega.BeEmpty())
	g.Expect(handle(engine.Finish{Call: 1, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}})).To(gomega.ConsistOf(gomega.HaveField("Call", uint64(6))))
	g.Expect(handle(engine.Finish{Call: 5, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}})).To(gomega.BeEmpty(), "one may run, one is in flight")
}
