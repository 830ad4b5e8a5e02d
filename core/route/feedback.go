package route

import (
	"math"
	"slices"
	"time"

	"cardamomspool/core/wire"
)

type (
	// Outcome is what an attempt says about the target's health.
	Outcome uint8

	// Feedback is what an attempt revealed about its target.
	Feedback struct {
		// Outcome is what the attempt says about the target's health.
		Outcome Outcome
		// Load is the load report on the answer; valid when Reported is true.
		Load wire.Load
		// Reported says that the answer carried a valid load report.
		Reported bool
		// Answered says that the target answered, so that Limit holds.
		Answered bool
		// Limit is the limit that the answer named.
		Limit wire.Limit
		// Draining says that the answer was marked as from a draining target.
		Draining bool
		// Rest is the time for which the target wants no calls from the host that made
		// the attempt, or was to make it; 0 for none.
		Rest time.Duration
		// AddressTaken says that another target answered at the address.
		AddressTaken bool
		// Reset says that the target has reset the connection before a byte of the
		// answer. Outcome is Failed or Unreachable then.
		Reset bool
	}
)

// The outcomes of an attempt.
const (
	// Inconclusive means that the attempt says nothing about the target, as when
	// the caller disconnected.
	Inconclusive Outcome = iota
	// Served means that the target answered without a server error.
	Served
	// Shed means that the target rejected the call without running it.
	Shed
	// Failed means that the target answered with a server error or not at
	// all.
	Failed
	// Unreachable means that no connection to the target could be opened.
	Unreachable
	// Full means that the target has reset the connection because it is full, which is no
	// failure. Only hosts that decide draw this conclusion, see Table.ObserveReset; it is
	// not sent.
	Full
)

const (
	// The weights of the newest sample in the exponentially weighted moving
	// averages of the latency of all targets, of the latency of one target and
	// of the failure rate of one target.
	meanLatencyWeight   = 0.05
	targetLatencyWeight = 0.1
	failureWeight       = 0.2

	// ejectionFailureRate is the failure rate from which a target is ejected,
	// and returnFailureRate the failure rate that it is then given. Below
	// clearedFailureRate its earlier ejections no longer count.
	ejectionFailureRate = 0.5
	returnFailureRate   = 0.45
	clearedFailureRate  = 0.1

	// failureMemory is the time in which the weight of past failures decays to
	// 1/e, since the calls that a target no longer gets cannot show that it
	// serves again. A target with a few calls a second forgets a failure as fast
	// by its answers.
	failureMemory = 2 * time.Second

	// The first ejection of a target lasts for minEjection and each further one
	// twice as long, up to maxEjection. The traffic share of a returning target
	// grows over ejectionRamp.
	minEjection  = 500 * time.Millisecond
	maxEjection  = 16 * time.Second
	ejectionRamp = 2 * time.Second

	// A target that has shed a call is paused for shedPauseFactor times the mean
	// latency, but at least minShedPause and at most maxShedPause.
	shedPauseFactor = 0.5
	minShedPause    = 2 * time.Millisecond
	maxShedPause    = 50 * time.Millisecond

	// A target that reports that it is full counts as full for fullTimeFactor *
	// mean latency * (1 + excess/slots), where excess is the number of its running
	// and queued calls beyond its slots, but at least for minFullTime and at most
	// for maxFullTime.
	fullTimeFactor = 0.5
	minFullTime    = 2 * time.Millisecond
	maxFullTime    = 250 * time.Millisecond

	// A straggler has a latency of more than stragglerRatio times the mean, over
	// minStragglerSamples answers or more. Its traffic share recovers over
	// stragglerRecovery without answers.
	stragglerRatio      = 3
	minStragglerSamples = 4
	stragglerRecovery   = 4 * time.Second

	// minShare is the lower bound of a target's traffic share.
	minShare = 0.02
)

// Finish removes a call that began elapsed ago from the calls in flight to the
// target called name, and updates the target's state from f. It does nothing when
// the table no longer has the target.
func (t *Table) Finish(name string, f Feedback, elapsed time.Duration, now time.Time) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	at := t.offset(now)
	s := &t.states[i]
	s.inFlight = max(s.inFlight-1, 0)
	if f.Answered {
		s.limit.report(f.Limit, at-elapsed, at)
	}
	if f.Outcome == Inconclusive {
		return
	}
	s.lastProgressAt = at
	switch f.Outcome {
	case Served:
		t.recordSuccess(s, elapsed, at)
	case Shed:
		t.recordShed(s, at)
	case Failed:
		t.recordFailure(s, failureWeight, at)
	case Unreachable:
		t.recordFailure(s, s.unreachableWeight(at), at)
		s.resetOpen = s.resetOpen && f.Reset
	case Full:
		t.resets.taken++
	}
	if f.Answered || f.Outcome == Served || f.Outcome == Shed {
		s.resetsInRow = 0
		t.showReset(s, at-elapsed, at, restartTime)
	}
	if f.Reported {
		t.applyLoadReport(s, f.Load, at)
	}
	if f.AddressTaken {
		s.cold.takeBack() // Another target got the call.
	}
	s.addressTaken = s.addressTaken || f.AddressTaken
	if f.Draining {
		t.withdrawRow(i)
	}
}

// Withdraw ends the use of one incarnation of the target called name for new calls: it
// is draining or has left. It does nothing when the table no longer has it.
func (t *Table) Withdraw(name string, incarnation uint64) {
	if i, ok := t.index[name]; ok && t.incarnations[i] == incarnation {
		t.withdrawRow(i)
	}
}

// withdrawRow marks the target of row i as draining.
func (t *Table) withdrawRow(i int) {
	if !t.states[i].draining {
		t.states[i].draining = true
		t.removeReadyRow(i)
	}
}

