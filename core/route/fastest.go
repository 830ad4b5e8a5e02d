package route

import (
	"math"
	"math/rand/v2"
	"time"
)

// Fastest picks the target that is expected to finish the call first. It needs
// to see all calls in flight, and load reports that are recent compared with the
// time for which a target stays slow. It has both when one host routes all calls
// of a service and the targets are probed.
//
// The expected time of a call at a target is the product of the factors that
// slow the target down: its reported pace, a recent start, the share of busy
// slots, a higher latency than the mean, failures, a failing health check, being
// suspect or stalled, and the way to another data centre. The call's data centre is
// preferred among targets that are about equally fast, and then one to which the host
// that sends the call has an idle connection. No target gets more calls than its slots,
// including the calls of other entry hosts that its reports show.
type Fastest struct{}

const (
	// normalPace is the reported pace of a target that nothing slows down, in
	// percent of its usual call time.
	normalPace = 100
	// paceTimeConstant is the time in which the weight of a reported pace decays
	// to 1/e: noisy neighbours slow a target down for some 300 ms and come back
	// after 900 ms.
	paceTimeConstant = 225 * time.Millisecond
	// paceDecayStep and paceDecaySteps are the resolution and the length of the
	// paceDecay table. At its end, after 4.5 time constants, the weight is about
	// 1 in 100.
	paceDecayStep  = 4 * time.Millisecond
	paceDecaySteps = 256
	// meanPaceWeight is the weight of one report in Table.excessPace, which
	// then averages about the last second or two of reports.
	meanPaceWeight = 1.0 / 256
	// maxOtherCallsAge is the age above which a report of the calls of other
	// entry hosts is ignored.
	maxOtherCallsAge = 250 * time.Millisecond
	// kneeUtilisation is the share of busy slots above which targets slow down,
	// and kneeCost the factor by which their calls then take longer.
	kneeUtilisation = 0.8
	kneeCost        = 1.7
	// coldStartCost is the factor for a target that has just started.
	coldStartCost = 2.0
	// loadCost is the part of the expected time that is added when all slots are
	// busy, so that calls are spread over targets that are equally fast.
	loadCost = 0.1
	// unhealthyCost is the factor for a target whose health check fails. Such
	// targets stay usable, because some checks fail although the target serves.
	unhealthyCost = 4.0
	// lostProbeCost is the factor for a target whose last probe was lost.
	lostProbeCost = 4.0
	// suspectCost is the factor for a target that is suspect or stalled.
	suspectCost = 1.5
	// failureCost times the failure rate is the part of the expected time that is
	// added for failures.
	failureCost = 8.0
	// remoteCost is the factor for a target in another data centre; it stands
	// for the traffic and the latency between data centres.
	remoteCost = 1.1
	// relaxedRemoteCost replaces remoteCost for a relaxed call, which has the
	// time to wait for a target in its own data centre.
	relaxedRemoteCost = 2.0
	// tieTolerance is the relative difference of expected times up to which
	// targets count as equally fast.
	tieTolerance = 0.05
)

var (
	_ Policy = Fastest{}

	// paceDecay is the weight of a reported pace, by its age in steps of
	// paceDecayStep.
	paceDecay = func() (list [paceDecaySteps]float64) {
		for i := range list {
			list[i] = math.Exp(-float64(i) * float64(paceDecayStep) / float64(paceTimeConstant))
		}
		return list
	}()
)

func (Fastest) isPolicy() {}

// fastest implements Fastest. Targets that are out of use are used only when all
// candidates are, and never while mostInUse. It reports false when there is no candidate.
func (t *Table) fastest(q Query, at time.Duration, rng *rand.Rand) (Pick, bool) {
	candidates, allOutOfUse := 0, true
	counted, mostInUse := false, false
	minCost := math.Inf(1)
	t.ties, t.costs = t.ties[:0], t.costs[:0]
	for _, i := range t.readyRows {
		s := &t.states[i]
		if s.addressTaken || s.inFlight+s.otherInFlight(at) >= t.callLimit(i, q) || !t.usable(i, &q, at) {
			continue
		}
		outOfUse := s.outOfUse(at)
		if outOfUse && !counted {
			counted, mostInUse = true, t.mostInUse(q, at)
		}
		if outOfUse && mostInUse {
			continue
		}
		candidates++
		if outOfUse && !allOutOfUse {
			continue
		}
		if !outOfUse && allOutOfUse {
			allOutOfUse, minCost = false, math.Inf(1)
			t.ties, t.costs = t.ties[:0], t.costs[:0]
		}
		pace := t.expectedPace(s, at)
		if pace > minCost*(1+tieTolerance) {
			continue // The other factors are at least 1.
		}
		cost := t.cost(i, &q, pace, at)
		t.ties, t.costs = append(t.ties, i), append(t.costs, cost)
		minCost = min(minCost, cost)
	}
	tied := t.ties[:0]
	for k, i := range t.ties {
		if t.costs[k] <= minCost*(1+tieTolerance) {
			tied = append(tied, i)
		}
	}
	if len(tied) == 0 {
		return Pick{}, false
	}
	tied = t.preferWarm(tied, q.Host, at, rng)
	t.ties = tied
	why := WhyFastest
	switch {
	case allOutOfUse:
		why = WhyAllFailing
	case minCost > kneeCost*(normalPace+t.excessPace):
		why = WhyCrowded
	}
	return t.pick(t.drawTie(tied[0], rng), candidates, why, at)
}

