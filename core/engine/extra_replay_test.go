package engine_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/rank"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/internal/golden"
)

type (
	// hedgeSite is a deployment for a replay of second attempts: the targets of one service
	// and the classes of its calls. See docs/design/accounts-and-load.md.
	hedgeSite struct {
		targets, slots, queue int
		classes               []hedgeClass
		demand                func(at time.Duration) float64 // The demand relative to the mean.
		longShare             float64                        // The share of attempts that take longFactor times as long.
		oneWay                time.Duration                  // Between an entry host and a deciding host.
		callsAreLong          bool                           // All attempts of a long call are long.
	}

	hedgeClass struct {
		perSecond           float64
		work, aim, deadline time.Duration
		idempotent          bool
		rank                int
	}

	// hedgeTarget works on the attempts in its slots and queues the others.
	hedgeTarget struct {
		noisy, slow bool
		until       time.Time // When slow changes.
		attempts    []*hedgeAttempt
	}

	hedgeAttempt struct {
		call  *hedgeCall
		send  engine.Send
		left  time.Duration // Work left at the usual pace.
		ended bool          // The call has ended; the target goes on with the work.
	}

	hedgeCall struct {
		id       uint64
		index    int // Of the class.
		class    *hedgeClass
		long     bool
		arrived  time.Time
		decider  *hedgeDecider
		attempts []*hedgeAttempt // Those that run.
	}

	// hedgeDecider is a deciding host. weight is its share of new calls.
	hedgeDecider struct {
		scheduler *engine.Scheduler
		weight    float64
	}

	hedgeReplay struct {
		site     hedgeSite
		limit    float64 // Of second attempts, over all deciding hosts.
		rng      *rand.Rand
		now      time.Time
		targets  []*hedgeTarget
		records  []member.Record
		deciders []*hedgeDecider
		events   map[int64][]func() // By step.
		open     map[uint64]*hedgeCall
		nextCall uint64

		latencies [][]time.Duration // By class, of answered calls that have arrived after hedgeWarmup.
		calls     []int             // By class, of the same calls.
		late      []int             // By class: refused, given up, or answered after the aim.
		extras    []time.Time
		arrivals  []time.Time
		won       int
		refusals  map[engine.Reason]int
		work      time.Duration // Time in slots, without that of second attempts.
		extraWork time.Duration // Time of second attempts in slots.
	}
)

const (
	hedgeStep      = 2 * time.Millisecond
	hedgeLength    = 30 * time.Second
	hedgeWindow    = 10 * time.Second
	hedgeWarmup    = 5 * time.Second
	hedgeLong      = 7
	hedgeSlow      = 4
	hedgeKnee      = 0.8
	hedgeKneeCost  = 1.7
	hedgeNoisy     = 0.3
	hedgeSlowTime  = 300 * time.Millisecond
	hedgeQuietTime = 900 * time.Millisecond
	hedgeProbe     = 100 * time.Millisecond
	hedgeSeeds     = 3
	hedgeAsks      = 6 // As maxExtraAsks of io/entry.
)

var hedgeStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// siteA is the balance lookup of A, with bursts of 2.5 times for 2 s in 10 s.
func siteA() hedgeSite {
	return hedgeSite{
		targets: 203, slots: 3, queue: 6, oneWay: 1400 * time.Microsecond,
		classes: []hedgeClass{{perSecond: 527, work: 220 * time.Millisecond, aim: 600 * time.Millisecond, deadline: 3 * time.Second, idempotent: true, rank: 1}},
		demand: func(at time.Duration) float64 {
			if at%(10*time.Second) < 2*time.Second {
				return 2.5
			}
			return 0.625 // The mean is 1.
		},
	}
}

// siteB is the larger service of B, with waves around the mean.
func siteB() hedgeSite {
	return hedgeSite{
		targets: 288, slots: 4, queue: 8, oneWay: 900 * time.Microsecond, longShare: 0.03,
		classes: []hedgeClass{
			{perSecond: 586, work: 260 * time.Millisecond, aim: 800 * time.Millisecond, deadline: 4 * time.Second, idempotent: true, rank: 2},
			{perSecond: 180, work: 330 * time.Millisecond, aim: time.Second, deadline: 6 * time.Second, rank: 1},
		},
		demand: func(at time.Duration) float64 { return 1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/15) },
	}
}

