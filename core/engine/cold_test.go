package engine_test

import (
	"fmt"
	"math"
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
)

const (
	coldTargets    = 40
	aloneHosts     = 150
	coldTestWarmUp = 3 * time.Second
	coldTestStep   = 5 * time.Millisecond
)

type (
	// coldReplay runs the schedulers of many hosts against targets that become cold at the
	// same moment, without a network.
	coldReplay struct {
		rng     *rand.Rand
		now     time.Time
		targets []member.Record
		hosts   []*coldHost
		// requests holds the times of the requests at each target.
		requests map[string][]time.Time
		refused  map[engine.Reason]int
	}

	// coldHost is one host that decides for rate calls a second.
	coldHost struct {
		scheduler *engine.Scheduler
		rate      float64
		alone     bool
		lastCall  uint64
		running   []coldCall
		records   []member.Record
	}

	coldCall struct {
		id   uint64
		ends time.Time
	}
)

func coldDocument(alone bool) spec.Service {
	doc := spec.Default()
	doc.Name = "s"
	doc.Hold = spec.Hold{Length: 4096, LongestWait: strict.Duration(300 * time.Millisecond)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(100 * time.Millisecond), OpenCalls: 100_000}
	doc.Targets = spec.Targets{Slots: 4, Connections: 200}
	if alone {
		doc.Targets.Slots = 1
	} else {
		doc.Route = spec.Route{Policy: spec.PolicyFastest}
	}
	return doc
}

// newColdReplay returns a replay with one deciding control host, one that is cut off and
// still decides, and hosts that decide alone.
func newColdReplay(seed uint64, rate, overshoot, slack float64) *coldReplay {
	r := &coldReplay{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		requests: make(map[string][]time.Time), refused: make(map[engine.Reason]int),
	}
	for i := range coldTargets {
		r.targets = append(r.targets, member.Record{
			Key: member.Key{Service: "s", Target: fmt.Sprint("t-", i)}, Address: netip.MustParseAddrPort("127.0.0.1:9"),
			State: member.Ready, Incarnation: 1, Slots: 4,
		})
	}
	add := func(callRate float64, limit route.ColdLimit) {
		h := &coldHost{rate: callRate, alone: limit.Alone}
		h.scheduler = engine.NewScheduler(coldDocument(h.alone), rand.New(rand.NewPCG(r.rng.Uint64(), 1)))
		// Hosts did not start at the same time, so their seconds differ.
		h.scheduler.Handle(nil, engine.SetColdLimit{Limit: limit}, r.now.Add(-time.Duration(r.rng.Int64N(int64(time.Minute)))))
		r.hosts = append(r.hosts, h)
	}
	add(600, route.NewColdLimit(rate, overshoot, slack, true))
	add(600, route.NewColdLimit(rate, overshoot, slack, false))
	for range aloneHosts {
		add(6, route.NewAloneColdLimit(rate, overshoot, slack, aloneHosts, r.rng.Uint64()))
	}
	return r
}

// setTargets tells a host of the targets; those from firstCold on are cold until coldUntil.
func (r *coldReplay) setTargets(h *coldHost, firstCold int, coldUntil time.Time) {
	list := slices.Clone(r.targets)
	for i := range list {
		if h.alone {
			list[i].Slots = 1
		}
		if i >= firstCold {
			list[i].WarmAt = coldUntil
		}
	}
	r.act(h, h.scheduler.Handle(nil, engine.SetTargets{Records: list}, r.now))
}

// act carries out the actions of a host.
func (r *coldReplay) act(h *coldHost, actions []engine.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case engine.Send:
			arrives := r.now.Add(time.Duration(r.rng.Int64N(int64(10 * time.Millisecond))))
			r.requests[a.Target] = append(r.requests[a.Target], arrives)
			h.running = append(h.running, coldCall{id: a.Call, ends: r.now.Add(20*time.Millisecond + time.Duration(r.rng.Int64N(int64(80*time.Millisecond))))})
		case engine.Refuse:
			r.refused[a.Reason]++
		}
	}
}