// cost returns the expected time of the call of q at the target of row i, whose expected
// pace is given, in percent of the usual time. It is at least pace.
func (t *Table) cost(i int, q *Query, pace float64, at time.Duration) float64 {
	s, cost := &t.states[i], pace
	slots := max(t.callLimit(i, *q), 1)
	utilisation := float64(s.inFlight+s.otherInFlight(at)+1) / float64(slots)
	cost *= 1 + loadCost*utilisation
	if utilisation > kneeUtilisation && slots > 1 {
		cost *= kneeCost
	}
	if t.isCold(i, at) {
		cost *= coldStartCost
	}
	if s.latencySamples >= minStragglerSamples && s.meanLatency > stragglerRatio*t.meanLatency {
		cost *= max(s.meanLatency/t.meanLatency*(1-float64(at-s.lastAnswerAt)/float64(stragglerRecovery)), 1)
	}
	cost *= 1 + failureCost*s.expectedFailureRate(at)
	if s.probesLost(at) > 0 {
		cost *= lostProbeCost
	}
	if s.unhealthy {
		cost *= unhealthyCost
	}
	if s.suspect || t.stalled(s, at) {
		cost *= suspectCost
	}
	if q.DataCentre != "" && t.dataCentres[i] != q.DataCentre {
		if q.Relaxed {
			cost *= relaxedRemoteCost
		} else {
			cost *= remoteCost
		}
	}
	return cost
}

// expectedPace returns the expected pace of a target in percent. It is the pace
// last reported while the report is new, and approaches the mean of all targets
// as the report ages. An Ornstein-Uhlenbeck process and a process with two states
// have this mean, given their last observation. Source: S. Karlin and H. Taylor,
// "A Second Course in Stochastic Processes", 1981, chapter 15.
func (t *Table) expectedPace(s *targetState, at time.Duration) float64 {
	if !s.reported || s.load.Pace <= 0 {
		return normalPace + t.excessPace
	}
	weight := 0.0
	if step := (at - s.reportAt) / paceDecayStep; step < paceDecaySteps {
		weight = paceDecay[max(step, 0)]
	}
	return normalPace + t.excessPace + (float64(s.load.Pace)-normalPace-t.excessPace)*weight
}

// otherInFlight returns the number of calls that other entry hosts have in flight
// to the target by its last load report, and 0 when that report is older than
// maxOtherCallsAge.
func (s *targetState) otherInFlight(at time.Duration) int {
	if s.otherCalls <= 0 || at-s.otherCallsAt > maxOtherCallsAge {
		return 0
	}
	return s.otherCalls
}

// ApplyProbe updates the state of the target called name from the result of a
// probe. It does nothing when the table does not have the target.
func (t *Table) ApplyProbe(name string, p Probe, now time.Time) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	at := t.offset(now)
	s := &t.states[i]
	switch p.Result {
	case ProbeAddressTaken:
		s.addressTaken = true
	case ProbeLost:
		s.lostProbes++
		s.probeLostAt = at
		s.resetOpen = false
	case ProbeUnhealthy, ProbeHealthy:
		s.unhealthy = p.Result == ProbeUnhealthy
		s.lostProbes, s.probed, s.probedAt = 0, true, at
	}
	if p.Reported {
		t.applyLoadReport(s, p.Load, at)
	}
	if p.WarmFor > 0 {
		s.cold.until = max(s.cold.until, at+p.WarmFor)
	}
	if p.Limit.Named {
		s.limit.report(p.Limit, at, at)
	}
	if p.Leaving {
		t.withdrawRow(i)
	}
}
