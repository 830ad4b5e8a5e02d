package route

import (
	"math"
	"math/rand/v2"
	"time"
)

// Fastest picks the target that is expected to finish the call first. It needs
// sight of all calls in flight and reports that are young against the time for
// which a target stays slow: one chooser for a whole service, with probes.
//
// The expected time is the product of what slows a target down: the pace that
// it reports, a recent start, few free slots, answers that take longer than
// those of others, failures. Targets in the call's data centre go first among
// those that are about as fast. No target is given more calls than its slots,
// counting the calls of others that its reports show.
type Fastest struct{}

const (
	// usualPace is the reported pace of a target that nothing slows down.
	usualPace = 100
	// paceMemory is the time in which a reported pace loses all but 1/e of what
	// it tells: noisy neighbours last some 300 ms and come back after 900.
	paceMemory = 225 * time.Millisecond
	// paceStep and paceSteps lay out the table of what is left of a report; at
	// its end, 4.5 memories old, one in a hundred is.
	paceStep  = 4 * time.Millisecond
	paceSteps = 256
	// paceWeight is the weight of a report in the moving mean of all paces,
	// which covers a second or two of reports.
	paceWeight = 1.0 / 256
	// foreignMemory is how long a report tells of the calls of others.
	foreignMemory = 250 * time.Millisecond
	// kneeShare is the share of busy slots from which targets slow down, and
	// kneeCost by how much.
	kneeShare = 0.8
	kneeCost  = 1.7
	// warmCost is how much slower a target is that has just started.
	warmCost = 2.0
	// loadCost spreads calls over targets that are equally fast.
	loadCost = 0.1
	// illCost keeps calls from a target whose health check fails; some checks
	// fail although the target serves.
	illCost     = 4.0
	suspectCost = 1.5
	// failingCost multiplies the moving share of failures.
	failingCost = 8.0
	// remoteCost weighs the bytes and the time between data centres.
	remoteCost = 1.1
	// relaxedCost does so for a call that has time.
	relaxedCost = 2.0
	// tieShare is the difference of expected times that counts as none.
	tieShare = 0.05
)

var (
	_ Policy = Fastest{}

	// paceKept is the part of a report that holds after each number of
	// paceSteps.
	paceKept = func() (list [paceSteps]float64) {
		for i := range list {
			list[i] = math.Exp(-float64(i) * float64(paceStep) / float64(paceMemory))
		}
		return list
	}()
)

func (Fastest) isPolicy() {}

func (t *Table) fastest(q Query, at time.Duration, rng *rand.Rand) (Pick, bool) {
	candidates, failed := 0, true
	least := math.Inf(1)
	t.ties, t.costs = t.ties[:0], t.costs[:0]
	for _, i := range t.readyRows {
		s := &t.state[i]
		if s.gone || s.inFlight+s.foreign(at) >= t.limit(i, q) || !t.usable(i, q, at) {
			continue
		}
		candidates++
		out := s.failedUntil > at
		if out && !failed {
			continue
		}
		if !out && failed {
			failed, least = false, math.Inf(1)
			t.ties, t.costs = t.ties[:0], t.costs[:0]
		}
		cost := t.cost(i, q, at)
		t.ties, t.costs = append(t.ties, i), append(t.costs, cost)
		least = min(least, cost)
	}
	kept := t.ties[:0]
	for k, i := range t.ties {
		if t.costs[k] <= least*(1+tieShare) {
			kept = append(kept, i)
		}
	}
	t.ties = kept
	if len(kept) == 0 {
		return Pick{}, false
	}
	why := WhyFastest
	switch {
	case failed:
		why = WhyAllFailing
	case least > kneeCost*(usualPace+t.excess):
		why = WhyCrowded
	}
	return t.pick(t.drawTie(kept[0], rng), candidates, why, at)
}

// cost returns the expected time of a call at the target of row i, in percent
// of the usual time.
func (t *Table) cost(i int, q Query, at time.Duration) float64 {
	s := &t.state[i]
	cost := t.pace(s, at)
	slots := max(t.limit(i, q), 1)
	busy := float64(s.inFlight+s.foreign(at)+1) / float64(slots)
	cost *= 1 + loadCost*busy
	if busy > kneeShare && slots > 1 {
		cost *= kneeCost
	}
	if t.warmAt[i] > at {
		cost *= warmCost
	}
	if s.samples >= stragglerSamples && s.latency > stragglerRatio*t.mean {
		cost *= max(s.latency/t.mean*(1-float64(at-s.latestAt)/float64(stragglerReturn)), 1)
	}
	cost *= 1 + failingCost*s.failing
	if s.ill {
		cost *= illCost
	}
	if s.suspect || t.stalled(s, at) {
		cost *= suspectCost
	}
	if q.DataCentre != "" && t.dataCentres[i] != q.DataCentre {
		if q.Relaxed {
			cost *= relaxedCost
		} else {
			cost *= remoteCost
		}
	}
	return cost
}

// pace returns the pace that is to be expected of a target: what it reported
// last, which reverts to the mean of all targets as the report grows old. It is
// the mean of an Ornstein-Uhlenbeck process, or of one with two states, given
// its last observation. Source: S. Karlin and H. Taylor, "A Second Course in
// Stochastic Processes", 1981, chapter 15.
func (t *Table) pace(s *state, at time.Duration) float64 {
	if !s.reported || s.load.Pace <= 0 {
		return usualPace + t.excess
	}
	kept := 0.0
	if step := (at - s.reportAt) / paceStep; step < paceSteps {
		kept = paceKept[max(step, 0)]
	}
	return usualPace + t.excess + (float64(s.load.Pace)-usualPace-t.excess)*kept
}

// foreign returns the calls at the target that others have sent there.
func (s *state) foreign(at time.Duration) int {
	if s.others <= 0 || at-s.othersAt > foreignMemory {
		return 0
	}
	return s.others
}

// Report takes in what a probe showed of the target called name.
func (t *Table) Report(name string, p Probe, now time.Time) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	at := t.offset(now)
	s := &t.state[i]
	switch p.Result {
	case ProbeGone:
		s.gone = true
	case ProbeLost:
		t.failed(s, probeLostWeight, at)
	case ProbeIll, ProbeWell:
		s.ill = p.Result == ProbeIll
	}
	if p.Reported {
		t.report(s, p.Load, at)
	}
}