// run lets the time d pass.
func (r *coldReplay) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(coldTestStep) {
		for _, h := range r.hosts {
			for i := len(h.running) - 1; i >= 0; i-- {
				if c := h.running[i]; !c.ends.After(r.now) {
					h.running = slices.Delete(h.running, i, i+1)
					r.act(h, h.scheduler.Handle(nil, engine.Finish{Call: c.id, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served, Answered: true}}, r.now))
				}
			}
			for expected := h.rate * coldTestStep.Seconds(); r.rng.Float64() < expected; expected-- {
				h.lastCall++
				class := spec.Class{Weight: 1, Aim: 600 * time.Millisecond, Attempts: 1}
				r.act(h, h.scheduler.Handle(nil, engine.Arrive{Call: h.lastCall, Class: class, Deadline: r.now.Add(3 * time.Second)}, r.now))
			}
			r.act(h, h.scheduler.Handle(nil, engine.Tick{}, r.now))
		}
	}
}

// mostInOneSecond returns the largest number of requests at one target in a second that
// begins at or after from.
func (r *coldReplay) mostInOneSecond(from, until time.Time) (most, total int) {
	for _, list := range r.requests {
		slices.SortFunc(list, time.Time.Compare)
		first := 0
		for i, at := range list {
			if at.Before(from) || !at.Before(until) {
				continue
			}
			total++
			for first < i && (list[first].Before(from) || at.Sub(list[first]) >= time.Second) {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most, total
}

// Targets become cold at the same moment while one control host decides, another one is cut
// off and still decides, and many entry hosts decide alone. Guards against a cold target that
// gets more requests in any second than it takes, over all hosts together, and crashes.
func TestColdTargetsStayWithinTheirBound(t *testing.T) {
	for _, c := range []struct{ rate, overshoot, slack float64 }{{2.27, 1.5, 8}, {4.2, 1.5, 8}} {
		for _, firstCold := range []int{0, coldTargets / 4} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("rate %v, first cold target %d, seed %d", c.rate, firstCold, seed), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					r := newColdReplay(seed, c.rate, c.overshoot, c.slack)
					for _, h := range r.hosts {
						r.setTargets(h, coldTargets, time.Time{})
					}
					r.run(2 * time.Second)
					cold := r.now
					for _, h := range r.hosts {
						r.setTargets(h, firstCold, cold.Add(coldTestWarmUp))
					}
					r.run(coldTestWarmUp)
					for i := range firstCold {
						delete(r.requests, r.targets[i].Target)
					}
					// Requests that were on their way when the target became cold are those of
					// a warm one.
					most, total := r.mostInOneSecond(cold.Add(10*time.Millisecond), r.now)
					bound := int(math.Floor(c.rate*c.overshoot + c.slack))
					g.Expect(most).To(gomega.BeNumerically("<=", bound))
					perSecond := float64(total) / float64(coldTargets-firstCold) / coldTestWarmUp.Seconds()
					least := 0.0 // Warm targets are faster and get what they can take.
					if firstCold == 0 {
						least = c.rate
					}
					g.Expect(perSecond).To(gomega.BeNumerically(">", least), "cold targets do get calls")
					t.Logf("at most %d of %d requests in a second, %.2f a second on average, refused %v", most, bound, perSecond, r.refused)
				})
			}
		}
	}
}

// newColdScheduler returns a scheduler with two targets, of which the first is cold for 3 s and
// the second as cold says.
func newColdScheduler(alone bool, limit route.ColdLimit, now time.Time, bothCold bool) *engine.Scheduler {
	s := engine.NewScheduler(coldDocument(alone), rand.New(rand.NewPCG(1, 1)))
	s.Handle(nil, engine.SetColdLimit{Limit: limit}, now)
	var records []member.Record
	for i := range 2 {
		r := member.Record{Key: member.Key{Service: "s", Target: fmt.Sprint("t-", i)}, State: member.Ready, Incarnation: 1, Slots: 50}
		if i == 0 || bothCold {
			r.WarmAt = now.Add(3 * time.Second)
		}
		records = append(records, r)
	}
	s.Handle(nil, engine.SetTargets{Records: records}, now)
	return s
}

// arriveCold has n calls arrive and returns the actions.
func arriveCold(s *engine.Scheduler, n int, now time.Time) []engine.Action {
	var actions []engine.Action
	for i := range n {
		class := spec.Class{Weight: 1, Aim: 600 * time.Millisecond}
		actions = s.Handle(actions, engine.Arrive{Call: uint64(now.UnixNano()) + uint64(i), Class: class, Deadline: now.Add(2 * time.Second)}, now)
	}
	return actions
}

