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
	// fakeTarget answers calls in a fixed time, three at once, and sheds
	// others.
	fakeTarget struct {
		running int
		dead    bool
		broken  bool
	}

	// pending is something that happens later in a run.
	pending struct {
		at    time.Time
		event func()
	}

	// session plays one engine against fake targets on a fake clock and
	// writes down every decision.
	session struct {
		now     time.Time
		engine  *engine.Service
		records []member.Record
		targets map[string]*fakeTarget
		later   []pending
		text    strings.Builder
	}
)

func newSession(targets int) *session {
	doc := spec.Default()
	doc.Name = "s"
	doc.Targets.Slots = runSlots
	doc.Hold.Length, doc.Route.Ramp = 20, 0
	s := &session{now: start, engine: engine.NewService(doc, rand.New(rand.NewPCG(7, 7))), targets: map[string]*fakeTarget{}}
	for i := range targets {
		name := string(rune('a' + i))
		s.records = append(s.records, member.Record{
			Key: member.Key{Service: "s", Target: name}, State: member.Ready, Incarnation: 1,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
		s.targets[name] = &fakeTarget{}
	}
	s.handle(engine.Retarget{Records: s.records})
	return s
}

func (s *session) after(d time.Duration, event func()) {
	s.later = append(s.later, pending{at: s.now.Add(d), event: event})
	slices.SortStableFunc(s.later, func(a, b pending) int { return a.at.Compare(b.at) })
}

// play lets span pass.
func (s *session) play(span time.Duration) {
	end := s.now.Add(span)
	for len(s.later) > 0 && !s.later[0].at.After(end) {
		next := s.later[0]
		s.later = s.later[1:]
		s.now = next.at
		next.event()
	}
	s.now = end
}

func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.text, "%6.1f ms  ", float64(s.now.Sub(start).Microseconds())/1000)
	fmt.Fprintf(&s.text, format+"\n", args...)
}

// arrivals lets n calls arrive, one each interval, numbered from first.
func (s *session) arrivals(first, n int, interval time.Duration) {
	for i := range n {
		s.after(time.Duration(i)*interval, func() {
			s.handle(engine.Arrive{Call: uint64(first + i), Class: class, Deadline: s.now.Add(time.Second)})
		})
	}
}

// ticks lets the engine tick every 10 ms for span.
func (s *session) ticks(span time.Duration) {
	for d := runCallTime; d <= span; d += runCallTime {
		s.after(d, func() { s.handle(engine.Tick{}) })
	}
}

func (s *session) handle(e engine.Event) {
	for _, action := range s.engine.Handle(nil, e, s.now) {
		switch a := action.(type) {
		case engine.Send:
			s.note("call %d to %s, attempt %d, %s of %d, held %s", a.Call, a.Target, a.Attempt, a.Why, a.Candidates, a.Held)
			s.attempt(a)
		case engine.Refuse:
			s.note("call %d refused: %s, not run %t, retry after %s", a.Call, a.Reason, a.NotRun, a.RetryAfter)
		}
	}
	if at, ok := s.engine.Wake(s.now); ok {
		s.after(at.Sub(s.now), func() { s.handle(engine.Tick{}) })
	}
}

func (s *session) attempt(a engine.Send) {
	t := s.targets[a.Target]
	finish := engine.Finish{Call: a.Call, Result: engine.NotRun, Replayable: true}
	switch {
	case t.dead:
		finish.Feedback.Ending = route.Unreachable
	case t.broken:
		finish.Result, finish.Feedback.Ending = engine.Answered, route.Failed
	case t.running >= runSlots:
		finish.Feedback = route.Feedback{Ending: route.Shed, Reported: true, Load: wire.Load{Running: t.running, Slots: runSlots}}
	default:
		t.running++
		s.after(runCallTime, func() {
			t.running--
			finish.Result = engine.Answered
			finish.Feedback = route.Feedback{Ending: route.Served, Reported: true, Load: wire.Load{Running: t.running, Slots: runSlots}}
			s.handle(finish)
		})
		return
	}
	s.after(time.Millisecond, func() {
		if finish.Result == engine.Answered {
			s.note("call %d got an error from %s", a.Call, a.Target)
		}
		s.handle(finish)
	})
}

// check compares the session with its golden file.
func (s *session) check(t *testing.T) {
	golden.Compare(t, strings.TrimPrefix(t.Name(), "TestRun"), s.text.String())
	gomega.NewWithT(t).Expect(s.engine.Open()).To(gomega.BeZero())
}

// A surge from idle: two calls in a quiet 100 ms, then four times as many as
// two targets can serve for 100 ms.
func TestRunSurgeFromIdle(t *testing.T) {
	s := newSession(2)
	s.ticks(time.Second)
	s.arrivals(1, 2, 50*time.Millisecond)
	s.play(100 * time.Millisecond)
	s.arrivals(100, 240, 100*time.Millisecond/240)
	s.play(900 * time.Millisecond)
	s.check(t)
}

// One of three targets has died and refuses connections.
func TestRunDeadTarget(t *testing.T) {
	s := newSession(3)
	s.ticks(time.Second)
	s.targets["b"].dead = true
	s.arrivals(1, 60, 10*time.Millisecond)
	s.play(time.Second)
	s.check(t)
}

// One of two targets drains with calls in progress and then comes back.
func TestRunDrain(t *testing.T) {
	s := newSession(2)
	s.ticks(400 * time.Millisecond)
	s.arrivals(1, 40, 5*time.Millisecond)
	s.play(52 * time.Millisecond)
	s.records[0].State = member.Draining
	s.note("a drains")
	s.handle(engine.Retarget{Records: s.records})
	s.play(100 * time.Millisecond)
	s.records[0].State, s.records[0].Incarnation = member.Ready, 2
	s.note("a is back")
	s.handle(engine.Retarget{Records: s.records})
	s.play(300 * time.Millisecond)
	s.check(t)
}

// One of three targets answers every call at once with an error.
func TestRunBulkErrors(t *testing.T) {
	s := newSession(3)
	s.ticks(time.Second)
	s.targets["c"].broken = true
	s.arrivals(1, 80, 10*time.Millisecond)
	s.play(time.Second)
	s.check(t)
}
