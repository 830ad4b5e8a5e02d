package entry

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"cardamomspool/core/crash"
	"cardamomspool/core/engine"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
	"cardamomspool/io/broker"
	"cardamomspool/io/links"
	"cardamomspool/io/place"
)

// call is the state of one caller's request at this host.
type call struct {
	host              *Host
	id                uint64 // Number of the call at this host; names it to the engine or control host.
	name              string // Names the call in logs and to the target; given by the caller, or unique.
	service           *service
	class             spec.Class
	arrived           time.Time
	decisionRequested time.Time // When the current decision was requested.
	deadline          time.Time
	callerConn        *callerConn // The caller's connection; nil if it is not known.
	body              *body
	bodyBytes         int64              // Length of the body; -1 when unknown.
	decisions         chan engine.Action // Decisions of control or of this host's engine.
	control           *place.Client      // The stream to the control host that decides; nil when this host decides.
	controlLost       <-chan struct{}    // Closed when the stream of control ends.
	decisionOverdue   <-chan time.Time   // Fires when control has not decided in time; nil while no decision of control is due.
	delayedByUploads  bool               // The decision may be queued behind callers' uploads.
	attempted         bool               // An attempt at a target was started.
	mayHaveRun        bool               // An attempt may have run the call.
	sentTo            []netip.AddrPort   // The targets that attempts were for.
	refusedOn         []*links.Conn      // The connections on which targets have refused attempts.
	maxConnections    int                // Limit of connections to one target.
	trustedProxies    []netip.Prefix     // Networks of proxies whose forwarding fields are kept.
	carriedID         crash.ID           // What the other entry host knows the call by; with carriedIn.
	carriedIn         bool               // This host is a carrier: the call comes from another entry host.
	held              *heldAnswer        // The last answer of a target, not passed on yet; nil for none.
	endTurn           func()             // Lets another late call be decided; nil outside a fleet.
	quota             quotaCount         // Where the call counts against its account's quota.
	linkLost          bool               // The last attempt failed because this host's link to the target is lost.
	admission         admission          // By what the call was admitted.
	timing            timing             // Where its time went.
	askedSilent       bool               // The last second attempt was asked for because the first one was silent.
	progress          progress           // How far it has come, for other goroutines.
}

const (
	reasonDeadline  = "deadline"
	reasonNoService = "no_service"
	// reasonNotConfirmed is why a call is refused that no document in force takes, at a
	// host that may not have all documents.
	reasonNotConfirmed = "not_confirmed"
	// writeGrace is how long after the call's deadline the response may still be
	// written to a slow caller.
	writeGrace = 2 * time.Second
)

var _ http.Handler = (*Host)(nil)

// ServeHTTP handles one call and writes its final response.
func (h *Host) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := responseWriter{ResponseWriter: rw, controller: http.NewResponseController(rw)}
	h.openCalls.Add(1)
	defer h.openCalls.Add(-1)
	if conn := callerOf(r.Context()); conn != nil {
		conn.reachedHandler.Store(true)
	}
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	a := &arrival{host: h, w: w, r: r}
	defer a.end()
	if !a.pass() {
		return
	}
	w, c := a.w, a.call
	c.timing.enter(phaseDecision, time.Now())
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if h.fleet == nil {
		h.members.awaitTargets(ctx, c.service.doc.Name, time.Until(c.deadline))
	}
	if h.fleet != nil {
		h.fleet.awaitDecider(ctx, c)
		c.endTurn = h.fleet.awaitTurn(ctx, c)
		defer c.endTurn()
	}
	if h.fleet == nil || !h.fleet.delegate(c, time.Now()) {
		h.decideLocally(c)
	}
	h.awaitDecisions(ctx, w, r, c)
}

