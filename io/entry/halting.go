package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"cardamomspool/core/engine"
)

// halting is the part of a stop that calls take notice of.
type halting struct {
	// last is the latest deadline of calls that are still accepted; nil while all are.
	last atomic.Pointer[time.Time]
	// refused ends when calls that are at no target are refused.
	refused context.Context
	refuse  context.CancelFunc
}

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

// checkStop finds out whether the host stops before the call can end.
func (a *arrival) checkStop() *problem {
	deadline := time.Now().Add(a.class.Deadline)
	if a.call != nil {
		deadline = a.call.deadline
	}
	if a.host.halting.admits(deadline) {
		return nil
	}
	return &problem{http.StatusServiceUnavailable, string(reasonStopping), "the host stops before the deadline of the call"}
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