// newHedgeReplay returns a replay with a deciding host for each weight, whose shares of the
// limit are those of the first, second and so on control host of a service.
func newHedgeReplay(site hedgeSite, seed uint64, limit float64, weights ...float64) *hedgeReplay {
	r := &hedgeReplay{
		site: site, limit: limit, rng: rand.New(rand.NewPCG(seed, 11)), now: hedgeStart, events: make(map[int64][]func()), open: make(map[uint64]*hedgeCall),
		latencies: make([][]time.Duration, len(site.classes)), calls: make([]int, len(site.classes)), late: make([]int, len(site.classes)),
		refusals: make(map[engine.Reason]int),
	}
	for i := range site.targets {
		r.targets = append(r.targets, &hedgeTarget{noisy: r.rng.Float64() < hedgeNoisy, until: r.now})
		r.records = append(r.records, member.Record{
			Key: member.Key{Service: "s", Target: fmt.Sprint("t", i)}, State: member.Ready, Incarnation: 1, Slots: site.slots,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
	}
	for i, weight := range weights {
		r.deciders = append(r.deciders, &hedgeDecider{r.newScheduler(limit * rank.Share(i)), weight})
	}
	for i := range r.targets {
		r.after(time.Duration(r.rng.Int64N(int64(hedgeProbe))), func() { r.probe(i) })
	}
	return r
}

// newScheduler returns the scheduler of a deciding host that may use the share limit.
func (r *hedgeReplay) newScheduler(limit float64) *engine.Scheduler {
	doc := spec.Default()
	doc.Name, doc.Targets.Slots, doc.Route = "s", r.site.slots, spec.Route{Policy: spec.PolicyFastest}
	doc.Hold = spec.Hold{Length: 4096, LongestWait: strict.Duration(5 * time.Second)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(100 * time.Millisecond), OpenCalls: 100_000}
	doc.Retry = spec.Retry{Attempts: 3, Window: strict.Duration(hedgeWindow), BudgetPercent: 15, Slack: 10}
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(r.rng.Uint64(), 1)),
		engine.WithExtras(engine.LimitExtras{Share: limit, Window: hedgeWindow}))
	s.Handle(nil, engine.SetTargets{Records: r.records}, r.now)
	return s
}

// after runs do in d from now, in the next step at the earliest.
func (r *hedgeReplay) after(d time.Duration, do func()) {
	step := int64(r.now.Add(d).Sub(hedgeStart)/hedgeStep) + 1
	r.events[step] = append(r.events[step], do)
}

// probe reports the load of a target to all deciding hosts, and does so again.
func (r *hedgeReplay) probe(i int) {
	pace := 100
	if r.targets[i].slow {
		pace *= hedgeSlow
	}
	load := wire.Load{Running: min(len(r.targets[i].attempts), r.site.slots), Slots: r.site.slots, Pace: pace}
	report := engine.ProbeReport{Target: r.records[i].Target, Probe: route.Probe{Result: route.ProbeHealthy, Load: load, Reported: true}}
	for _, d := range r.deciders {
		r.after(r.site.oneWay, func() { r.act(d, d.scheduler.Handle(nil, report, r.now)) })
	}
	r.after(hedgeProbe, func() { r.probe(i) })
}

// run lets the time d pass.
func (r *hedgeReplay) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(hedgeStep) {
		step := int64(r.now.Sub(hedgeStart) / hedgeStep)
		for _, do := range r.events[step] {
			do()
		}
		delete(r.events, step)
		for _, t := range r.targets {
			r.workAt(t)
		}
		for k := range r.site.classes {
			c := &r.site.classes[k]
			for range poisson(r.rng, c.perSecond*r.site.demand(r.now.Sub(hedgeStart))*hedgeStep.Seconds()) {
				r.arrive(k, c)
			}
		}
		for _, d := range r.deciders {
			r.act(d, d.scheduler.Handle(nil, engine.Tick{}, r.now))
		}
	}
}

// pickDecider draws the deciding host of a new call.
func (r *hedgeReplay) pickDecider() *hedgeDecider {
	x := r.rng.Float64()
	for _, d := range r.deciders {
		if x -= d.weight; x < 0 {
			return d
		}
	}
	return r.deciders[len(r.deciders)-1]
}

