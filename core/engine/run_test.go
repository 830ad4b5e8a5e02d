package engine_test

import (
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
	"cardamomspool/core/wire"
	"cardamomspool/internal/golden"
)

const (
	runCallTime = 10 * time.Millisecond
	runSlots    = 3
)

type (
	// fakeTarget runs up to runSlots calls at once, each for runCallTime, and
	// sheds the rest.
	fakeTarget struct {
		running int
		dead    bool // It refuses connections.
		broken  bool // It answers every call with an error.
	}

	// scheduledEvent is a function to run at a given time.
	scheduledEvent struct {
		at  time.Time
		run func()
	}

	// simulation runs one Scheduler against fake targets on a fake clock and logs
	// every action.
	simulation struct {
		now       time.Time
		scheduler *engine.Scheduler
		records   []member.Record
		targets   map[string]*fakeTarget
		events    []scheduledEvent
		log       strings.Builder
	}
)

func newSimulation(targets int) *simulation {
	doc := spec.Default()
	doc.Name = "s"
	doc.Targets.Slots = runSlots
	doc.Hold.Length, doc.Route.Ramp = 20, 0
	s := &simulation{now: start, scheduler: engine.NewScheduler(doc, rand.New(rand.NewPCG(7, 7))), targets: map[string]*fakeTarget{}}
	for i := range targets {
		name := string(rune('a' + i))
		s.records = append(s.records, member.Record{
			Key: member.Key{Service: "s", Target: name}, State: member.Ready, Incarnation: 1,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
		s.targets[name] = &fakeTarget{}
	}
	s.handle(engine.SetTargets{Records: s.records})
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events = append(s.events, scheduledEvent{at: s.now.Add(d), run: run})
	slices.SortStableFunc(s.events, func(a, b scheduledEvent) int { return a.at.Compare(b.at) })
}

// advance runs the events of the next duration.
func (s *simulation) advance(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *simulation) logf(format string, args ...any) {
	fmt.Fprintf(&s.log, "%6.1f ms  ", float64(s.now.Sub(start).Microseconds())/1000)
	fmt.Fprintf(&s.log, format+"\n", args...)
}

// scheduleArrivals schedules n calls, one each interval, numbered from first.
func (s *simulation) scheduleArrivals(first, n int, interval time.Duration) {
	for i := range n {
		s.after(time.Duration(i)*interval, func() {
			s.handle(engine.Arrive{Call: uint64(first + i), Class: class, Deadline: s.now.Add(time.Second)})
		})
	}
}

// scheduleTicks schedules a Tick every 10 ms for the next duration.
func (s *simulation) scheduleTicks(duration time.Duration) {
	for d := runCallTime; d <= duration; d += runCallTime {
		s.after(d, func() { s.handle(engine.Tick{}) })
	}
}

func (s *simulation) handle(e engine.Event) {
	for _, action := range s.scheduler.Handle(nil, e, s.now) {
		switch a := action.(type) {
		case engine.Send:
			s.logf("call %d to %s, attempt %d, %s of %d, held %s", a.Call, a.Target, a.Attempt, a.Why, a.Candidates, a.HeldFor)
			s.attempt(a)
		case engine.Refuse:
			s.logf("call %d refused: %s, not run %t, retry after %s", a.Call, a.Reason, a.NotRun, a.RetryAfter)
		}
	}
	if at, ok := s.scheduler.NextDispatch(s.now); ok {
		s.after(at.Sub(s.now), func() { s.handle(engine.Tick{}) })
	}
}

// attempt runs a call at its target and schedules its Finish: after runCallTime, or
// after 1 ms when the target refuses the connection, sheds the call or fails it.
func (s *simulation) attempt(a engine.Send) {
	t := s.targets[a.Target]
	finish := engine.Finish{Call: a.Call, Result: engine.NotRun, Replayable: true}
	switch {
	case t.dead:
		finish.Feedback.Outcome = route.Unreachable
	case t.broken:
		finish.Result, finish.Feedback.Outcome = engine.Answered, route.Failed
	case t.running >= runSlots:
		finish.Feedback = route.Feedback{Outcome: route.Shed, Reported: true, Load: wire.Load{Running: t.running, Slots: runSlots}}
	default:
		t.running++
		s.after(runCallTime, func() {
			t.running--
			finish.Result = engine.Answered
			finish.Feedback = route.Feedback{Outcome: route.Served, Reported: true, Load: wire.Load{Running: t.running, Slots: runSlots}}
			s.handle(finish)
		})
		return
	}
	s.after(time.Millisecond, func() {
		if finish.Result == engine.Answered {
			s.logf("call %d got an error from %s", a.Call, a.Target)
		}
		s.handle(finish)
	})
}

// compareGolden compares the log with the test's golden file and checks that all
// calls have ended.
func (s *simulation) compareGolden(t *testing.T) {
	golden.Compare(t, strings.TrimPrefix(t.Name(), "TestRun"), s.log.String())
	gomega.NewWithT(t).Expect(s.scheduler.OpenCalls()).To(gomega.BeZero())
}

// TestRunSurgeFromIdle sends two calls in the first 100 ms, and in the next 100 ms
// four times as many calls as the two targets can serve.
func TestRunSurgeFromIdle(t *testing.T) {
	s := newSimulation(2)
	s.scheduleTicks(time.Second)
	s.scheduleArrivals(1, 2, 50*time.Millisecond)
	s.advance(100 * time.Millisecond)
	s.scheduleArrivals(100, 240, 100*time.Millisecond/240)
	s.advance(900 * time.Millisecond)
	s.compareGolden(t)
}

// TestRunDeadTarget runs three targets, one of which refuses connections.
func TestRunDeadTarget(t *testing.T) {
	s := newSimulation(3)
	s.scheduleTicks(time.Second)
	s.targets["b"].dead = true
	s.scheduleArrivals(1, 60, 10*time.Millisecond)
	s.advance(time.Second)
	s.compareGolden(t)
}

// TestRunDrain drains one of two targets while it has calls in flight, and then
// makes it ready again.
func TestRunDrain(t *testing.T) {
	s := newSimulation(2)
	s.scheduleTicks(400 * time.Millisecond)
	s.scheduleArrivals(1, 40, 5*time.Millisecond)
	s.advance(52 * time.Millisecond)
	s.records[0].State = member.Draining
	s.logf("a drains")
	s.handle(engine.SetTargets{Records: s.records})
	s.advance(100 * time.Millisecond)
	s.records[0].State, s.records[0].Incarnation = member.Ready, 2
	s.logf("a is back")
	s.handle(engine.SetTargets{Records: s.records})
	s.advance(300 * time.Millisecond)
	s.compareGolden(t)
}

// TestRunBulkErrors runs three targets, one of which answers every call with an
// error after 1 ms.
func TestRunBulkErrors(t *testing.T) {
	s := newSimulation(3)
	s.scheduleTicks(time.Second)
	s.targets["c"].broken = true
	s.scheduleArrivals(1, 80, 10*time.Millisecond)
	s.advance(time.Second)
	s.compareGolden(t)
}
