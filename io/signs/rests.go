package signs

import (
	"sync"
	"time"

	"cardamomspool/core/member"
)

// Rests holds the rests that targets have asked this host for. Its zero value is
// empty. It is safe for concurrent use.
type Rests struct {
	mu    sync.Mutex
	until map[member.Key]time.Time
}

// maxTrackedRests bounds the number of targets in Rests before those whose rests
// have ended are removed.
const maxTrackedRests = 1024

// ObserveRest records that a target wants no calls for the time rest from now. An earlier rest
// that ends later stays in force.
func (t *Rests) ObserveRest(target member.Key, rest time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.until == nil {
		t.until = make(map[member.Key]time.Time)
	}
	if len(t.until) >= maxTrackedRests {
		for k, until := range t.until {
			if !until.After(now) {
				delete(t.until, k)
			}
		}
	}
	if until := now.Add(rest); until.After(t.until[target]) {
		t.until[target] = until
	}
}

// RestLeft returns the time for which a target wants no calls.
func (t *Rests) RestLeft(target member.Key, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.until[target]
	if !ok {
		return 0
	}
	if !until.After(now) {
		delete(t.until, target)
		return 0
	}
	return until.Sub(now)
}
