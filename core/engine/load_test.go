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
	// loadRun plays an engine under a load, with callers that come back once
	// after a refusal, on a fake clock.
	loadRun struct {
		engine  *engine.Service
		now     time.Time
		rng     *rand.Rand
		queue   []happening
		calls   map[uint64]*loadCall
		next    uint64
		pace    map[string]int
		running map[string]int
		windows []loadWindow
	}

	happening struct {
		at time.Time
		do func()
	}

	loadCall struct {
		asked    time.Time
		returned bool
	}

	// loadWindow counts the calls that were asked in one window.
	loadWindow struct {
		asked, inTime, late, lost int
	}
)

const (
	loadTargets  = 4
	loadSlots    = 3
	loadWork     = 100 * time.Millisecond
	loadAim      = 300 * time.Millisecond
	loadDeadline = time.Second
	loadProbe    = 100 * time.Millisecond
	loadPart     = 500 * time.Millisecond
	// loadCapacity is the calls a second that the targets can answer.
	loadCapacity = loadTargets * loadSlots * int(time.Second/loadWork)
)

func newLoadRun(aim time.Duration) *loadRun {
	doc := spec.Default()
	doc.Name = "s"
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	doc.Hold = spec.Hold{Length: 4096, LongestWait: strict.Duration(10 * time.Second)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(100 * time.Millisecond), OpenCalls: 100_000}
	r := &loadRun{
		engine: engine.NewService(doc, rand.New(rand.NewPCG(3, 3))), now: start, rng: rand.New(rand.NewPCG(4, 4)),
		calls: make(map[uint64]*loadCall), pace: make(map[string]int), running: make(map[string]int),
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
	r.engine.Handle(nil, engine.Retarget{Records: records}, r.now)
	r.every(loadProbe, func() { r.probe() })
	r.every(5*time.Millisecond, func() { r.carry(r.engine.Handle(nil, engine.Tick{}, r.now), aim) })
	return r
}

func (r *loadRun) after(d time.Duration, do func()) {
	r.queue = append(r.queue, happening{r.now.Add(d), do})
}

func (r *loadRun) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		r.every(d, do)
	})
}

func (r *loadRun) probe() {
	for i := range loadTargets {
		name := string(rune('a' + i))
		load := wire.Load{Running: r.running[name], Slots: loadSlots, Pace: r.pace[name]}
		r.engine.Handle(nil, engine.Report{Target: name, Probe: route.Probe{Result: route.ProbeWell, Load: load, Reported: true}}, r.now)
	}
}

// offer has calls arrive at a rate for a while.
func (r *loadRun) offer(perSecond int, span, aim time.Duration) {
	for n := range int(span.Seconds() * float64(perSecond)) {
		r.after(time.Duration(n)*time.Second/time.Duration(perSecond), func() { r.ask(&loadCall{asked: r.now}, aim) })
	}
}

func (r *loadRun) ask(c *loadCall, aim time.Duration) {
	if !c.returned {
		r.window(c).asked++
	}
	r.next++
	r.calls[r.next] = c
	class := spec.Class{Weight: 1, Deadline: loadDeadline, Idempotent: true, Aim: aim, Late: c.returned && aim > 0}
	deadline := c.asked.Add(loadDeadline)
	r.carry(r.engine.Handle(nil, engine.Arrive{Call: r.next, Class: class, Deadline: deadline}, r.now), aim)
}

func (r *loadRun) carry(actions []engine.Action, aim time.Duration) {
	for _, action := range actions {
		switch a := action.(type) {
		case engine.Send:
			r.running[a.Target]++
			r.after(loadWork*time.Duration(r.pace[a.Target])/100, func() { r.answer(a, aim) })
		case engine.Refuse:
			r.refused(a, aim)
		}
	}
}

func (r *loadRun) answer(a engine.Send, aim time.Duration) {
	c := r.calls[a.Call]
	r.running[a.Target]--
	w := r.window(c)
	switch took := r.now.Sub(c.asked); {
	case took <= loadAim:
		w.inTime++
	case took <= loadDeadline:
		w.late++
	default:
		w.lost++
	}
	load := wire.Load{Running: r.running[a.Target], Slots: loadSlots, Pace: r.pace[a.Target]}
	f := route.Feedback{Ending: route.Served, Load: load, Reported: true}
	r.carry(r.engine.Handle(nil, engine.Finish{Call: a.Call, Result: engine.Answered, Feedback: f}, r.now), aim)
}

// refused has a caller come back once, if it has the time.
func (r *loadRun) refused(a engine.Refuse, aim time.Duration) {
	c := r.calls[a.Call]
	left := c.asked.Add(loadDeadline).Sub(r.now)
	if c.returned || a.RetryAfter > left/3 {
		r.window(c).lost++
		return
	}
	c.returned = true
	r.after(a.RetryAfter, func() { r.ask(c, aim) })
}

func (r *loadRun) window(c *loadCall) *loadWindow {
	i := int(c.asked.Sub(start) / loadPart)
	for len(r.windows) <= i {
		r.windows = append(r.windows, loadWindow{})
	}
	return &r.windows[i]
}

func (r *loadRun) run(span time.Duration) {
	for end := r.now.Add(span); ; {
		slices.SortStableFunc(r.queue, func(a, b happening) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		if r.queue[0].at.After(end) {
			return
		}
		h := r.queue[0]
		r.queue = r.queue[1:]
		r.now = h.at
		h.do()
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
		fmt.Fprintf(&text, "%5s asked %3d in time %3d late %3d lost %3d\n", time.Duration(i)*loadPart, w.asked, w.inTime, w.late, w.lost)
	}
	return text.String()
}

// TestOverloadIsAnsweredInTime offers half as much again as the targets can
// answer. Four fifths of what they can answer must be in time: what can not be
// is refused early, instead of making all others late.
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

// TestNoisyNeighboursAreAvoided slows one target after another down by four
// for 300 ms, at a third of the load that the targets can answer. Nine tenths
// of the calls must be in time.
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

// TestCallThatWasSentInVainWaitsOnce has an attempt fail when the call's aim
// has passed and no target is free: the call waits for a moment more.
func TestCallThatWasSentInVainWaitsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Name = "s"
	doc.Targets.Slots = 1
	s := engine.NewService(doc, rand.New(rand.NewPCG(1, 1)))
	s.Handle(nil, targets(2), start)
	class := spec.Class{Weight: 1, Deadline: time.Second, Idempotent: true, Aim: 200 * time.Millisecond}
	for call := range uint64(2) {
		s.Handle(nil, engine.Arrive{Call: call, Class: class, Deadline: start.Add(time.Second)}, start)
	}
	failed := start.Add(250 * time.Millisecond)
	f := route.Feedback{Ending: route.Failed}
	g.Expect(s.Handle(nil, engine.Finish{Call: 0, Result: engine.Unknown, Replayable: true, Feedback: f}, failed)).To(gomega.BeEmpty())
	g.Expect(s.Handle(nil, engine.Tick{}, failed.Add(5*time.Millisecond))).To(gomega.BeEmpty())
	actions := s.Handle(nil, engine.Finish{Call: 1, Result: engine.Answered}, failed.Add(10*time.Millisecond))
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0]).To(gomega.BeAssignableToTypeOf(engine.Send{}))
}
