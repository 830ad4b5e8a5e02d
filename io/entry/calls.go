package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
)

// call is one caller's request on its way through this host.
type call struct {
	id      uint64
	name    string
	service *service
	class   spec.Class
	arrived time.Time
	body    *body
	waiter  chan engine.Action
	// feedback is what the last attempt showed of its target.
	feedback route.Feedback
}

var _ http.Handler = (*Host)(nil)

// ServeHTTP takes one call from a caller and gives its final answer.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := h.services.Load().find(r.Host, r.URL.Path)
	if s == nil {
		h.metrics.Count("calls_without_service").Add(1)
		refuse(w, http.StatusNotFound, "no_service", true, 0)
		return
	}
	c := &call{
		id: h.nextCall.Add(1), service: s, class: s.doc.Receive.Classify(r.Method, r.URL.Path),
		arrived: time.Now(), body: newBody(r.Body), waiter: make(chan engine.Action, 1),
	}
	c.name = h.cfg.Host + "-" + strconv.FormatUint(c.id, 36)
	h.metrics.Count("calls").Add(1)
	ctx, cancel := context.WithDeadline(r.Context(), c.arrived.Add(c.class.Deadline))
	defer cancel()
	h.system.Root.Send(s.pid, &arrival{
		event:  engine.Arrive{Call: c.id, Class: c.class, Deadline: c.arrived.Add(c.class.Deadline)},
		waiter: c.waiter,
	})
	h.carry(ctx, w, r, c)
}

// carry follows the engine's decisions until the call has its final answer.
func (h *Host) carry(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	for {
		select {
		case <-ctx.Done():
			h.system.Root.Send(c.service.pid, engine.Cancel{Call: c.id})
			h.metrics.Count("calls_given_up").Add(1)
			refuse(w, http.StatusGatewayTimeout, "deadline", !c.body.sent, c.service.doc.Refuse.RetryAfter.Std())
			return
		case action := <-c.waiter:
			if h.carryOut(ctx, w, r, c, action) {
				return
			}
		}
	}
}

// carryOut carries out one decision and reports whether the call has ended.
func (h *Host) carryOut(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, action engine.Action) bool {
	switch action := action.(type) {
	case engine.Send:
		h.logSend(c, action)
		result := h.exchange.attempt(ctx, w, r, c, action)
		h.system.Root.Send(c.service.pid, engine.Finish{
			Call: c.id, Result: result, Replayable: !c.body.started(), Feedback: c.feedback,
		})
		if result == engine.Answered {
			h.metrics.Count("calls_answered").Add(1)
			return true
		}
	case engine.Refuse:
		h.logRefuse(c, action)
		h.metrics.Count("calls_refused").Add(1)
		status := http.StatusServiceUnavailable
		if !action.NotRun {
			status = http.StatusBadGateway
		}
		refuse(w, status, string(action.Reason), action.NotRun, action.RetryAfter)
		return true
	}
	return false
}

// refuse gives a caller its final answer without an answer of a target.
func refuse(w http.ResponseWriter, status int, reason string, notRun bool, retryAfter time.Duration) {
	outcome := wire.OutcomeUnknown
	if notRun {
		outcome = wire.OutcomeNotRun
	}
	w.Header().Set(wire.HeaderOutcome, outcome)
	w.Header().Set(wire.HeaderReason, reason)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(wire.RetryAfterSeconds(retryAfter)))
	}
	http.Error(w, reason, status)
}

func (h *Host) logSend(c *call, s engine.Send) {
	if !h.sampled() {
		return
	}
	h.log.Info("routed", "call", c.name, "service", c.service.doc.Name, "target", s.Target, "attempt", s.Attempt,
		"candidates", s.Candidates, "policy", c.service.doc.Route.Policy, "why", string(s.Why),
		"in_flight", s.InFlight, "report_age_us", s.ReportAge.Microseconds(), "held_us", s.Held.Microseconds())
}

func (h *Host) logRefuse(c *call, r engine.Refuse) {
	if !h.sampled() {
		return
	}
	h.log.Info("refused", "call", c.name, "service", c.service.doc.Name, "reason", string(r.Reason),
		"not_run", r.NotRun, "retry_after", r.RetryAfter.String())
}

func (h *Host) sampled() bool {
	n := uint64(h.cfg.DecisionLogOneIn)
	return n > 0 && h.logged.Add(1)%n == 0
}
