package engine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	// loadRun simulates a Scheduler under load on a fake clock, with callers that
	// retry once after a refusal.
	loadRun struct {
		scheduler *engine.Scheduler
		now       time.Time
		rng       *rand.Rand
		events    []timedEvent
		calls     map[uint64]*loadCall
		lastCall  uint64         // The identifier of the last call.
		pace      map[string]int // The call time at each target, in percent of loadCallTime.
		running   map[string]int // The number of calls at each target.
		sent      map[string]int // The number of calls sent to each target so far.
		failures  map[string]int // The number of calls that each target fails from now on.
		windows   []loadWindow
	}

	// timedEvent is a function to run at a given time.
	timedEvent struct {
		at time.Time
		do func()
	}

	// loadCall is a call of a simulated caller, with its retry.
	loadCall struct {
		arrivedAt time.Time // When the caller first sent it.
		retried   bool
		// onAnswer, unless nil, is called when an answer comes within deadline; the
		// call is then not counted in the windows.
		onAnswer func()
		deadline time.Duration
	}

	// loadWindow counts the calls that arrived in one window: all of them, those
	// answered within loadAim, those answered later but within loadDeadline, and
	// the rest.
	loadWindow struct {
		asked, inTime, late, lost int
	}
)

const (
	loadTargets       = 4
	loadSlots         = 3
	loadCallTime      = 100 * time.Millisecond
	loadAim           = 300 * time.Millisecond
	loadDeadline      = time.Second
	loadProbeInterval = 100 * time.Millisecond
	loadWindowLength  = 500 * time.Millisecond
	// loadCapacity is the number of calls per second that the targets can answer.
	loadCapacity = loadTargets * loadSlots * int(time.Second/loadCallTime)
)

func newLoadRun(aim time.Duration) *loadRun {
	doc := spec.Default()
	doc.Name = "s"
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	doc.Hold = spec.Hold{Length: 4096, LongestWait: strict.Duration(10 * time.Second)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(100 * time.Millisecond), OpenCalls: 100_000}
	r := &loadRun{
		scheduler: engine.NewScheduler(doc, rand.New(rand.NewPCG(3, 3))), now: start, rng: rand.New(rand.NewPCG(4, 4)),
		calls: make(map[uint64]*loadCall), pace: make(map[string]int), running: make(map[string]int),
		sent: make(map[string]int), failures: make(map[string]int),
	}
	var records []member.Record
	for i := range loadTargets {
		name := string(rune('a' + i))
		r.pace[name] = 100
		records = append(records, member.Record{
			Key: member.Key{Service: "s", Target: name}, State: member.Ready, Incarnation: 1, Slots: loadSlots,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
	}
	r.scheduler.Handle(nil, engine.SetTargets{Records: records}, r.now)
	r.every(loadProbeInterval, func() { r.reportProbes() })
	r.every(5*time.Millisecond, func() { r.apply(r.scheduler.Handle(nil, engine.Tick{}, r.now), aim) })
	return r
}

// after schedules do once, in d from now.
func (r *loadRun) after(d time.Duration, do func()) {
	r.events = append(r.events, timedEvent{r.now.Add(d), do})
}

// every schedules do every d, first in d from now.
func (r *loadRun) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		r.every(d, do)
	})
}

// reportProbes reports a successful probe of every target.
func (r *loadRun) reportProbes() {
	for i := range loadTargets {
		name := string(rune('a' + i))
		load := wire.Load{Running: r.running[name], Slots: loadSlots, Pace: r.pace[name]}
		r.scheduler.Handle(nil, engine.ProbeReport{Target: name, Probe: route.Probe{Result: route.ProbeHealthy, Load: load, Reported: true}}, r.now)
	}
}

// offer schedules perSecond calls per second for the next duration.
func (r *loadRun) offer(perSecond int, duration, aim time.Duration) {
	for n := range int(duration.Seconds() * float64(perSecond)) {
		r.after(time.Duration(n)*time.Second/time.Duration(perSecond), func() { r.submit(&loadCall{arrivedAt: r.now}, aim) })
	}
}

// submit sends a call, or its retry, to the Scheduler. An aim of 0 stands for none.
func (r *loadRun) submit(c *loadCall, aim time.Duration) {
	if !c.retried {
		r.window(c).asked++
	}
	r.lastCall++
	r.calls[r.lastCall] = c
	class := spec.Class{Weight: 1, Deadline: loadDeadline, Idempotent: true, Aim: aim, Late: c.retried && aim > 0}
	deadline := c.arrivedAt.Add(loadDeadline)
	r.apply(r.scheduler.Handle(nil, engine.Arrive{Call: r.lastCall, Class: class, Deadline: deadline}, r.now), aim)
}