// findService returns the service and the class of a call at a host outside a fleet, or the
// problem to answer with when there is no service.
func (h *Host) findService(r *http.Request, callInfo wire.CallerInfo) (*service, spec.Class, *problem) {
	s := h.services.Load().find(r.Host, r.URL.Path)
	if s == nil {
		// The documents of a host that has just started may be on their way.
		confirmed := awaitAll(r.Context(), callInfo.Timeout, h.config.confirmed)
		if s = h.services.Load().find(r.Host, r.URL.Path); s == nil && !confirmed {
			return nil, spec.Class{}, &problem{http.StatusServiceUnavailable, reasonNotConfirmed, "the documents are not confirmed yet"}
		}
	}
	if s == nil {
		return nil, spec.Class{}, &problem{http.StatusNotFound, reasonNoService, "no service"}
	}
	return s, s.doc.Receive.Classify(r.Method, r.URL.Path), nil
}

// decideLocally has this host's own engine decide about a call.
func (h *Host) decideLocally(c *call) {
	decisions := make(chan engine.Action, decisionBuffer)
	c.decisionRequested = time.Now()
	c.control, c.decisions, c.controlLost, c.decisionOverdue = nil, decisions, nil, nil
	if refusal, refused := h.checkLocalQuota(c, c.decisionRequested); refused {
		decisions <- refusal
		return
	}
	h.system.Root.Send(c.service.pid, &broker.Arrival{
		Event: h.arriveEvent(c), Received: c.decisionRequested,
		Deliver: func(action engine.Action) { decisions <- action },
	})
}

// arriveEvent returns the engine event for a new call.
func (h *Host) arriveEvent(c *call) engine.Arrive {
	return engine.Arrive{Call: c.id, Class: c.class, Deadline: c.deadline, DataCentre: h.cfg.DataCentre}
}

// cancelCall tells the control host or engine that decides about a call that the call
// has ended early. deadlinePassed says that it ended because of its deadline.
func (h *Host) cancelCall(c *call, deadlinePassed bool) {
	e := engine.Cancel{Call: c.id, DeadlinePassed: deadlinePassed}
	if c.control != nil {
		c.control.CancelCall(e)
		return
	}
	h.system.Root.Send(c.service.pid, e)
}

// reportAttempt reports the result of an attempt to the control host or engine
// that decides about the call. It returns false when no decision can follow,
// because the stream to the control host has ended.
func (h *Host) reportAttempt(c *call, e engine.Finish) bool {
	if c.control == nil {
		h.system.Root.Send(c.service.pid, e)
		return true
	}
	c.startDecisionTimer()
	return c.control.FinishAttempt(e)
}

// newCall returns the state of a call that has just arrived.
func (h *Host) newCall(w responseWriter, r *http.Request, s *service, class spec.Class, callInfo wire.CallerInfo) *call {
	c := &call{
		host: h, id: h.nextCall.Add(1), service: s, class: class,
		arrived: time.Now(), callerConn: callerOf(r.Context()), body: newBody(w, r, h.maxBodyBytes()), bodyBytes: r.ContentLength,
		maxConnections: s.doc.Targets.Connections / max(len(h.cfg.Entries), 1), trustedProxies: h.callers.TrustedProxies,
	}
	c.name = h.callName(callInfo, c.id)
	c.deadline = c.arrived.Add(c.class.Deadline)
	c.timing = newTiming(0, c.arrived)
	return c
}

// callName returns the name of the call with the number id: the one that its caller has
// given it, or a unique one.
func (h *Host) callName(callInfo wire.CallerInfo, id uint64) string {
	if callInfo.Call != "" {
		return callInfo.Call
	}
	return h.callNamePrefix + strconv.FormatUint(id, 36)
}

