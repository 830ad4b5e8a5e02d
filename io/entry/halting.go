package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/halt"
)

// halting is the part of a stop that calls take notice of.
type halting struct {
	// end is when calls must have ended, shortly before the stop cuts them off; nil while the
	// host does not stop.
	end atomic.Pointer[time.Time]
	// last is the latest deadline of calls that are still accepted; nil while all are.
	last atomic.Pointer[time.Time]
	// refused ends when calls that are at no target are refused.
	refused context.Context
	refuse  context.CancelFunc
}

// callTimes holds the times of answered calls by service. It is safe for concurrent use.
type callTimes struct {
	mu       sync.Mutex
	services map[string]*halt.Times
}

// maxTimedServices bounds the services whose times are kept; those of former services are
// dropped with all others when there are more.
const maxTimedServices = 1024

// reasonStopping is why a stopping host refuses a call that it cannot complete.
const reasonStopping engine.Reason = "stopping"

func newHalting() *halting {
	s := new(halting)
	s.refused, s.refuse = context.WithCancel(context.Background())
	return s
}

// admits reports whether a call with the given deadline can end before the stop cuts it off.
func (s *halting) admits(deadline time.Time) bool {
	last := s.last.Load()
	return last == nil || !deadline.After(*last)
}

// outlasts reports whether a call that will probably take the given time from now on outlasts
// the stop.
func (s *halting) outlasts(expected time.Duration, now time.Time) bool {
	end := s.end.Load()
	return end != nil && now.Add(expected).After(*end)
}

// observe records the time of a call that was answered at now.
func (t *callTimes) observe(c *call, now time.Time) {
	whole := now.Sub(c.arrived)
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.services[c.service.doc.Name]
	if times == nil {
		if t.services == nil || len(t.services) >= maxTimedServices {
			t.services = make(map[string]*halt.Times)
		}
		times = new(halt.Times)
		t.services[c.service.doc.Name] = times
	}
	times.Observe(c.class.Idempotent, whole, whole-c.timing.spent[phaseBody])
}

// expect returns the time that a call of a service will probably take from now on. It reports
// false if too little is known.
func (t *callTimes) expect(service string, c halt.Call) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.services[service]
	if times == nil {
		return 0, false
	}
	return times.Expect(c)
}

// checkStop finds out whether the host stops before the call can end: after the drain, before
// its deadline, and during the drain, before such calls usually end. Another host can serve the
// call whole, and its caller knows that it has not run.
func (a *arrival) checkStop() *problem {
	now := time.Now()
	deadline := now.Add(a.class.Deadline)
	if a.call != nil {
		deadline = a.call.deadline
	}
	if !a.host.halting.admits(deadline) {
		return &problem{http.StatusServiceUnavailable, string(reasonStopping), "the host stops before the deadline of the call"}
	}
	if a.host.halting.end.Load() == nil {
		return nil
	}
	expected, ok := a.host.callTimes.expect(a.service.doc.Name, halt.Call{Idempotent: a.class.Idempotent, BodyRead: a.call != nil})
	if ok && a.host.halting.outlasts(expected, now) {
		return &problem{http.StatusServiceUnavailable, string(reasonStopping), "the host stops before such calls usually end"}
	}
	return nil
}

// refuseStopping refuses a call that the stop would cut off.
func (a *arrival) refuseStopping(p *problem) {
	h, name := a.host, ""
	if a.call != nil {
		name = a.call.name
	} else {
		name = h.callName(a.info, h.nextCall.Add(1))
		abandonBody(a.w, a.r, a.r.ContentLength == 0)
	}
	h.metrics.Counter("calls_refused_by_stop").Add(1)
	if h.sampled() {
		h.log.Info("refused", "call", name, "service", a.service.doc.Name, "reason", p.reason, "attempted", false, "not_run", true,
			"retry_after", localRetryAfter.String())
	}
	a.w.Header().Set("Connection", "close")
	h.writeRefusal(a.w, p.status, p.reason, true, localRetryAfter)
}

// refuseHeld refuses a call that is at no target, shortly before the stop cuts calls off.
func (h *Host) refuseHeld(ctx context.Context, w responseWriter, r *http.Request, c *call) {
	h.cancelCall(c, false)
	h.metrics.Counter("calls_refused_by_stop").Add(1)
	w.Header().Set("Connection", "close")
	h.executeDecision(ctx, w, r, c, engine.Refuse{Call: c.id, Reason: reasonStopping, NotRun: true, RetryAfter: localRetryAfter})
}