// sentTo returns the number of calls that the actions send to a target.
func sentTo(actions []engine.Action, target string) int {
	n := 0
	for _, a := range actions {
		if send, ok := a.(engine.Send); ok && send.Target == target {
			n++
		}
	}
	return n
}

// Guards against calls that are refused at once, or told to come back at the wrong time, when
// all targets are cold and have got what they take.
func TestColdTargetsAtTheirBoundLetCallsWaitOrComeBackInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newColdScheduler(false, route.NewColdLimit(4, 1.5, 8, true), now, true)
	actions := arriveCold(s, 60, now)
	g.Expect(sentTo(actions, "t-0")+sentTo(actions, "t-1")).To(gomega.Equal(4), "the burst of both")
	g.Expect(s.QueuedCalls()).To(gomega.BeNumerically("~", 2, 1), "as many as 8 calls a second serve in time")
	refuse, ok := actions[len(actions)-1].(engine.Refuse)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(refuse.Reason).To(gomega.Equal(engine.NoProspect))
	g.Expect(refuse.NotRun).To(gomega.BeTrue())
	g.Expect(refuse.RetryAfter).To(gomega.BeNumerically("~", 375*time.Millisecond, 150*time.Millisecond))
	sent := 0
	for i := range 60 {
		actions = s.Handle(nil, engine.Tick{}, now.Add(time.Duration(i)*5*time.Millisecond))
		sent += sentTo(actions, "t-0") + sentTo(actions, "t-1")
	}
	g.Expect(sent).To(gomega.BeNumerically(">=", 2), "the calls in the queue are sent when the targets take them")
}

// Guards against a warm target that a probe shows to be cold and that still gets calls at full
// rate, and against a limit where the plan names none.
func TestProbeShowsColdTargetAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, limited := range []bool{true, false} {
		limit := route.ColdLimit{}
		if limited {
			limit = route.NewColdLimit(4, 1.5, 8, true)
		}
		s := newColdScheduler(false, limit, now.Add(-time.Hour), true)
		for _, target := range []string{"t-0", "t-1"} {
			s.Handle(nil, engine.ProbeReport{Target: target, Probe: route.Probe{Result: route.ProbeHealthy, WarmFor: 3 * time.Second}}, now)
		}
		actions := arriveCold(s, 40, now)
		if limited {
			g.Expect(sentTo(actions, "t-0")).To(gomega.Equal(2))
			g.Expect(s.Stats(now).Targets.Cold).To(gomega.Equal(2))
		} else {
			g.Expect(sentTo(actions, "t-0") + sentTo(actions, "t-1")).To(gomega.Equal(40))
		}
	}
}

// Guards against calls to a cold target while there is a warm one, and against more than one a
// second when there is none.
func TestHostThatDecidesAloneSparesColdTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit := route.NewAloneColdLimit(4, 1.5, 8, 3, 9)
	s := newColdScheduler(true, limit, now, false)
	actions := arriveCold(s, 60, now)
	g.Expect(sentTo(actions, "t-0")).To(gomega.BeZero())
	g.Expect(sentTo(actions, "t-1")).To(gomega.BeNumerically(">", 0))
	s = newColdScheduler(true, limit, now, true)
	sent := 0
	for i := range 200 {
		sent += sentTo(arriveCold(s, 1, now.Add(time.Duration(i)*10*time.Millisecond)), "t-0")
	}
	g.Expect(sent).To(gomega.Equal(2), "one a second for 2 s")
}

// Guards against a bound that is used up by calls that never reached the cold target.
func TestCallsThatColdTargetDidNotGetAreTakenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newColdScheduler(false, route.NewColdLimit(0.01, 1.5, 8, true), now, true)
	s.Handle(nil, engine.SetTargets{Records: []member.Record{{Key: member.Key{Service: "s", Target: "t-0"}, State: member.Ready, Incarnation: 1, Slots: 50, WarmAt: now.Add(time.Hour)}}}, now)
	for range 10 {
		now = now.Add(2 * time.Second)
		actions := arriveCold(s, 1, now)
		g.Expect(sentTo(actions, "t-0")).To(gomega.Equal(1))
		send, _ := actions[0].(engine.Send)
		s.Handle(nil, engine.Finish{Call: send.Call, Result: engine.NotSent, Feedback: route.Feedback{Rest: time.Second}}, now)
		s.Handle(nil, engine.Cancel{Call: send.Call}, now)
	}
}
