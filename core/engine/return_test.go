package engine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/internal/golden"
)

type (
	// returnRun simulates the first seconds after all hosts have lost power for
	// returnOutage: nothing is known of the targets, callers that have waited come back, and
	// new calls arrive at the usual rate.
	returnRun struct {
		scheduler *engine.Scheduler
		now       time.Time
		rng       *rand.Rand
		events    []timedEvent
		calls     map[uint64]*returnCall
		lastCall  uint64
		slow      map[string]bool
		running   map[string]int
		// fresh and late count the new calls and those that have come back.
		fresh, late returnCount
	}

	returnCall struct {
		late      bool
		arrivedAt time.Time
		deadline  time.Time
	}

	// returnCount counts calls: all, those answered within the aim and by the deadline, and
	// those that were refused.
	returnCount struct {
		asked, inTime, answered, refused int
	}
)

const (
	// A sixth of deployment B: 48 targets of 4 slots, three in ten of them four times slower for 300 ms.
	returnTargets   = 48
	returnSlots     = 4
	returnRate      = 230 // Calls a second.
	returnWork      = 280 * time.Millisecond
	returnAim       = 800 * time.Millisecond
	returnDeadline  = 4 * time.Second
	returnOutage    = 1400 * time.Millisecond
	returnSlowShare = 0.3
	returnSlowTime  = 300 * time.Millisecond
	// returnProbeTime is the time between two probes of a target; the first ones are spread
	// over a second.
	returnProbeTime = 250 * time.Millisecond
	returnSpan      = 2 * time.Second
)

func newReturnRun(seed uint64) *returnRun {
	doc := spec.Default()
	doc.Name = "s"
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	doc.Hold = spec.Hold{Length: 4096, LongestWait: strict.Duration(10 * time.Second)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(100 * time.Millisecond), OpenCalls: 100_000}
	r := &returnRun{
		scheduler: engine.NewScheduler(doc, rand.New(rand.NewPCG(seed, 1))), now: start, rng: rand.New(rand.NewPCG(seed, 2)),
		calls: make(map[uint64]*returnCall), slow: make(map[string]bool), running: make(map[string]int),
	}
	var records []member.Record
	for i := range returnTargets {
		name := strconv.Itoa(i)
		records = append(records, member.Record{
			Key: member.Key{Service: "s", Target: name}, State: member.Ready, Incarnation: 1, Slots: returnSlots,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
		r.after(time.Duration(r.rng.Int64N(int64(returnSlowTime))), func() { r.changePace(name) })
		r.after(time.Second*time.Duration(i)/returnTargets, func() { r.probe(name) })
	}
	r.scheduler.Handle(nil, engine.SetTargets{Records: records}, r.now)
	r.after(0, r.tick)
	return r
}

func (r *returnRun) after(d time.Duration, do func()) {
	r.events = append(r.events, timedEvent{r.now.Add(d), do})
}

func (r *returnRun) tick() {
	r.apply(r.scheduler.Handle(nil, engine.Tick{}, r.now))
	r.after(5*time.Millisecond, r.tick)
}

func (r *returnRun) changePace(name string) {
	r.slow[name] = r.rng.Float64() < returnSlowShare
	r.after(returnSlowTime, func() { r.changePace(name) })
}

func (r *returnRun) load(name string) wire.Load {
	load := wire.Load{Running: r.running[name], Slots: returnSlots, Pace: 100}
	if r.slow[name] {
		load.Pace = 400
	}
	return load
}

func (r *returnRun) probe(name string) {
	r.apply(r.scheduler.Handle(nil, engine.ProbeReport{Target: name, Probe: route.Probe{Result: route.ProbeHealthy, Load: r.load(name), Reported: true}}, r.now))
	r.after(returnProbeTime, func() { r.probe(name) })
}

func (r *returnRun) count(c *returnCall) *returnCount {
	if c.late {
		return &r.late
	}
	return &r.fresh
}

// submit offers a call. One that has come back was first sent up to returnOutage ago.
func (r *returnRun) submit(late bool) {
	c := &returnCall{late: late, arrivedAt: r.now, deadline: r.now.Add(returnDeadline)}
	if late {
		c.deadline = c.deadline.Add(-time.Duration(r.rng.Int64N(int64(returnOutage))))
	}
	r.count(c).asked++
	r.lastCall++
	r.calls[r.lastCall] = c
	class := spec.Class{Weight: 1, Deadline: returnDeadline, Idempotent: true, Aim: returnAim, Late: late, Returned: late}
	r.apply(r.scheduler.Handle(nil, engine.Arrive{Call: r.lastCall, Class: class, Deadline: c.deadline}, r.now))
}

func (r *returnRun) apply(actions []engine.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case engine.Send:
			r.running[a.Target]++
			work := time.Duration(float64(returnWork) * (0.7 + 0.6*r.rng.Float64()))
			if r.slow[a.Target] {
				work *= 4
			}
			if float64(r.running[a.Target]) > 0.8*returnSlots {
				work = work * 17 / 10
			}
			r.after(work, func() { r.finish(a) })
		case engine.Refuse:
			r.count(r.calls[a.Call]).refused++
		}
	}
}

