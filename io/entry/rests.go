package entry

import (
	"sync"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
)

// restTracker holds the rests that targets have asked this host for. Its zero value is
// empty. It is safe for concurrent use.
type restTracker struct {
	mu    sync.Mutex
	until map[member.Key]time.Time
}

// maxTrackedRests bounds the number of targets in a restTracker before those whose rests
// have ended are removed.
const maxTrackedRests = 1024

// observe records that a target wants no calls for the time rest from now. An earlier rest
// that ends later stays in force.
func (t *restTracker) observe(target member.Key, rest time.Duration, now time.Time) {
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

// left returns the time for which a target wants no calls.
func (t *restTracker) left(target member.Key, now time.Time) time.Duration {
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

// observeRest records and logs the rest that a target asks for in its answer to c.
func (h *Host) observeRest(c *call, target string, f route.Feedback) {
	if f.Rest <= 0 {
		return
	}
	h.rests.observe(member.Key{Service: c.service.doc.Name, Target: target}, f.Rest, time.Now())
	h.metrics.Counter("rests_asked").Add(1)
	if h.sampled() {
		h.log.Info("target asks for rest", "call", c.name, "service", c.service.doc.Name, "target", target, "rest", f.Rest.String())
	}
}

// restLeft returns the time for which the target of an attempt wants no calls from this
// host.
func (h *Host) restLeft(c *call, s engine.Send) time.Duration {
	return h.rests.left(member.Key{Service: c.service.doc.Name, Target: s.Target}, time.Now())
}
