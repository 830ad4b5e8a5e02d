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
	"cardamomspool/core/wire"
)

// limitRun sends calls to targets that name limits. Every call takes limitCallTime.
type limitRun struct {
	scheduler *engine.Scheduler
	now       time.Time
	limits    map[string]wire.Limit
	sent      map[string][]time.Time // When calls were sent, by target.
	refused   []engine.Refuse
	lastCall  uint64
	ends      []limitedCall
}

// limitedCall is a call at a target.
type limitedCall struct {
	id     uint64
	target string
	end    time.Time
}

const (
	limitCallTime = 20 * time.Millisecond
	limitAim      = 200 * time.Millisecond
	limitDeadline = time.Second
	limitWindow   = 4 * time.Second
)

// newLimitRun returns a run with n targets, the first of which is called "a", and a
// scheduler that may use the given share of their limits.
func newLimitRun(n int, share float64) *limitRun {
	doc := spec.Default()
	doc.Name, doc.Targets.Slots, doc.Hold.Length = "s", 4, 1000
	doc.Hold.LongestWait = strict.Duration(10 * time.Second)
	doc.Route.Policy = spec.PolicyFastest
	r := &limitRun{
		scheduler: engine.NewScheduler(doc, rand.New(rand.NewPCG(3, 4)), engine.WithLimitShare(share)),
		now:       start, limits: make(map[string]wire.Limit), sent: make(map[string][]time.Time),
	}
	r.handle(targets(n))
	return r
}

func (r *limitRun) handle(e engine.Event) {
	for _, action := range r.scheduler.Handle(nil, e, r.now) {
		switch action := action.(type) {
		case engine.Send:
			r.sent[action.Target] = append(r.sent[action.Target], r.now)
			r.ends = append(r.ends, limitedCall{id: action.Call, target: action.Target, end: r.now.Add(limitCallTime)})
		case engine.Refuse:
			r.refused = append(r.refused, action)
		}
	}
}

// run sends a call every interval for the given time.
func (r *limitRun) run(duration, interval time.Duration) {
	const step = time.Millisecond
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(step) {
		for len(r.ends) > 0 && !r.ends[0].end.After(r.now) {
			c := r.ends[0]
			r.ends = r.ends[1:]
			r.handle(engine.Finish{Call: c.id, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served, Answered: true, Limit: r.limits[c.target]}})
		}
		r.handle(engine.Tick{})
		if r.now.Sub(start)%interval == 0 {
			r.lastCall++
			class := spec.Class{Weight: 1, Deadline: limitDeadline, Aim: limitAim}
			r.handle(engine.Arrive{Call: r.lastCall, Class: class, Deadline: r.now.Add(limitDeadline)})
		}
	}
}

// most returns the largest number of calls sent to a target in limitWindow.
func (r *limitRun) most(target string) int {
	most := 0
	for i, from := range r.sent[target] {
		n := 0
		for _, at := range r.sent[target][i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func TestCallsBeyondALimitGoToOtherTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLimitRun(2, 1)
	r.run(time.Second, 10*time.Millisecond)
	r.limits["a"] = wire.Limit{Named: true, Rate: 3}
	r.run(limitCallTime*2, 10*time.Millisecond)
	r.sent["a"] = nil
	r.run(3*limitWindow, 10*time.Millisecond)
	g.Expect(r.most("a")).To(gomega.And(gomega.BeNumerically(">=", 11), gomega.BeNumerically("<=", 3*4+2)))
	g.Expect(r.refused).To(gomega.BeEmpty())

	r.limits["a"] = wire.Limit{}
	r.run(time.Second, 10*time.Millisecond)
	r.sent["a"] = nil
	r.run(time.Second, 10*time.Millisecond)
	g.Expect(len(r.sent["a"])).To(gomega.BeNumerically(">", 20), "calls in the second after the limit was lifted")
}

// Guards against calls that are held although the limits of all targets leave no room.
func TestCallsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLimitRun(2, 1)
	for _, target := range []string{"a", "b"} {
		r.limits[target] = wire.Limit{Named: true, Rate: 5}
	}
	r.run(time.Second, 10*time.Millisecond)
	r.sent, r.refused = make(map[string][]time.Time), nil
	arrived := r.lastCall
	r.run(limitWindow, 10*time.Millisecond)
	sent := len(r.sent["a"]) + len(r.sent["b"])
	g.Expect(sent).To(gomega.BeNumerically("~", 40, 6))
	g.Expect(len(r.refused) + sent).To(gomega.BeNumerically("~", int(r.lastCall-arrived), 3))
	for _, refusal := range r.refused {
		g.Expect(refusal.Reason).To(gomega.Or(gomega.Equal(engine.NoProspect), gomega.Equal(engine.WaitedTooLong)))
		g.Expect(refusal.NotRun).To(gomega.BeTrue())
	}
	prompt := 0
	for _, refusal := range r.refused {
		if refusal.Reason == engine.NoProspect {
			prompt++
		}
	}
	g.Expect(prompt).To(gomega.BeNumerically(">=", len(r.refused)*9/10), "refused on arrival, of %d", len(r.refused))
}

func TestHostWithoutAShareLeavesLimitedTargetsAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLimitRun(2, 0)
	r.handle(engine.LimitReport{Target: "a", Limit: wire.Limit{Named: true, Rate: 5}})
	r.run(limitWindow, 10*time.Millisecond)
	g.Expect(r.sent["a"]).To(gomega.BeEmpty())
	g.Expect(r.refused).To(gomega.BeEmpty())
	r.handle(engine.LimitReport{Target: "b", Limit: wire.Limit{Named: true, Rate: 5}})
	r.sent["b"] = nil
	r.run(time.Second, 10*time.Millisecond)
	g.Expect(r.sent["b"]).To(gomega.BeEmpty())
	g.Expect(r.refused).To(gomega.HaveLen(100))
	for _, refusal := range r.refused {
		g.Expect(refusal.RetryAfter).To(gomega.BeNumerically("<=", time.Second), "another host may have a share")
	}
	r.run(2*time.Minute, 100*time.Millisecond)
	g.Expect(r.sent["a"]).NotTo(gomega.BeEmpty(), "after the limit has been forgotten")
}

// An answer that was on its way as the limit was named does not lift it.
func TestLimitHoldsUntilALaterCallIsAnsweredWithoutOne(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLimitRun(1, 0)
	named := wire.Limit{Named: true, Rate: 5}
	r.run(5*time.Millisecond, time.Millisecond)
	g.Expect(r.sent["a"]).NotTo(gomega.BeEmpty())
	r.handle(engine.LimitReport{Target: "a", Limit: named})
	r.sent["a"] = nil
	r.run(4*limitCallTime, 5*time.Millisecond) // The calls from before end without a limit.
	g.Expect(r.sent["a"]).To(gomega.BeEmpty())
	r.handle(engine.LimitReport{Target: "a", Elapsed: time.Millisecond})
	r.run(limitCallTime, 5*time.Millisecond)
	g.Expect(r.sent["a"]).NotTo(gomega.BeEmpty())
}
