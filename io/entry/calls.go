package entry

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
	"cardamomspool/io/broker"
	"cardamomspool/io/place"
)

// call is one caller's request on its way through this host.
type call struct {
	host        *Host
	id          uint64
	name        string
	service     *service
	class       spec.Class
	arrived     time.Time
	asked       time.Time // When the present decision was asked for.
	deadline    time.Time
	body        *body
	length      int64 // Of the body in bytes; -1 when it is not known.
	waiter      chan engine.Action
	link        *place.Link      // The control host that decides; nil for this host.
	lost        <-chan struct{}  // Closed when link ends.
	overdue     <-chan time.Time // Fires when link has not decided in time.
	crowded     bool             // A decision may wait behind the bodies of callers.
	attempted   bool             // The call was sent to a target.
	maybeRun    bool             // An attempt may have run the call.
	connections int              // The most connections to one target.
	trusted     []netip.Prefix   // Networks whose forwarding fields are kept.
	feedback    route.Feedback   // What the last attempt showed of its target.
}

const (
	reasonDeadline  = "deadline"
	reasonNoService = "no_service"
	// answerGrace is how long after its deadline a call's last bytes may take
	// to be written to a slow caller.
	answerGrace = 2 * time.Second
)

var _ http.Handler = (*Host)(nil)

// ServeHTTP takes one call from a caller and gives its final answer.
func (h *Host) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := answerWriter{ResponseWriter: rw, control: http.NewResponseController(rw)}
	h.openCalls.Add(1)
	defer h.openCalls.Add(-1)
	if conn := callerOf(r.Context()); conn != nil {
		conn.routed.Store(true)
	}
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if p := screen(r, h.callers.MaxBodyBytes); p != nil {
		leaveBody(w, r, r.ContentLength == 0)
		h.turnDown(w, r, p, true)
		return
	}
	told := h.dialect.Receive(r.Header)
	s, class, p := h.find(r, told)
	if p != nil {
		h.metrics.Count("calls_without_service").Add(1)
		leaveBody(w, r, r.ContentLength == 0)
		h.log.Warn("no service", "call", told.Call, "authority", r.Host, "path", r.URL.EscapedPath(), "status", p.status, "detail", p.detail)
		retry := time.Duration(0)
		if p.status == http.StatusServiceUnavailable {
			retry = planRetry
		}
		h.refuse(w, p.status, p.reason, true, retry)
		return
	}
	c := h.newCall(w, r, s, class, told)
	w.body = c.body
	defer h.ingest.open(c.length)()
	defer func() { h.metrics.Histogram("call_latency", s.doc.Name).Observe(time.Since(c.arrived)) }()
	defer func() { leaveBody(w, r, c.body.whole()) }()
	h.metrics.Count("calls").Add(1)
	if err := h.receive(w, r, c); err != nil {
		h.turnDown(w, r, bodyProblem(err), true)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if h.fleet == nil || !h.fleet.guide(c, time.Now()) {
		h.decide(c)
	}
	h.carry(ctx, w, r, c)
}

// find returns the service that takes a call and how the call is treated, or
// the answer when there is none.
func (h *Host) find(r *http.Request, told wire.Told) (*service, spec.Class, *problem) {
	if h.fleet != nil {
		return h.fleet.find(r, told)
	}
	s := h.services.Load().find(r.Host, r.URL.Path)
	if s == nil {
		return nil, spec.Class{}, &problem{http.StatusNotFound, reasonNoService, "no service"}
	}
	return s, s.doc.Receive.Classify(r.Method, r.URL.Path), nil
}

// decide has this host's own engine decide for a call.
func (h *Host) decide(c *call) {
	waiter := make(chan engine.Action, 1)
	c.asked = time.Now()
	c.link, c.waiter, c.lost, c.overdue = nil, waiter, nil, nil
	h.system.Root.Send(c.service.pid, &broker.Arrival{
		Event:   h.arrival(c),
		Deliver: func(action engine.Action) { waiter <- action },
	})
}

// arrival returns the event of a new call.
func (h *Host) arrival(c *call) engine.Arrive {
	return engine.Arrive{Call: c.id, Class: c.class, Deadline: c.deadline, DataCentre: h.cfg.DataCentre}
}

// cancel tells who decides that a call has ended early.
func (h *Host) cancel(c *call, overdue bool) {
	e := engine.Cancel{Call: c.id, Overdue: overdue}
	if c.link != nil {
		c.link.Cancel(e)
		return
	}
	h.system.Root.Send(c.service.pid, e)
}

// report tells who decides how an attempt ended, and reports false when no
// decision can follow.
func (h *Host) report(c *call, e engine.Finish) bool {
	if c.link == nil {
		h.system.Root.Send(c.service.pid, e)
		return true
	}
	c.expect()
	return c.link.Finish(e)
}