func (r *hedgeReplay) arrive(class int, c *hedgeClass) {
	r.nextCall++
	call := &hedgeCall{id: r.nextCall, index: class, class: c, arrived: r.now, decider: r.pickDecider(), long: r.rng.Float64() < r.site.longShare}
	if r.counts(call) {
		r.calls[class]++
	}
	r.open[call.id] = call
	d := call.decider
	r.after(r.site.oneWay, func() {
		r.arrivals = append(r.arrivals, r.now)
		r.act(d, d.scheduler.Handle(nil, engine.Arrive{Call: call.id, Deadline: call.arrived.Add(c.deadline), Class: spec.Class{
			Weight: 1, Deadline: c.deadline, Aim: c.aim, Rank: c.rank, Idempotent: c.idempotent, Attempts: 3,
		}}, r.now))
	})
}

// counts reports whether a call counts in the figures.
func (r *hedgeReplay) counts(c *hedgeCall) bool { return c.arrived.Sub(hedgeStart) >= hedgeWarmup }

// act carries out the actions of a deciding host.
func (r *hedgeReplay) act(d *hedgeDecider, actions []engine.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case engine.Send:
			if a.Extra {
				r.extras = append(r.extras, r.now)
			}
			r.after(r.site.oneWay, func() { r.send(d, a) })
		case engine.Refuse:
			if c := r.open[a.Call]; c != nil {
				r.end(c, false)
			}
		case engine.ExtraRefused:
			r.refusals[a.Reason]++
		}
	}
}

// report passes the end of an attempt to the deciding host d.
func (r *hedgeReplay) report(d *hedgeDecider, e engine.Event) {
	r.after(r.site.oneWay, func() { r.act(d, d.scheduler.Handle(nil, e, r.now)) })
}

// number returns the number by which an entry host reports an attempt.
func number(s engine.Send) int {
	if s.Extra || s.ExtraAfter > 0 {
		return s.Attempt
	}
	return 0
}

// send makes an attempt, as an entry host does.
func (r *hedgeReplay) send(d *hedgeDecider, s engine.Send) {
	c := r.open[s.Call]
	if c == nil || s.Extra && len(c.attempts) != 1 {
		r.report(d, engine.Finish{Call: s.Call, Attempt: number(s), Result: engine.Withdrawn})
		return
	}
	var i int
	fmt.Sscanf(s.Target, "t%d", &i)
	t := r.targets[i]
	if len(t.attempts) >= r.site.slots+r.site.queue {
		r.report(d, engine.Finish{Call: s.Call, Attempt: number(s), Result: engine.NotRun, Replayable: true, Feedback: route.Feedback{Outcome: route.Shed}})
		return
	}
	work := time.Duration(float64(c.class.work) * (0.7 + 0.6*r.rng.Float64()))
	long := r.rng.Float64() < r.site.longShare
	if r.site.callsAreLong {
		long = c.long
	}
	if long {
		work *= hedgeLong
	}
	a := &hedgeAttempt{call: c, send: s, left: work}
	c.attempts, t.attempts = append(c.attempts, a), append(t.attempts, a)
	if !s.Extra && s.ExtraAfter > 0 {
		r.after(s.ExtraAfter, func() { r.ask(d, c, a, r.now.Add(-s.ExtraAfter), 1) })
	}
}

// ask asks for a second attempt beside a, which began at begin, for the nth time.
func (r *hedgeReplay) ask(d *hedgeDecider, c *hedgeCall, a *hedgeAttempt, begin time.Time, n int) {
	if a.ended || a.left <= 0 || len(c.attempts) != 1 {
		return
	}
	r.report(d, engine.Extra{Call: c.id})
	if n < hedgeAsks {
		r.after(r.now.Sub(begin)/engine.ExtraAskDivisor, func() { r.ask(d, c, a, begin, n+1) })
	}
}

