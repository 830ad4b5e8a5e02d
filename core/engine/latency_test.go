package engine_test

import (
	"cmp"
	"fmt"
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
)

// mixedClass is one kind of call in a replay of mixed calls.
type mixedClass struct {
	aim, work     time.Duration
	perSecond     float64
	asked, inTime int
}

// replayMixedCalls offers two kinds of calls to one service whose targets are full, for
// 30 s. Calls take 1.7 times their work there.
func replayMixedCalls(classes []*mixedClass) {
	const (
		targets, slots = 60, 2
		slowdown       = 1.7
		step           = 5 * time.Millisecond
		length         = 30 * time.Second
	)
	doc := spec.Default()
	doc.Name, doc.Route = "s", spec.Route{Policy: spec.PolicyFastest}
	doc.Hold = spec.Hold{Length: 4096, LongestWait: doc.Hold.LongestWait * 20}
	rng := rand.New(rand.NewPCG(3, 4))
	s := engine.NewScheduler(doc, rng)
	now := time.Unix(1000, 0)
	var records []member.Record
	for k := range targets {
		records = append(records, member.Record{
			Key: member.Key{Service: "s", Target: fmt.Sprint("t", k)}, State: member.Ready, Slots: slots,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+k)),
		})
	}
	s.Handle(nil, engine.SetTargets{Records: records}, now)
	type openCall struct {
		class *mixedClass
		asked time.Time
		ends  time.Time // Zero while the call is queued.
	}
	open, nextID := map[uint64]*openCall{}, uint64(0)
	apply := func(actions []engine.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case engine.Send:
				c := open[a.Call]
				c.ends = now.Add(time.Duration(float64(c.class.work) * slowdown * (0.7 + 0.6*rng.Float64())))
			case engine.Refuse:
				delete(open, a.Call)
			}
		}
	}
	for end := now.Add(length); now.Before(end); now = now.Add(step) {
		var done []uint64
		for id, c := range open {
			if !c.ends.IsZero() && !now.Before(c.ends) {
				done = append(done, id)
			}
		}
		slices.SortFunc(done, func(a, b uint64) int { return cmp.Compare(a, b) })
		for _, id := range done {
			c := open[id]
			delete(open, id)
			if now.Sub(c.asked) <= c.class.aim {
				c.class.inTime++
			}
			apply(s.Handle(nil, engine.Finish{Call: id, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}}, now))
		}
		for _, class := range classes {
			for range poisson(rng, class.perSecond*step.Seconds()) {
				nextID++
				class.asked++
				open[nextID] = &openCall{class: class, asked: now}
				apply(s.Handle(nil, engine.Arrive{Call: nextID, Deadline: now.Add(10 * time.Second), Class: spec.Class{
					Weight: 1, Deadline: 10 * time.Second, Aim: class.aim, Rank: 2, Idempotent: true, Attempts: 2,
				}}, now))
			}
		}
		apply(s.Handle(nil, engine.Tick{}, now))
	}
}

// poisson draws from a Poisson distribution with a small mean.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < mean; t += rng.ExpFloat64() {
		n++
	}
	return n
}

// Calls of 550 ms with an aim of 1.5 s and calls of 1.4 s with an aim of 3 s share the
// full targets of a service. The mean over both says that short calls are hardly in time;
// they must not be refused for that while the long ones are served.
func TestShortCallsAreServedBesideLongOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	short := &mixedClass{aim: 1500 * time.Millisecond, work: 550 * time.Millisecond, perSecond: 60}
	long := &mixedClass{aim: 3 * time.Second, work: 1400 * time.Millisecond, perSecond: 45}
	replayMixedCalls([]*mixedClass{short, long})
	shareOf := func(c *mixedClass) float64 { return float64(c.inTime) / float64(c.asked) }
	t.Logf("in time: %.2f of the short calls, %.2f of the long ones", shareOf(short), shareOf(long))
	g.Expect(shareOf(short)).To(gomega.BeNumerically(">=", shareOf(long)-0.15)) // What the users count as put behind.
}