// apply carries out the actions of the Scheduler. aim is the aim of retried calls.
func (r *loadRun) apply(actions []engine.Action, aim time.Duration) {
	for _, action := range actions {
		switch a := action.(type) {
		case engine.Send:
			r.running[a.Target]++
			r.sent[a.Target]++
			r.after(loadCallTime*time.Duration(r.pace[a.Target])/100, func() { r.finish(a, aim) })
		case engine.Refuse:
			r.handleRefusal(a, aim)
		}
	}
}

// finish ends the attempt of a. If the target is to fail it, the call goes on; if not,
// it ends with an answer and is counted in the window in which it arrived.
func (r *loadRun) finish(a engine.Send, aim time.Duration) {
	r.running[a.Target]--
	if r.failures[a.Target] > 0 {
		r.failures[a.Target]--
		f := route.Feedback{Outcome: route.Failed}
		r.apply(r.scheduler.Handle(nil, engine.Finish{Call: a.Call, Result: engine.Unknown, Replayable: true, Feedback: f}, r.now), aim)
		return
	}
	c := r.calls[a.Call]
	if c.onAnswer != nil {
		if r.now.Sub(c.arrivedAt) <= c.deadline {
			c.onAnswer()
		}
	} else {
		r.countAnswer(c)
	}
	load := wire.Load{Running: r.running[a.Target], Slots: loadSlots, Pace: r.pace[a.Target]}
	f := route.Feedback{Outcome: route.Served, Load: load, Reported: true}
	r.apply(r.scheduler.Handle(nil, engine.Finish{Call: a.Call, Result: engine.Answered, Feedback: f}, r.now), aim)
}

// countAnswer counts an answer in the window in which its call arrived.
func (r *loadRun) countAnswer(c *loadCall) {
	w := r.window(c)
	switch took := r.now.Sub(c.arrivedAt); {
	case took <= loadAim:
		w.inTime++
	case took <= loadDeadline:
		w.late++
	default:
		w.lost++
	}
}

// handleRefusal retries a refused call once, unless RetryAfter exceeds a third
// of the time left.
func (r *loadRun) handleRefusal(a engine.Refuse, aim time.Duration) {
	c := r.calls[a.Call]
	left := c.arrivedAt.Add(loadDeadline).Sub(r.now)
	if c.retried || a.RetryAfter > left/3 {
		if c.onAnswer == nil {
			r.window(c).lost++
		}
		return
	}
	c.retried = true
	r.after(a.RetryAfter, func() { r.submit(c, aim) })
}

// window returns the window in which c arrived.
func (r *loadRun) window(c *loadCall) *loadWindow {
	i := int(c.arrivedAt.Sub(start) / loadWindowLength)
	for len(r.windows) <= i {
		r.windows = append(r.windows, loadWindow{})
	}
	return &r.windows[i]
}

// run runs the events of the next duration.
func (r *loadRun) run(duration time.Duration) {
	for end := r.now.Add(duration); ; {
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

func (r *loadRun) total() loadWindow {
	var sum loadWindow
	for _, w := range r.windows {
		sum.asked += w.asked
		sum.inTime += w.inTime
		sum.late += w.late
		sum.lost += w.lost
	}
	return sum
}

func (r *loadRun) String() string {
	var text strings.Builder
	for i, w := range r.windows {
		fmt.Fprintf(&text, "%5s asked %3d in time %3d late %3d lost %3d\n", time.Duration(i)*loadWindowLength, w.asked, w.inTime, w.late, w.lost)
	}
	return text.String()
}

// TestOverloadIsAnsweredInTime offers one and a half times the capacity of the
// targets. Answers in time must reach four fifths of the capacity: excess calls
// are to be refused early instead of delaying all others.
func TestOverloadIsAnsweredInTime(t *testing.T) {
	const offered = loadCapacity * 3 / 2
	g := gomega.NewWithT(t)
	r := newLoadRun(loadAim)
	r.offer(offered, 3*time.Second, loadAim)
	r.run(6 * time.Second)
	golden.Compare(t, t.Name(), r.String())
	sum := r.total()
	g.Expect(float64(sum.inTime)).To(gomega.BeNumerically(">=", 0.8*float64(loadCapacity*3)), r.String())
	g.Expect(sum.inTime + sum.late + sum.lost).To(gomega.Equal(sum.asked))
}

// TestNoisyNeighboursAreAvoided makes one random target after another four times
// slower, for 300 ms each, at a third of the capacity. Nine tenths of the calls
// must be answered in time.
func TestNoisyNeighboursAreAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLoadRun(loadAim)
	r.offer(loadCapacity/3, 4*time.Second, loadAim)
	r.every(300*time.Millisecond, func() {
		for name := range r.pace {
			r.pace[name] = 100
		}
		r.pace[string(rune('a'+r.rng.IntN(loadTargets)))] = 400
	})
	r.run(6 * time.Second)
	golden.Compare(t, t.Name(), r.String())
	sum := r.total()
	g.Expect(float64(sum.inTime)).To(gomega.BeNumerically(">=", 0.9*float64(sum.asked)), r.String())
}

// TestFailedCallIsRequeuedAfterItsAim lets an attempt fail when the call's aim has
// passed and no target has a free slot. The call must be queued as late, not
// refused.
func TestFailedCallIsRequeuedAfterItsAim(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Name = "s"
	doc.Targets.Slots = 1
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 1)))
	s.Handle(nil, targets(2), start)
	class := spec.Class{Weight: 1, Deadline: time.Second, Idempotent: true, Aim: 200 * time.Millisecond}
	for call := range uint64(2) {
		s.Handle(nil, engine.Arrive{Call: call, Class: class, Deadline: start.Add(time.Second)}, start)
	}
	failed := start.Add(250 * time.Millisecond)
	f := route.Feedback{Outcome: route.Failed}
	g.Expect(s.Handle(nil, engine.Finish{Call: 0, Result: engine.Unknown, Replayable: true, Feedback: f}, failed)).To(gomega.BeEmpty())
	g.Expect(s.Handle(nil, engine.Tick{}, failed.Add(5*time.Millisecond))).To(gomega.BeEmpty())
	actions := s.Handle(nil, engine.Finish{Call: 1, Result: engine.Answered}, failed.Add(10*time.Millisecond))
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0]).To(gomega.BeAssignableToTypeOf(engine.Send{}))
}