// workAt has a target work for one step.
func (r *hedgeReplay) workAt(t *hedgeTarget) {
	if t.noisy && !r.now.Before(t.until) {
		mean := hedgeSlowTime
		if t.slow {
			mean = hedgeQuietTime
		}
		t.slow = !t.slow
		t.until = r.now.Add(time.Duration(float64(mean) * (0.5 + r.rng.Float64())))
	}
	running := t.attempts[:min(len(t.attempts), r.site.slots)]
	progress := hedgeStep
	if t.slow {
		progress /= hedgeSlow
	}
	if float64(len(running)) > hedgeKnee*float64(r.site.slots) {
		progress = time.Duration(float64(progress) / hedgeKneeCost)
	}
	done := false
	for _, a := range running {
		if a.send.Extra {
			r.extraWork += hedgeStep
		} else {
			r.work += hedgeStep
		}
		a.left -= progress
		done = done || a.left <= 0
	}
	if !done {
		return
	}
	var ended []*hedgeAttempt
	t.attempts = slices.DeleteFunc(t.attempts, func(a *hedgeAttempt) bool {
		if a.left > 0 {
			return false
		}
		ended = append(ended, a)
		return true
	})
	for _, a := range ended {
		if !a.ended {
			r.answer(a)
		}
	}
}

// answer ends the call of an attempt with its answer, and cancels the other one.
func (r *hedgeReplay) answer(a *hedgeAttempt) {
	c := a.call
	if a.send.Extra {
		r.won++
	}
	r.end(c, true)
	for _, other := range c.attempts {
		if other != a {
			r.report(c.decider, engine.Finish{Call: c.id, Attempt: number(other.send), Result: engine.Withdrawn})
		}
	}
	r.report(c.decider, engine.Finish{Call: c.id, Attempt: number(a.send), Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served, Answered: true}})
}

// end ends a call at its caller.
func (r *hedgeReplay) end(c *hedgeCall, answered bool) {
	delete(r.open, c.id)
	for _, a := range c.attempts {
		a.ended = true
	}
	if !r.counts(c) {
		return
	}
	took := r.now.Sub(c.arrived)
	if answered {
		r.latencies[c.index] = append(r.latencies[c.index], took)
	}
	if !answered || took > c.class.aim {
		r.late[c.index]++
	}
}

// hedgeFigures are the figures of one replay.
type hedgeFigures struct {
	p50, p99       time.Duration
	late, lateRest float64 // Shares of the calls of the first class, and of the other ones.
	extras, won    float64 // Second attempts per call of all classes, and the share that won.
	extraWork      float64 // Time of targets, relative to that without second attempts.
}

func (r *hedgeReplay) figures() hedgeFigures {
	list := slices.Sorted(slices.Values(r.latencies[0]))
	quantile := func(p float64) time.Duration { return list[int(p*float64(len(list)-1))] }
	f := hedgeFigures{
		p50: quantile(0.5), p99: quantile(0.99), late: float64(r.late[0]) / float64(r.calls[0]),
		extras: float64(len(r.extras)) / float64(len(r.arrivals)), won: float64(r.won) / max(float64(len(r.extras)), 1),
		extraWork: float64(r.extraWork) / float64(r.work),
	}
	if len(r.calls) > 1 {
		f.lateRest = float64(r.late[1]) / float64(r.calls[1])
	}
	return f
}

// expectWithinLimit checks that in every window that ends at a second attempt these are at
// most the share limit of the calls.
func (r *hedgeReplay) expectWithinLimit(g *gomega.WithT, limit float64) {
	for i, at := range r.extras {
		first, _ := slices.BinarySearchFunc(r.extras, at.Add(-hedgeWindow), time.Time.Compare)
		from, _ := slices.BinarySearchFunc(r.arrivals, at.Add(-hedgeWindow), time.Time.Compare)
		until, _ := slices.BinarySearchFunc(r.arrivals, at.Add(1), time.Time.Compare)
		g.Expect(float64(i+1-first)).To(gomega.BeNumerically("<=", limit*float64(until-from)), "at %s", at.Sub(hedgeStart))
	}
}

// replayHedges runs a replay for each seed, in parallel, and returns them.
func replayHedges(site hedgeSite, limit float64, run func(*hedgeReplay), weights ...float64) []*hedgeReplay {
	list := make([]*hedgeReplay, hedgeSeeds)
	var wg sync.WaitGroup
	for i := range list {
		wg.Go(func() {
			list[i] = newHedgeReplay(site, uint64(i+1), limit, weights...)
			run(list[i])
		})
	}
	wg.Wait()
	return list
}

// mean returns the mean of a figure over replays.
func mean(list []*hedgeReplay, figure func(hedgeFigures) float64) float64 {
	sum := 0.0
	for _, r := range list {
		sum += figure(r.figures())
	}
	return sum / float64(len(list))
}

