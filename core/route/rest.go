package route

import (
	"math"
	"slices"
	"time"
)

// hostRest is the rest that a target has asked a host for.
type hostRest struct {
	host  uint64
	until time.Duration
}

// Rest records that the target called name wants no calls from a host for the time d from
// now. An earlier rest that ends later stays in force. It does nothing when d is 0 or the
// table does not have the target.
func (t *Table) Rest(name string, host uint64, d time.Duration, now time.Time) {
	i, ok := t.index[name]
	if !ok || d <= 0 {
		return
	}
	s, at := &t.states[i], t.offset(now)
	until := at + d
	s.rests = slices.DeleteFunc(s.rests, func(r hostRest) bool {
		if r.host == host {
			until = max(until, r.until)
		}
		return r.host == host || r.until <= at
	})
	s.rests = append(s.rests, hostRest{host: host, until: until})
	t.restsUntil = max(t.restsUntil, until)
}

// restLeft returns the time for which the target wants no calls from a host.
func (s *targetState) restLeft(host uint64, at time.Duration) time.Duration {
	for _, r := range s.rests {
		if r.host == host {
			return max(r.until-at, 0)
		}
	}
	return 0
}

// HasRests reports whether a target may want no calls from some host at now.
func (t *Table) HasRests(now time.Time) bool {
	return t.restsUntil > t.offset(now)
}

// RestWait returns the time until some ready target takes calls from a host again, and 0
// when one does now.
func (t *Table) RestWait(host uint64, now time.Time) time.Duration {
	at := t.offset(now)
	if t.restsUntil <= at || len(t.readyRows) == 0 {
		return 0
	}
	wait := time.Duration(math.MaxInt64)
	for _, i := range t.readyRows {
		wait = min(wait, t.states[i].restLeft(host, at))
	}
	return wait
}
