package pace

import (
	"math"
	"time"
)

// Throttle lowers the rate of work that a host can do without while the host itself is
// late, and raises it again when it is not. A probe that a busy host sends costs the
// time that its decisions need, and tells little: its answer is read too late. Times must
// not decrease from call to call. The zero value is ready for use; it is not safe for
// concurrent use.
type Throttle struct {
	level    float64 // The number of steps by which the rate is lowered.
	changed  time.Time
	lateTime time.Duration // Moving average of the lateness.
}

const (
	// Above lateLimit a host counts as late, below onTimeLimit as on time. Timers of
	// Linux are late by a millisecond or less on an idle host.
	lateLimit   = 20 * time.Millisecond
	onTimeLimit = 5 * time.Millisecond
	// lateWeight is the weight of one sample of lateness.
	lateWeight = 0.1
	// The rate is lowered by throttleStep every lowerPeriod at most and raised by as much
	// every raisePeriod, down to throttleStep to the power of maxThrottleLevel, about a
	// twentieth.
	throttleStep     = 0.7
	maxThrottleLevel = 8
	lowerPeriod      = 100 * time.Millisecond
	raisePeriod      = 400 * time.Millisecond
)

// Observe records that a piece of work began late by the given time at now.
func (t *Throttle) Observe(late time.Duration, now time.Time) {
	t.lateTime += time.Duration(float64(max(late, 0)-t.lateTime) * lateWeight)
	switch since := now.Sub(t.changed); {
	case t.lateTime > lateLimit && since >= lowerPeriod:
		t.level, t.changed = min(t.level+1, maxThrottleLevel), now
	case t.lateTime < onTimeLimit && since >= raisePeriod && t.level > 0:
		t.level, t.changed = t.level-1, now
	}
}

// Factor returns the factor for the rate, above 0 and at most 1.
func (t *Throttle) Factor() float64 {
	return math.Pow(throttleStep, t.level)
}

// Late reports whether the host is late, so that what it misses is rather its own fault.
func (t *Throttle) Late() bool {
	return t.lateTime > lateLimit
}