func (h *Host) newCall(w answerWriter, r *http.Request, s *service, class spec.Class, told wire.Told) *call {
	c := &call{
		host: h, id: h.nextCall.Add(1), service: s, class: class,
		arrived: time.Now(), body: newBody(w, r, h.callers.MaxBodyBytes), length: r.ContentLength, name: told.Call,
		connections: s.doc.Targets.Connections / max(len(h.cfg.Entries), 1), trusted: h.callers.TrustedProxies,
	}
	if c.name == "" {
		c.name = h.namePrefix + strconv.FormatUint(c.id, 36)
	}
	c.deadline = c.arrived.Add(c.class.Deadline)
	return c
}

// receive bounds the time that the caller may take and reads the start of its
// body, unless the caller waits to be told to send it.
func (h *Host) receive(w answerWriter, r *http.Request, c *call) error {
	if err := w.control.SetWriteDeadline(c.deadline.Add(answerGrace)); err != nil {
		return err
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ProtoMajor == 1 {
		if err := w.control.EnableFullDuplex(); err != nil {
			return err
		}
	}
	if asksFirst(r) {
		return nil
	}
	if err := w.control.SetReadDeadline(c.deadline); err != nil {
		return err
	}
	if err := c.body.prefetch(r.ContentLength); err != nil {
		return err
	}
	return w.control.SetReadDeadline(time.Time{})
}

// leaveBody lets go of a request body that was not read to its end. The
// library must not wait for the rest, and the caller, which may still be
// sending, must be able to read its answer.
func leaveBody(w answerWriter, r *http.Request, whole bool) {
	conn := callerOf(r.Context())
	if r.ProtoMajor != 1 || conn == nil || whole {
		return
	}
	w.Header().Set("Connection", "close")
	conn.linger.Store(true)
	if err := w.control.SetReadDeadline(time.Now()); err != nil {
		return // The connection has gone.
	}
}

// carry follows the engine's decisions until the call has its final answer.
func (h *Host) carry(ctx context.Context, w answerWriter, r *http.Request, c *call) {
	for {
		select {
		case <-ctx.Done():
			h.giveUp(w, r, c)
			return
		case action := <-c.waiter:
			c.overdue = nil
			if h.carryOut(ctx, w, r, c, action) {
				return
			}
		case <-c.lost:
			if h.leaveGuide(ctx, w, r, c, whyStreamLost) {
				return
			}
		case <-c.overdue:
			if !c.crowded {
				c.link.Miss(time.Now())
			}
			c.link.Cancel(engine.Cancel{Call: c.id})
			if h.leaveGuide(ctx, w, r, c, whyNoDecision) {
				return
			}
		}
	}
}

// leaveGuide has another host decide for a call whose control host has gone,
// and reports whether the call has ended instead, since it was already sent to
// a target.
func (h *Host) leaveGuide(ctx context.Context, w answerWriter, r *http.Request, c *call, why string) bool {
	h.metrics.Count("decisions_lost").Add(1)
	h.log.Warn("control host does not decide", "call", c.name, "service", c.service.doc.Name,
		"control", c.link.Address().String(), "reason", why, "attempted", c.attempted)
	if c.attempted {
		c.lost, c.overdue = nil, nil
		return h.carryOut(ctx, w, r, c, engine.Refuse{Call: c.id, Reason: reasonNoGuide, NotRun: true, RetryAfter: aloneBackoff})
	}
	if why != whyStreamLost || !h.fleet.guide(c, time.Now()) {
		h.decide(c)
	}
	return false
}

// carryOut carries out one decision and reports whether the call has ended.
func (h *Host) carryOut(ctx context.Context, w answerWriter, r *http.Request, c *call, action engine.Action) bool {
	switch action := action.(type) {
	case engine.Send:
		if ctx.Err() != nil {
			h.giveUp(w, r, c)
			return true
		}
		h.logSend(c, action)
		c.attempted = true
		begin := time.Now()
		h.metrics.Histogram("decision_latency", c.service.doc.Name).Observe(begin.Sub(c.asked))
		result := h.exchange.attempt(ctx, w, r, c, action)
		h.metrics.Histogram("attempt_latency", result.String()).Observe(time.Since(begin))
		return h.finish(ctx, w, r, c, result)
	case engine.Refuse:
		h.logRefuse(c, action)
		h.metrics.Count("calls_refused").Add(1)
		notRun := action.NotRun && !c.maybeRun
		status := http.StatusServiceUnavailable
		if !notRun {
			status = http.StatusBadGateway
		}
		h.refuse(w, status, string(action.Reason), notRun, action.RetryAfter)
		return true
	}
	return false
}

// finish reports the end of an attempt to the engine and whether the call has
// ended with it.
func (h *Host) finish(ctx context.Context, w answerWriter, r *http.Request, c *call, result engine.Result) bool {
	c.maybeRun = c.maybeRun || result == engine.Unknown
	if !result.Final() {
		if err := c.body.failed(); err != nil {
			h.cancel(c, false)
			h.turnDown(w, r, bodyProblem(err), !c.maybeRun)
			return true
		}
		if ctx.Err() != nil && !c.stoppedEarly() {
			h.giveUp(w, r, c)
			return true
		}
	}
	replayable := !result.Final() && c.body.replayable()
	followed := h.report(c, engine.Finish{Call: c.id, Result: result, Replayable: replayable, Feedback: c.feedback})
	switch result {
	case engine.Answered:
		h.metrics.Count("calls_answered").Add(1)
		return true
	case engine.Broken:
		h.metrics.Count("calls_cut_short").Add(1)
		abort(r)
	}
	if !followed {
		return h.leaveGuide(ctx, w, r, c, whyStreamLost)
	}
	if !result.Final() && c.stoppedEarly() {
		return h.end(ctx, w, r, c)
	}
	return false
}

// end carries out the last decision about a call that can not be sent again.
// The context of the call has ended with its body.
func (h *Host) end(ctx context.Context, w answerWriter, r *http.Request, c *call) bool {
	for {
		select {
		case action := <-c.waiter:
			if h.carryOut(ctx, w, r, c, action) {
				return true
			}
		case <-c.lost:
			return h.leaveGuide(ctx, w, r, c, whyStreamLost)
		case <-c.overdue:
			return h.leaveGuide(ctx, w, r, c, whyNoDecision)
		}
	}
}

// stoppedEarly reports whether this host stopped reading the caller's body
// before the deadline, because the attempt had ended. The library then takes
// the caller for gone and cancels its context.
func (c *call) stoppedEarly() bool {
	return c.body.interrupted.Load() && time.Now().Before(c.deadline)
}

// callerGone reports whether the caller has left.
func (c *call) callerGone(r *http.Request) bool {
	return r.Context().Err() != nil && !c.body.interrupted.Load()
}

// giveUp ends a call whose deadline has passed or whose caller has gone.
func (h *Host) giveUp(w answerWriter, r *http.Request, c *call) {
	h.cancel(c, !c.callerGone(r))
	reason := reasonDeadline
	if c.callerGone(r) {
		reason = "caller_gone"
		h.metrics.Count("calls_caller_gone").Add(1)
	} else {
		h.metrics.Count("calls_given_up").Add(1)
	}
	if h.sampled() {
		h.log.Info("given up", "call", c.name, "service", c.service.doc.Name, "reason", reason,
			"not_run", !c.maybeRun, "after", time.Since(c.arrived).String())
	}
	h.refuse(w, http.StatusGatewayTimeout, reason, !c.maybeRun, c.service.doc.Refuse.RetryAfter.Std())
}

// turnDown refuses a request that is not fit to be carried.
func (h *Host) turnDown(w answerWriter, r *http.Request, p *problem, notRun bool) {
	h.metrics.Count("requests_turned_down").Add(1)
	h.log.Warn("request refused", "remote", r.RemoteAddr, "method", r.Method, "authority", r.Host, "path", r.URL.EscapedPath(),
		"status", p.status, "reason", p.reason, "detail", p.detail, "not_run", notRun)
	w.Header().Set("Connection", "close")
	status := p.status
	if !notRun && h.dialect.Promises(status) {
		status = http.StatusGatewayTimeout
	}
	h.refuse(w, status, p.reason, notRun, 0)
}

// abort ends a caller's answer so that it can not be taken for whole.
func abort(r *http.Request) {
	if conn := callerOf(r.Context()); conn != nil && r.ProtoMajor == 1 {
		conn.reset()
	}
	panic(http.ErrAbortHandler)
}

// refuse gives a caller its final answer without an answer of a target.
func (h *Host) refuse(w http.ResponseWriter, status int, reason string, notRun bool, retryAfter time.Duration) {
	h.exchange.dialect.Refuse(w.Header(), wire.Refusal{NotRun: notRun, Reason: reason, RetryAfter: retryAfter})
	http.Error(w, reason, status)
}

func (h *Host) logSend(c *call, s engine.Send) {
	if !h.sampled() {
		return
	}
	h.log.Info("routed", "call", c.name, "service", c.service.doc.Name, "target", s.Target, "attempt", s.Attempt,
		"candidates", s.Candidates, "decided_by", c.decidedBy(), "why", string(s.Why),
		"in_flight", s.InFlight, "report_age_us", s.ReportAge.Microseconds(), "held_us", s.Held.Microseconds(),
		"decided_after_us", time.Since(c.asked).Microseconds(), "asked_after_us", c.asked.Sub(c.arrived).Microseconds(), "body_bytes", c.length)
}

func (h *Host) logRefuse(c *call, r engine.Refuse) {
	if !h.sampled() {
		return
	}
	h.log.Info("refused", "call", c.name, "service", c.service.doc.Name, "reason", string(r.Reason),
		"decided_by", c.decidedBy(), "attempted", c.attempted, "not_run", r.NotRun && !c.maybeRun,
		"retry_after", r.RetryAfter.String(), "after", time.Since(c.arrived).String())
}

// decidedBy names who decides for the call: a control host, or the policy of
// this host's own engine.
func (c *call) decidedBy() string {
	if c.link != nil {
		return c.link.Address().String()
	}
	return c.service.doc.Route.Policy
}

func (h *Host) sampled() bool {
	n := uint64(h.cfg.DecisionLogOneIn)
	return n > 0 && h.logged.Add(1)%n == 0
}
