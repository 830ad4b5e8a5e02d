package route

import (
	"math"
	"time"

	"cardamomspool/core/wire"
)

// rateLimit is the limit that a target has named for the rate of its calls, and a token
// bucket that keeps this host's calls within its share. Source: J. Turner, "New
// Directions in Communications (or Which Way to the Information Age?)", IEEE
// Communications Magazine 24(10), 1986.
type rateLimit struct {
	limit wire.Limit
	// namedAt is when an answer or probe last named the limit.
	namedAt time.Duration
	// tokens is the number of calls that may be sent at filledAt.
	tokens   float64
	filledAt time.Duration
}

const (
	// limitBurst is the time in which a target's share of calls may accumulate, in
	// addition to one call.
	limitBurst = 100 * time.Millisecond
	// minLimit replaces lower limits, in calls a second: without calls, a target could
	// not show that it no longer names a limit.
	minLimit = 0.25
	// limitMemory is how long a limit holds after it was last named.
	limitMemory = time.Minute
	// MaxLimitWait is the estimated wait for targets that get no calls from this host
	// because of their limits.
	MaxLimitWait = time.Minute
)

// SetLimitShare sets the share of a target's named limit that this host may use, from 0
// to 1; the zero value of Table uses none.
func (t *Table) SetLimitShare(share float64) {
	t.limitShare = share
}

// ReportLimit records what the target called name said about its limit in an answer to
// a call that began elapsed ago. An answer without a limit ends the limit unless the
// call began before the limit was last named. It does nothing when the table does not
// have the target.
func (t *Table) ReportLimit(name string, l wire.Limit, elapsed time.Duration, now time.Time) {
	if i, ok := t.index[name]; ok {
		t.states[i].limit.report(l, t.offset(now)-elapsed, t.offset(now))
	}
}

// report implements ReportLimit for one target. The call began at begin.
func (r *rateLimit) report(l wire.Limit, begin, at time.Duration) {
	switch {
	case l.Named && !r.limit.Named:
		*r = rateLimit{limit: l, namedAt: at, filledAt: at}
	case l.Named:
		r.limit, r.namedAt = l, at
	case begin > r.namedAt:
		*r = rateLimit{}
	}
}

// holds reports whether the limit is in force at the given time.
func (r *rateLimit) holds(at time.Duration) bool {
	return r.limit.Named && at-r.namedAt <= limitMemory
}

// rate returns the calls a second that a host with the given share of the limit may
// send.
func (r *rateLimit) rate(share float64) float64 {
	return max(r.limit.Rate, minLimit) * share
}

// available returns the number of calls that a host with the given share of the limit
// may send now.
func (r *rateLimit) available(share float64, at time.Duration) float64 {
	rate := r.rate(share)
	if rate == 0 {
		return 0
	}
	return min(r.tokens+rate*(at-r.filledAt).Seconds(), 1+rate*limitBurst.Seconds())
}

// take removes one call from those that may be sent.
func (r *rateLimit) take(share float64, at time.Duration) {
	if r.holds(at) {
		r.tokens, r.filledAt = r.available(share, at)-1, at
	}
}

// limitReached reports whether the limit of a target leaves no call for this host now.
func (t *Table) limitReached(s *targetState, at time.Duration) bool {
	return s.limit.holds(at) && s.limit.available(t.limitShare, at) < 1
}

// LimitWait estimates how long a call waits behind ahead others for the limits of the
// targets, at most MaxLimitWait, and returns 0 when a ready target has named none.
func (t *Table) LimitWait(ahead int, now time.Time) time.Duration {
	at, rate := t.offset(now), 0.0
	for _, i := range t.readyRows {
		s := &t.states[i]
		if !s.limit.holds(at) {
			return 0
		}
		rate += s.limit.rate(t.limitShare)
	}
	if len(t.readyRows) == 0 {
		return 0
	}
	return time.Duration(math.Min(float64(ahead+1)/rate, MaxLimitWait.Seconds()) * float64(time.Second))
}