func (r *returnRun) finish(a engine.Send) {
	r.running[a.Target]--
	c := r.calls[a.Call]
	n := r.count(c)
	if !r.now.After(c.deadline) {
		n.answered++
		if r.now.Sub(c.arrivedAt) <= returnAim {
			n.inTime++
		}
	}
	f := route.Feedback{Outcome: route.Served, Load: r.load(a.Target), Reported: true}
	r.apply(r.scheduler.Handle(nil, engine.Finish{Call: a.Call, Result: engine.Answered, Feedback: f}, r.now))
}

// play offers the calls of returnSpan and runs until all have ended. Entry hosts let the
// calls that have come back through within half a second.
func (r *returnRun) play() {
	for n := range int(returnOutage.Seconds() * returnRate) {
		r.after(500*time.Millisecond*time.Duration(n)/time.Duration(returnOutage.Seconds()*returnRate), func() { r.submit(true) })
	}
	for n := range int(returnSpan.Seconds() * returnRate) {
		r.after(time.Second*time.Duration(n)/returnRate, func() { r.submit(false) })
	}
	for end := r.now.Add(returnSpan + 2*returnDeadline); ; {
		slices.SortStableFunc(r.events, func(a, b timedEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		if r.events[0].at.After(end) {
			return
		}
		next := r.events[0]
		r.events = r.events[1:]
		r.now = next.at
		next.do()
	}
}

func (c returnCount) String() string {
	return fmt.Sprintf("asked %d in time %d answered %d refused %d", c.asked, c.inTime, c.answered, c.refused)
}

// After a loss of power, as many callers come back at once as usually call in more than a
// second. Guards against calls that have come back, and are late whatever happens, filling
// the targets beyond the load at which they slow down while new calls wait.
func TestNewCallsAreInTimeAfterALossOfPower(t *testing.T) {
	g := gomega.NewWithT(t)
	var text strings.Builder
	for seed := range uint64(3) {
		r := newReturnRun(seed)
		r.play()
		fmt.Fprintf(&text, "seed %d new calls: %s\n", seed, r.fresh)
		fmt.Fprintf(&text, "seed %d late calls: %s\n", seed, r.late)
		g.Expect(float64(r.fresh.inTime)).To(gomega.BeNumerically(">=", 0.9*float64(r.fresh.asked)), text.String())
		g.Expect(float64(r.late.answered)).To(gomega.BeNumerically(">=", 0.25*float64(r.late.asked)), "late calls do not starve: %s", text.String())
	}
	golden.Compare(t, t.Name(), text.String())
}

// Guards against late calls that wait for more free slots and are in the way of new ones: a
// new call queued behind them, or refused since they fill the queue.
func TestNewCallsPassLateOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Name = "s"
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	doc.Hold = spec.Hold{Length: 2, LongestWait: strict.Duration(10 * time.Second)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(100 * time.Millisecond), OpenCalls: 100}
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 1)))
	records := targets(2).Records
	for i := range records {
		records[i].Slots = 4
	}
	s.Handle(nil, engine.SetTargets{Records: records}, start)
	arrive := func(id uint64, late bool) []engine.Action {
		class := spec.Class{Weight: 1, Idempotent: true, Aim: time.Second, Late: late, Deadline: 4 * time.Second}
		return s.Handle(nil, engine.Arrive{Call: id, Class: class, Deadline: start.Add(4 * time.Second)}, start)
	}
	for id := range uint64(6) {
		g.Expect(arrive(id, false)).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(engine.Send{})))
	}
	g.Expect(arrive(10, true)).To(gomega.BeEmpty(), "two of eight slots are free")
	g.Expect(arrive(11, true)).To(gomega.BeEmpty())
	g.Expect(s.QueuedCalls()).To(gomega.Equal(2))
	for id := range uint64(2) {
		g.Expect(arrive(20+id, false)).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(engine.Send{})), "beside late calls that wait")
	}
	actions := arrive(30, false)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Refuse).Call).To(gomega.BeEquivalentTo(11), "the last late call makes room")
	g.Expect(s.QueuedCalls()).To(gomega.Equal(2))
	actions = s.Handle(nil, engine.Finish{Call: 0, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}}, start)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Send).Call).To(gomega.BeEquivalentTo(30))
}
