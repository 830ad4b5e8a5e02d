package engine

import "time"

type (
	// repeats tells the repeats of calls from new ones. An entry host takes the time that a
	// caller has spent on earlier attempts off the aim, and the deadline is that much closer
	// too. So the time between the two stays the same, and a repeat has a shorter aim than
	// new calls for which that time is the same. Use newRepeats.
	repeats struct {
		// current and previous hold the longest aim by the time between aim and deadline in steps
		// of reserveStep, of this period and of the one before it. The latter lets the
		// aim of a route become shorter.
		current, previous map[int]time.Duration
		periodEnds        time.Time
	}
)

const (
	// repeatPeriod is the time for which the longest aim of a route holds at least.
	repeatPeriod = 10 * time.Second
	// repeatTolerance is the difference of two aims up to which they count as equal; entry
	// hosts send them in whole milliseconds.
	repeatTolerance = 2 * time.Millisecond
)

func newRepeats(now time.Time) repeats {
	return repeats{current: make(map[int]time.Duration), previous: make(map[int]time.Duration), periodEnds: now.Add(repeatPeriod)}
}

// isRepeat reports whether a call that arrives at now with the given aim, left before its
// deadline, is the repeat of an earlier one. Calls of callers that do not shorten their
// timeout count as new.
func (r *repeats) isRepeat(aim, left time.Duration, now time.Time) bool {
	if aim <= 0 || left <= aim {
		return false
	}
	if !now.Before(r.periodEnds) {
		r.current, r.previous = r.previous, r.current
		clear(r.current)
		r.periodEnds = now.Add(repeatPeriod)
	}
	key := int((left - aim + reserveStep/2) / reserveStep)
	longest := max(r.current[key], r.previous[key])
	r.current[key] = max(r.current[key], aim)
	return aim+repeatTolerance < longest
}

// reserveStep is the resolution of the time between aim and deadline.
const reserveStep = 10 * time.Millisecond