// prepareBody sets the deadlines of the caller's connection and prefetches the
// body, unless the caller expects 100 Continue. It returns the error of a body
// that could not be read.
func (h *Host) prepareBody(w responseWriter, r *http.Request, c *call) error {
	if err := w.controller.SetWriteDeadline(c.deadline.Add(writeGrace)); err != nil {
		return err
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ProtoMajor == 1 {
		if err := w.controller.EnableFullDuplex(); err != nil {
			return err
		}
	}
	if expectsContinue(r) {
		return nil
	}
	if err := w.controller.SetReadDeadline(c.deadline); err != nil {
		return err
	}
	if err := c.body.prefetch(r.ContentLength); err != nil {
		return err
	}
	return w.controller.SetReadDeadline(time.Time{})
}

// allowAnswer gives the caller writeGrace to receive an answer that begins after the deadline. A
// host that was suspended, or had no processor, for longer than that could not write it otherwise.
func (c *call) allowAnswer(w responseWriter) {
	now := time.Now()
	if now.Before(c.deadline) {
		return
	}
	if err := w.controller.SetWriteDeadline(now.Add(writeGrace)); err != nil {
		c.host.log.Info("time to answer not extended", "call", c.name, "error", err)
	}
}

// abandonBody stops the reading of a request body, unless it is complete, that is,
// was read to its end. net/http would otherwise wait for the rest: before it sends
// the response, or after that if full duplex is enabled. Closing the connection at
// once could lose the response for a caller that is still sending, so the
// connection is closed after the response, with lingerClose. abandonBody does
// nothing for HTTP/2.
func abandonBody(w responseWriter, r *http.Request, complete bool) {
	conn := callerOf(r.Context())
	if r.ProtoMajor != 1 || conn == nil || complete {
		return
	}
	w.Header().Set("Connection", "close")
	conn.linger.Store(true)
	if err := w.controller.SetReadDeadline(time.Now()); err != nil {
		return // The connection is closed.
	}
}

// awaitDecisions executes the decisions about a call until the call has ended. If the
// control host fails, it calls recoverDecision.
func (h *Host) awaitDecisions(ctx context.Context, w responseWriter, r *http.Request, c *call) {
	for {
		select {
		case <-ctx.Done():
			h.abandonCall(w, r, c)
			return
		case <-h.halting.refused.Done():
			h.refuseHeld(ctx, w, r, c)
			return
		case action := <-c.decisions:
			c.decisionOverdue = nil
			if c.endTurn != nil {
				c.endTurn()
			}
			if h.executeDecision(ctx, w, r, c, action) {
				return
			}
		case <-c.controlLost:
			if h.recoverDecision(ctx, w, r, c, causeStreamLost) {
				return
			}
		case <-c.decisionOverdue:
			if !c.delayedByUploads {
				c.control.RecordMissedDecision(time.Now())
			}
			c.control.CancelCall(engine.Cancel{Call: c.id})
			if h.recoverDecision(ctx, w, r, c, causeNoDecision) {
				return
			}
		}
	}
}

// recoverDecision handles a call whose control host has failed, as cause says. If
// no attempt was started, it has another host decide and returns false: after
// causeStreamLost another control host if there is one; without one, and after
// causeNoDecision, this host. Otherwise it refuses the call and returns true; the
// refusal says NotRun, which executeDecision clears if an attempt may have run the
// call.
func (h *Host) recoverDecision(ctx context.Context, w responseWriter, r *http.Request, c *call, cause string) bool {
	h.metrics.Counter("decisions_lost").Add(1)
	h.log.Warn("control host does not decide", "call", c.name, "service", c.service.doc.Name,
		"control", c.control.Address().String(), "reason", cause, "attempted", c.attempted)
	if c.attempted {
		c.controlLost, c.decisionOverdue = nil, nil
		return h.executeDecision(ctx, w, r, c, engine.Refuse{Call: c.id, Reason: reasonDecisionLost, NotRun: true, RetryAfter: localRetryAfter})
	}
	if cause == causeNoDecision {
		c.quota = quotaNotCounted // The control host gives the cancelled call back.
	}
	if cause != causeStreamLost || !h.fleet.delegate(c, time.Now()) {
		h.decideLocally(c)
	}
	return false
}

// executeDecision executes a decision and reports whether the call has ended. A
// hold needs no action: a further decision follows.
func (h *Host) executeDecision(ctx context.Context, w responseWriter, r *http.Request, c *call, action engine.Action) bool {
	c.recordAdmission(action)
	h.noteResets(c, action)
	switch action := action.(type) {
	case engine.Hold:
		c.timing.enter(phaseHeld, time.Now())
	case engine.Send:
		if ctx.Err() != nil || time.Since(c.arrived) >= hangUpInterval && c.checkCaller() {
			h.abandonCall(w, r, c)
			return true
		}
		if h.halting.refused.Err() != nil {
			h.refuseHeld(ctx, w, r, c)
			return true
		}
		a := newAttempt(c, action)
		if h.mustWithhold(a, action) {
			return h.finishAttempt(ctx, w, r, a, engine.NotSent)
		}
		if p := h.checkKey(c, r); p != nil {
			return h.endUnkeyed(w, r, c, p)
		}
		if left, blocked := h.blockLeft(c, r); blocked {
			h.cancelCall(c, false)
			return h.executeDecision(ctx, w, r, c, h.refuseBlocked(c, left))
		}
		h.logSend(c, action)
		if !c.attempted {
			h.accountCalls.admit(c.class.Account)
		}
		c.attempted = true
		a.noteSend(action)
		c.progress.send(action.Target)
		start := time.Now()
		c.timing.beginAttempt(start)
		h.metrics.Histogram("decision_latency", c.service.doc.Name).Observe(start.Sub(c.decisionRequested))
		if action.Extra {
			h.countSecond(c) // The attempt beside which it was decided has ended.
		}
		if c.mayRace(r) {
			return h.runRace(ctx, w, r, a, action)
		}
		result := h.forwarder.attempt(ctx, w, r, a, action)
		h.observeAttempt(a, result, time.Since(start))
		if a.keyProblem != nil {
			return h.endUnkeyed(w, r, c, a.keyProblem)
		}
		return h.finishAttempt(ctx, w, r, a, result)
	case engine.Refuse:
		h.logRefuse(c, action)
		c.allowAnswer(w)
		if h.passHeld(w, c) {
			h.metrics.Counter("calls_answered").Add(1)
			return true
		}
		h.metrics.Counter("calls_refused").Add(1)
		h.accountCalls.refuse(c.class.Account, action.Reason)
		notRun := action.NotRun && !c.mayHaveRun
		status := http.StatusServiceUnavailable
		if !notRun {
			status = http.StatusBadGateway
		}
		if notRun {
			h.returnToLocalQuota(c)
		}
		if action.Reason == engine.OverQuota {
			h.metrics.Counter("calls_over_quota").Add(1)
			if notRun {
				status = http.StatusTooManyRequests
			}
		}
		h.writeRefusal(w, status, string(action.Reason), notRun, action.RetryAfter)
		return true
	}
	return false
}

// observeAttempt records what an attempt that has ended after the time elapsed says about its
// target.
func (h *Host) observeAttempt(a *attempt, result engine.Result, elapsed time.Duration) {
	h.observeLimit(a.call, a.target, a.feedback, elapsed)
	h.observeRest(a.call, a.target, a.feedback)
	if h.fleet != nil && a.control == nil && a.feedback.Reset && result == engine.Unknown {
		h.signs.AddReset(a.service.doc.Name, a.target)
	}
	h.metrics.Histogram("attempt_latency", result.String()).Observe(elapsed)
}

// mustWithhold reports whether this host must not make an attempt, because it knows that the
// target wants no calls from it, is draining or has left. The feedback of the attempt says
// which.
func (h *Host) mustWithhold(a *attempt, s engine.Send) bool {
	if rest := h.restLeft(a.call, s); rest > 0 {
		h.metrics.Counter("attempts_withheld").Add(1)
		if h.sampled() {
			h.log.Info("target rests", "call", a.name, "service", a.service.doc.Name, "target", s.Target,
				"rest", rest.String(), "decided_by", a.decidedBy())
		}
		a.feedback.Rest = rest
		return true
	}
	if h.isEvacuated(s) {
		h.metrics.Counter("decisions_evacuated").Add(1)
		if h.sampled() {
			h.log.Info("target is evacuated", "call", a.name, "service", a.service.doc.Name, "target", s.Target, "decided_by", a.decidedBy())
		}
		a.feedback.Rest = evacuatedRest
		return true
	}
	if !h.hasDeparted(a.call, s) {
		return false
	}
	h.metrics.Counter("decisions_outdated").Add(1)
	if h.sampled() {
		h.log.Info("decision outdated", "call", a.name, "service", a.service.doc.Name, "target", s.Target,
			"incarnation", s.Incarnation, "decided_by", a.decidedBy())
	}
	return true
}

// finishAttempt reports the result of an attempt to the control host or engine. If
// the result does not end the call but the caller's body has failed, the deadline
// has passed or the caller has disconnected, it ends the call instead. It returns
// whether the call has ended; otherwise a further decision follows. After a Broken
// result it panics, as abortResponse does.
func (h *Host) finishAttempt(ctx context.Context, w responseWriter, r *http.Request, a *attempt, result engine.Result) bool {
	c := a.call
	if result == engine.NotSent {
		c.timing.enter(phaseDecision, time.Now())
	} else {
		c.linkLost = a.linkLost
		c.timing.endAttempt(a.marks, time.Now())
	}
	a.noteEnd(result)
	if !result.EndsCall() {
		if err := c.body.sourceError(); err != nil {
			h.cancelCall(c, false)
			h.rejectRequest(w, r, bodyProblem(err), !c.mayHaveRun)
			return true
		}
		if ctx.Err() != nil && !c.interruptedWithTimeLeft() {
			h.abandonCall(w, r, c)
			return true
		}
	}
	if !result.EndsCall() {
		c.progress.await()
	}
	replayable := !result.EndsCall() && c.body.replayable()
	decisionFollows := h.reportAttempt(c, engine.Finish{Call: c.id, Attempt: a.number, Result: result, Replayable: replayable, Feedback: a.feedback})
	switch result {
	case engine.Answered:
		if a.extra {
			h.countSecondWon(c)
		}
		h.metrics.Counter("calls_answered").Add(1)
		h.callTimes.observe(c, time.Now())
		h.logAnswered(a)
		return true
	case engine.Broken:
		h.metrics.Counter("calls_cut_short").Add(1)
		abortResponse(r)
	}
	if !decisionFollows {
		return h.recoverDecision(ctx, w, r, c, causeStreamLost)
	}
	if !result.EndsCall() && c.interruptedWithTimeLeft() {
		return h.awaitFinalDecision(ctx, w, r, c)
	}
	return false
}

// awaitFinalDecision executes the remaining decisions about a call that cannot be
// retried, since this host interrupted the read of its body. Unlike awaitDecisions it
// ignores the end of ctx, which net/http cancels after such an interruption. It
// returns true: the call has ended.
func (h *Host) awaitFinalDecision(ctx context.Context, w responseWriter, r *http.Request, c *call) bool {
	for {
		select {
		case <-h.halting.refused.Done():
			h.refuseHeld(ctx, w, r, c)
			return true
		case action := <-c.decisions:
			if h.executeDecision(ctx, w, r, c, action) {
				return true
			}
		case <-c.controlLost:
			return h.recoverDecision(ctx, w, r, c, causeStreamLost)
		case <-c.decisionOverdue:
			return h.recoverDecision(ctx, w, r, c, causeNoDecision)
		}
	}
}

// interruptedWithTimeLeft reports whether this host has interrupted the read of the
// request body, because an attempt had ended, and the deadline is still ahead. After
// an interruption net/http cancels the context as if the caller had disconnected.
func (c *call) interruptedWithTimeLeft() bool {
	return c.body.interrupted.Load() && !c.callerLeft() && time.Now().Before(c.deadline)
}

// callerGone reports whether the caller has disconnected. It returns false once this
// host has interrupted the read of the body, since net/http then cancels the context
// without a disconnection.
func (c *call) callerGone(r *http.Request) bool {
	return c.callerLeft() || r.Context().Err() != nil && !c.body.interrupted.Load()
}

// callerLeft reports whether checkCaller has found that the caller has disconnected.
func (c *call) callerLeft() bool {
	return c.callerConn != nil && c.callerConn.left.Load()
}

// abandonCall ends a call whose deadline has passed or whose caller has
// disconnected.
func (h *Host) abandonCall(w responseWriter, r *http.Request, c *call) {
	h.cancelCall(c, !c.callerGone(r) && !c.linkLost)
	if !c.attempted {
		h.returnToLocalQuota(c)
	}
	reason := reasonDeadline
	if c.callerGone(r) {
		reason = "caller_gone"
		h.metrics.Counter("calls_caller_gone").Add(1)
	} else {
		h.metrics.Counter("calls_given_up").Add(1)
	}
	if h.sampled() {
		h.log.With(c.classAttrs()...).With(c.timing.attrs(time.Now())...).Info("given up", "call", c.name, "service", c.service.doc.Name, "reason", reason,
			"not_run", !c.mayHaveRun, "after", time.Since(c.arrived).String())
	}
	c.allowAnswer(w)
	if h.passHeld(w, c) {
		return
	}
	h.writeRefusal(w, http.StatusGatewayTimeout, reason, !c.mayHaveRun, c.service.doc.Refuse.RetryAfter.Std())
}

// rejectRequest refuses a request because of p and closes the caller's connection.
// notRun says that no attempt can have run the call. If it is false, 504 replaces a
// status that callers may take as a promise that the call did not run.
func (h *Host) rejectRequest(w responseWriter, r *http.Request, p *problem, notRun bool) {
	h.metrics.Counter("requests_turned_down").Add(1)
	h.log.Warn("request refused", "remote", r.RemoteAddr, "method", r.Method, "authority", r.Host, "path", r.URL.EscapedPath(),
		"status", p.status, "reason", p.reason, "detail", p.detail, "not_run", notRun)
	w.Header().Set("Connection", "close")
	status := p.status
	if !notRun && h.dialect.PromisesNotRun(status) {
		status = http.StatusGatewayTimeout
	}
	h.writeRefusal(w, status, p.reason, notRun, 0)
}

// abortResponse ends a response so that the caller cannot accept it as complete.
// It panics with http.ErrAbortHandler.
func abortResponse(r *http.Request) {
	if conn := callerOf(r.Context()); conn != nil && r.ProtoMajor == 1 {
		conn.forceReset()
	}
	panic(http.ErrAbortHandler)
}

// writeRefusal writes a final response that comes from this host rather than from a
// target. notRun says that no attempt can have run the call.
func (h *Host) writeRefusal(w http.ResponseWriter, status int, reason string, notRun bool, retryAfter time.Duration) {
	h.forwarder.dialect.WriteRefusal(w.Header(), wire.Refusal{NotRun: notRun, Reason: reason, RetryAfter: retryAfter})
	http.Error(w, reason, status)
}

// logSend logs a decision to send, if it is sampled.
func (h *Host) logSend(c *call, s engine.Send) {
	if !h.sampled() {
		return
	}
	var attrs []any
	if s.Extra {
		attrs = []any{"extra", true}
	}
	h.log.With(attrs...).Info("routed", "call", c.name, "service", c.service.doc.Name, "target", s.Target, "attempt", s.Attempt,
		"candidates", s.Candidates, "decided_by", c.decidedBy(), "why", string(s.Why),
		"in_flight", s.InFlight, "report_age_us", s.ReportAge.Microseconds(), "held_us", s.HeldFor.Microseconds(),
		"decided_after_us", time.Since(c.decisionRequested).Microseconds(), "asked_after_us", c.decisionRequested.Sub(c.arrived).Microseconds(), "body_bytes", c.bodyBytes,
		"rank", c.class.RouteRank, "aim", c.aim().String())
}

// logRefuse logs a decision to refuse, if it is sampled.
func (h *Host) logRefuse(c *call, r engine.Refuse) {
	if !h.sampled() {
		return
	}
	h.log.With(c.classAttrs()...).Info("refused", "call", c.name, "service", c.service.doc.Name, "reason", string(r.Reason),
		"decided_by", c.decidedBy(), "attempted", c.attempted, "not_run", r.NotRun && !c.mayHaveRun,
		"retry_after", r.RetryAfter.String(), "after", time.Since(c.arrived).String())
}

// decidedBy returns the address of the control host that decides about the call,
// or the policy of this host's own engine.
func (c *call) decidedBy() string {
	if c.control != nil {
		return c.control.Address().String()
	}
	return c.service.doc.Route.Policy
}

// sampled reports whether to log a decision: one in DecisionLogOneIn is logged.
func (h *Host) sampled() bool {
	n := uint64(h.cfg.DecisionLogOneIn)
	return n > 0 && h.decisionsSeen.Add(1)%n == 0
}
