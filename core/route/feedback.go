package route

import (
	"time"

	"cardamomspool/core/wire"
)

type (
	// Ending is how an attempt at a target ended, as far as it tells about the
	// target.
	Ending uint8

	// Feedback is what an attempt showed of its target.
	Feedback struct {
		// Ending is how the attempt ended.
		Ending Ending
		// Load is the report on the answer; it counts when Reported is true.
		Load wire.Load
		// Reported says that the answer carried a valid report.
		Reported bool
		// Drains says that the answer announced that the target drains.
		Drains bool
		// Gone says that another target answered at the address.
		Gone bool
	}
)

// The endings of an attempt.
const (
	// Dropped means that the attempt tells nothing, as when the caller left.
	Dropped Ending = iota
	// Served means that the target answered without a server error.
	Served
	// Shed means that the target said that it did not run the call.
	Shed
	// Failed means that the target answered with a server error or not at
	// all.
	Failed
	// Unreachable means that no connection to the target could be opened.
	Unreachable
)

const (
	// Moving means give these weights to the newest sample.
	meanWeight    = 0.05
	latencyWeight = 0.1
	failingWeight = 0.2

	// failingLimit is the moving share of failures from which a target is
	// left out, and failingAgain what it starts from when it returns.
	failingLimit = 0.5
	failingAgain = 0.45
	failingNone  = 0.1

	// A target left out for failing stays out for firstOut, twice as long
	// each further time, up to longestOut.
	firstOut   = 500 * time.Millisecond
	longestOut = 16 * time.Second
	returnRamp = 2 * time.Second

	// A target that shed is left alone for pauseMeans mean answer times, from
	// leastPause to longestPause.
	pauseMeans   = 0.5
	leastPause   = 2 * time.Millisecond
	longestPause = 50 * time.Millisecond

	// A report that says full counts for fullMeans mean answer times, times 1
	// plus the calls queued per slot, up to longestFull.
	fullMeans   = 0.5
	leastFull   = 2 * time.Millisecond
	longestFull = 250 * time.Millisecond

	// A straggler answers stragglerRatio times slower than the mean over
	// stragglerSamples answers or more; its share comes back over
	// stragglerReturn without answers.
	stragglerRatio   = 3
	stragglerSamples = 4
	stragglerReturn  = 4 * time.Second

	leastShare = 0.02
)

// End takes a call that began elapsed ago off the target called name and
// learns from how it ended. Targets that have gone in the meantime are passed
// over.
func (t *Table) End(name string, f Feedback, elapsed time.Duration, now time.Time) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	at := t.offset(now)
	s := &t.state[i]
	s.inFlight = max(s.inFlight-1, 0)
	if f.Ending == Dropped {
		return
	}
	s.progress = at
	switch f.Ending {
	case Served:
		t.served(s, elapsed, at)
	case Shed:
		t.shed(s, at)
	case Failed:
		t.failed(s, failingWeight, at)
	case Unreachable:
		t.failed(s, 1, at)
	}
	if f.Reported {
		t.report(s, f.Load, at)
	}
	s.gone = s.gone || f.Gone
	if f.Drains && !s.drains {
		s.drains = true
		t.leave(i)
	}
}

func (t *Table) served(s *state, elapsed, at time.Duration) {
	t.mean = moved(t.mean, float64(elapsed), meanWeight)
	s.latency = moved(s.latency, float64(elapsed), latencyWeight)
	s.samples++
	s.latestAt = at
	s.failing -= s.failing * failingWeight
	if s.failing < failingNone {
		s.strikes = 0
	}
}

// shed leaves the target alone until one of its slots has probably come free.
func (t *Table) shed(s *state, at time.Duration) {
	pause := time.Duration(pauseMeans * t.mean)
	s.shedUntil = at + min(max(pause, leastPause), longestPause)
}

// failed counts a failure of the given weight and leaves the target out when
// its failures have become too many.
func (t *Table) failed(s *state, weight float64, at time.Duration) {
	s.failing += (1 - s.failing) * weight
	if s.failing < failingLimit || s.failedUntil > at {
		return
	}
	out := min(firstOut<<min(s.strikes, 16), longestOut)
	s.strikes++
	s.failing = failingAgain
	s.failedUntil = at + out
	s.rampFrom, s.rampEnd = s.failedUntil, s.failedUntil+returnRamp
}

func (t *Table) report(s *state, l wire.Load, at time.Duration) {
	s.load, s.reported, s.reportAt = l, true, at
	if l.Pace > 0 {
		t.excess += (max(float64(l.Pace)-usualPace, 0) - t.excess) * paceWeight
	}
	s.others, s.othersAt = l.Running+l.Queued-s.inFlight, at
	if l.Free() > 0 {
		s.fullUntil = 0
		return
	}
	excess := 1 + float64(l.Running+l.Queued-l.Slots)/float64(max(l.Slots, 1))
	span := time.Duration(fullMeans * t.mean * excess)
	s.fullUntil = at + min(max(span, leastFull), longestFull)
}

// leave takes row i out of the targets that take new calls.
func (t *Table) leave(i int) {
	for k, row := range t.readyRows {
		if row == i {
			t.readyRows = append(t.readyRows[:k], t.readyRows[k+1:]...)
			return
		}
	}
}

// share returns the part of its calls that a target takes, from leastShare to
// 1: less while it is new or back from failing, or when it is a straggler.
func (t *Table) share(s *state, at time.Duration) float64 {
	share := 1.0
	if at < s.rampEnd {
		share = float64(at-s.rampFrom) / float64(s.rampEnd-s.rampFrom)
	}
	if s.samples >= stragglerSamples && s.latency > stragglerRatio*t.mean {
		share = min(share, t.mean/s.latency+float64(at-s.latestAt)/float64(stragglerReturn))
	}
	return max(share, leastShare)
}

func moved(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)*weight
}
