package admit

import (
	"math"
	"time"
)

// demand tells how many of the arriving calls of an account may be new ones. Callers whose
// calls are refused may make them again at once, any number of times, so arrivals say how much
// an account asks for only while none of its calls has been refused. The zero value is ready
// for use.
type demand struct {
	// arrivals is the number of calls in seconds, both of which lose weight exponentially,
	// while no call had been refused lately.
	arrivals, seconds float64
	seenAt, refusedAt time.Time
	// earnable is the number of calls that may be taken for new ones now.
	earnable float64
}

const (
	// demandMemory is the time in which an arrival loses all but 1/e of its weight. An
	// account whose calls come faster than it is served has them refused about that soon.
	demandMemory = 100 * time.Millisecond
	// repeatMemory is how long after a refusal arrivals may be repeats of refused calls. It
	// is the longest time for which most callers wait for an answer.
	repeatMemory = 2 * time.Second
	// earnableTime is the time whose calls may be taken for new ones at once, as when the
	// calls of an account come in groups.
	earnableTime = time.Second
)

// arrive counts a call that arrives at now and reports whether it may be taken for a new
// one: always while no call has been refused lately, and else at the rate from before, or at
// fair calls a second if that is more. An account that asks for its fair share or less thus
// has all its calls taken for new ones.
func (d *demand) arrive(fair float64, now time.Time) bool {
	var elapsed time.Duration
	if !d.seenAt.IsZero() {
		elapsed = now.Sub(d.seenAt)
	}
	d.seenAt = now
	unrefused := d.refusedAt.IsZero() || now.Sub(d.refusedAt) >= repeatMemory
	if unrefused {
		left := math.Exp(-float64(elapsed) / float64(demandMemory))
		d.seconds = d.seconds*left + demandMemory.Seconds()*(1-left)
		d.arrivals = d.arrivals*left + 1
	}
	rate := fair
	if d.seconds > 0 {
		rate = max(rate, d.arrivals/d.seconds)
	}
	d.earnable = min(d.earnable+rate*elapsed.Seconds(), max(rate*earnableTime.Seconds(), 1))
	if unrefused {
		return true
	}
	if d.earnable < 1 {
		return false
	}
	d.earnable--
	return true
}

// Arrive counts a call of the flow that arrives at now, and reports whether it may be a new
// one and not the repeat of a refused one. fair is the number of calls a second that would be
// sent for each account if all got the same.
func (flow *Flow) Arrive(fair float64, now time.Time) bool {
	return flow.demand.arrive(fair, now)
}

// Refused records that a call of the flow was refused at now.
func (flow *Flow) Refused(now time.Time) {
	flow.demand.refusedAt = now
}

// FairRate returns the number of calls a second that would be sent for each account if all
// got the same, by Little's law for the slots in use.
func (f *Fair) FairRate() float64 {
	return float64(f.busy.InFlight) / max(f.busy.CallTime.Seconds(), minCallTime) / float64(max(len(f.flows), 1))
}