// expectShareOfCalls runs the next duration, in which targets a and b must together get
// at least half as many calls as c and d.
func (r *loadRun) expectShareOfCalls(g *gomega.WithT, duration time.Duration) {
	clear(r.sent)
	r.run(duration)
	g.Expect(r.sent["a"]+r.sent["b"]).To(gomega.BeNumerically(">=", (r.sent["c"]+r.sent["d"])/2), "calls sent %v", r.sent)
}

// Guards against calls that are kept from a target long after it has failed once:
// another attempt there is the only evidence that it serves again.
func TestTargetGetsCallsAgainAfterOneFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLoadRun(0)
	for _, name := range []string{"a", "b"} {
		r.failures[name] = 1
	}
	r.offer(loadCapacity/3, 10*time.Second, 0)
	r.run(6 * time.Second)
	r.expectShareOfCalls(g, 4*time.Second)
}

// Guards against targets that get no calls after the host that probes them was
// frozen: all its probes were lost, and the targets have answered since.
func TestTargetGetsCallsAgainAfterLostProbes(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLoadRun(0)
	r.offer(loadCapacity/3, 4*time.Second, 0)
	r.run(time.Second)
	for range 3 {
		for _, name := range []string{"a", "b"} {
			r.scheduler.Handle(nil, engine.ProbeReport{Target: name, Probe: route.Probe{Result: route.ProbeLost}}, r.now)
		}
	}
	r.run(time.Second)
	r.expectShareOfCalls(g, 2*time.Second)
}

// Guards against a target that gets calls again and again although it fails them all.
func TestTargetThatFailsAllCallsIsTriedRarely(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLoadRun(0)
	r.failures["a"] = 1000
	r.offer(loadCapacity/3, 30*time.Second, 0)
	r.run(30 * time.Second)
	g.Expect(r.sent["a"]).To(gomega.BeNumerically("<=", (r.sent["b"]+r.sent["c"]+r.sent["d"])/3/20), "calls sent %v", r.sent)
}

// Guards against calls with short deadlines that are refused while others of the same
// priority are served, as those of a route that few callers use yet.
func TestShortCallsAreServedUnderOverload(t *testing.T) {
	const (
		shortDeadline = 22 * loadCallTime / 10
		shortEvery    = 100 * time.Millisecond
		duration      = 4 * time.Second
	)
	g := gomega.NewWithT(t)
	r := newLoadRun(loadAim)
	r.offer(loadCapacity*3/2, duration, loadAim)
	asked, served := 0, 0
	for at := time.Second; at < duration; at += shortEvery {
		r.after(at, func() {
			asked++
			id := uint64(1_000_000 + asked)
			r.calls[id] = &loadCall{arrivedAt: r.now, retried: true, deadline: shortDeadline, onAnswer: func() { served++ }}
			class := spec.Class{Weight: 1, Deadline: shortDeadline, Idempotent: true, Aim: loadAim}
			r.apply(r.scheduler.Handle(nil, engine.Arrive{Call: id, Class: class, Deadline: r.now.Add(shortDeadline)}, r.now), loadAim)
		})
	}
	r.run(duration + time.Second)
	sum := r.total()
	share := float64(sum.inTime+sum.late) / float64(sum.asked)
	g.Expect(float64(served)).To(gomega.BeNumerically(">=", share*float64(asked)/4), "%d of %d short calls, share of the others %.2f", served, asked, share)
}