// recordSuccess updates the mean latencies and lowers the target's failure rate after
// an answer that took elapsed.
func (t *Table) recordSuccess(s *targetState, elapsed, at time.Duration) {
	t.meanLatency = movingAverage(t.meanLatency, float64(elapsed), meanLatencyWeight)
	s.meanLatency = movingAverage(s.meanLatency, float64(elapsed), targetLatencyWeight)
	s.latencySamples++
	s.lastAnswerAt = at
	s.failureRate = s.expectedFailureRate(at) * (1 - failureWeight)
	s.ratedAt, s.lostProbes = at, 0
	if s.failureRate < clearedFailureRate {
		s.ejections = 0
	}
}

// recordShed pauses the target until one of its slots has probably been freed.
func (t *Table) recordShed(s *targetState, at time.Duration) {
	pause := time.Duration(shedPauseFactor * t.meanLatency)
	s.shedUntil = at + min(max(pause, minShedPause), maxShedPause)
}

// recordFailure adds a failure of the given weight to the target's failure rate
// and ejects the target when the rate reaches ejectionFailureRate. The rate before
// counts in full, however old: a target that fails whenever it is tried again is
// ejected for longer each time.
func (t *Table) recordFailure(s *targetState, weight float64, at time.Duration) {
	s.failureRate += (1 - s.failureRate) * weight
	s.ratedAt = at
	if s.failureRate < ejectionFailureRate || s.ejectedUntil > at {
		return
	}
	ejection := min(minEjection<<min(s.ejections, 16), maxEjection)
	s.ejections++
	s.failureRate = returnFailureRate
	s.ejectedUntil = at + ejection
	s.ratedAt = s.ejectedUntil
	s.rampStart, s.rampEnd = s.ejectedUntil, s.ejectedUntil+ejectionRamp
}

// unreachableWeight returns the weight of an attempt that could not reach the target: 1, or
// that of any failure if a probe was answered lately, as then it is rather the link of the
// host that made the attempt that is lost.
func (s *targetState) unreachableWeight(at time.Duration) float64 {
	if s.probed && at-s.probedAt <= probeEvidence {
		return failureWeight
	}
	return 1
}

// expectedFailureRate returns the failure rate to expect of the next attempt: that of
// the last attempts, which decays with their age.
func (s *targetState) expectedFailureRate(at time.Duration) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp(-float64(max(at-s.ratedAt, 0))/float64(failureMemory))
}

// probesLost returns the number of probes that were lost in a row, and 0 when the last
// of them is older than lostProbeMemory.
func (s *targetState) probesLost(at time.Duration) int {
	if at-s.probeLostAt > lostProbeMemory {
		return 0
	}
	return s.lostProbes
}

// outOfUse reports whether a target is used only when no others are left.
func (s *targetState) outOfUse(at time.Duration) bool {
	return s.ejectedUntil > at || s.probesLost(at) >= maxLostProbes
}

// mostInUse reports whether more than half of the ready targets that q does not exclude
// are in use. The others then get no calls, even if all those in use are full: a call
// that waits for a slot is better off than one that is sent to a target known to fail.
// If most targets seem to fail, it is rather what this host knows of them that is wrong.
func (t *Table) mostInUse(q Query, at time.Duration) bool {
	inUse, n := 0, 0
	for _, i := range t.readyRows {
		if len(q.Exclude) > 0 && slices.Contains(q.Exclude, t.names[i]) {
			continue
		}
		n++
		if !t.states[i].outOfUse(at) {
			inUse++
		}
	}
	return 2*inUse > n
}

// applyLoadReport updates the state of a target, and the mean pace, from a load
// report that was received at the given time.
func (t *Table) applyLoadReport(s *targetState, l wire.Load, at time.Duration) {
	s.load, s.reported, s.reportAt = l, true, at
	if l.Pace > 0 {
		t.excessPace += (max(float64(l.Pace)-normalPace, 0) - t.excessPace) * meanPaceWeight
	}
	s.otherCalls, s.otherCallsAt = l.Running+l.Queued-s.inFlight, at
	s.abandoned = 0
	if l.FreeSlots() > 0 {
		s.fullUntil = 0
		return
	}
	t.showReset(s, at, at, fillTime)
	overload := 1 + float64(l.Running+l.Queued-l.Slots)/float64(max(l.Slots, 1))
	fullTime := time.Duration(fullTimeFactor * t.meanLatency * overload)
	s.fullUntil = at + min(max(fullTime, minFullTime), maxFullTime)
}

// removeReadyRow removes i from readyRows.
func (t *Table) removeReadyRow(i int) {
	for k, row := range t.readyRows {
		if row == i {
			t.readyRows = append(t.readyRows[:k], t.readyRows[k+1:]...)
			return
		}
	}
}

// trafficShare returns the traffic share of a target, from minShare to 1. It is
// below 1 while the target is new, newly ready or back from an ejection, and while
// it is a straggler.
func (t *Table) trafficShare(s *targetState, at time.Duration) float64 {
	share := 1.0
	if at < s.rampEnd {
		share = float64(at-s.rampStart) / float64(s.rampEnd-s.rampStart)
	}
	if s.latencySamples >= minStragglerSamples && s.meanLatency > stragglerRatio*t.meanLatency {
		share = min(share, t.meanLatency/s.meanLatency+float64(at-s.lastAnswerAt)/float64(stragglerRecovery))
	}
	return max(share, minShare)
}

// movingAverage returns the exponentially weighted moving average after a sample
// of the given weight. An average of 0 stands for no samples so far.
func movingAverage(average, sample, weight float64) float64 {
	if average == 0 {
		return sample
	}
	return average + (sample-average)*weight
}