// hedgeRow returns the mean figures of replays as a row of a table.
func hedgeRow(limit float64, list []*hedgeReplay) string {
	ms := func(figure func(hedgeFigures) time.Duration) float64 {
		return mean(list, func(f hedgeFigures) float64 { return float64(figure(f).Milliseconds()) })
	}
	percent := func(figure func(hedgeFigures) float64) float64 { return 100 * mean(list, figure) }
	return fmt.Sprintf("%5.2f  %6.0f  %6.0f  %10.2f  %10.2f  %15.2f  %3.0f  %10.2f\n", limit,
		ms(func(f hedgeFigures) time.Duration { return f.p50 }), ms(func(f hedgeFigures) time.Duration { return f.p99 }),
		percent(func(f hedgeFigures) float64 { return f.late }), percent(func(f hedgeFigures) float64 { return f.lateRest }),
		percent(func(f hedgeFigures) float64 { return f.extras }), percent(func(f hedgeFigures) float64 { return f.won }),
		percent(func(f hedgeFigures) float64 { return f.extraWork }))
}

// Guards against a limit that is exceeded, and against one that is used without fewer late
// calls on targets where some attempts take seven times as long. The golden file has the
// figures of each limit, also where they show no gain.
func TestSecondAttemptsSaveLateCalls(t *testing.T) {
	long := siteB()
	long.callsAreLong = true
	var out strings.Builder
	late := make(map[string]map[float64]float64)
	for _, row := range []struct {
		name string
		site hedgeSite
	}{{"A", siteA()}, {"B", siteB()}, {"B, a long call is long at every target", long}} {
		fmt.Fprintf(&out, "%s\nlimit  p50 ms  p99 ms  late in 100  other late  second in 100  won  extra work in 100\n", row.name)
		late[row.name] = make(map[float64]float64)
		for _, limit := range []float64{0, 0.02, 0.05, 0.1} {
			g := gomega.NewWithT(t)
			list := replayHedges(row.site, limit, func(r *hedgeReplay) { r.run(hedgeLength) }, 1)
			for _, r := range list {
				r.expectWithinLimit(g, limit)
			}
			out.WriteString(hedgeRow(limit, list))
			late[row.name][limit] = mean(list, func(f hedgeFigures) float64 { return f.late })
		}
	}
	golden.Compare(t, t.Name(), out.String())
	g := gomega.NewWithT(t)
	for _, limit := range []float64{0.02, 0.05, 0.1} {
		g.Expect(late["B"][limit]).To(gomega.BeNumerically("<", late["B"][0]), "limit %.2f", limit)
	}
}

// Guards against two deciding hosts that exceed the limit together, as while one takes over
// from the other, and against a new one that saves no calls.
func TestLimitHoldsForTwoDecidingHosts(t *testing.T) {
	const limit = 0.05
	for name, row := range map[string]struct {
		weights []float64
		run     func(*hedgeReplay)
	}{
		"both decide": {[]float64{0.5, 0.5}, func(r *hedgeReplay) { r.run(hedgeLength) }},
		"the second one takes over": {[]float64{1, 0}, func(r *hedgeReplay) {
			r.run(hedgeLength / 2)
			r.deciders[0].weight, r.deciders[1].weight = 0, 1
			r.run(hedgeLength / 2)
		}},
		"a new one takes the place of the first": {[]float64{1}, func(r *hedgeReplay) {
			r.run(hedgeLength / 2)
			r.deciders[0].weight = 0
			r.deciders = append(r.deciders, &hedgeDecider{r.newScheduler(r.limit * rank.Share(0)), 1})
			r.run(hedgeLength / 2)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var off []*hedgeReplay
			list := replayHedges(siteB(), limit, row.run, row.weights...)
			off = replayHedges(siteB(), 0, row.run, row.weights...)
			for _, r := range list {
				r.expectWithinLimit(g, limit)
			}
			figure := func(f hedgeFigures) float64 { return f.late }
			t.Logf("late %.4f, without second attempts %.4f, second attempts %.4f", mean(list, figure), mean(off, figure),
				mean(list, func(f hedgeFigures) float64 { return f.extras }))
			g.Expect(mean(list, figure)).To(gomega.BeNumerically("<", mean(off, figure)))
		})
	}
}
