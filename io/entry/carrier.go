package entry

import (
	"context"
	"net/http"
	"time"

	"cardamomspool/core/crash"
	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
)

// carrierHandler carries the calls of other entry hosts: it makes one attempt at the
// target that a request names, over this host's own link, and passes on the whole answer.
// It never passes a call on to another carrier.
type carrierHandler struct{ host *Host }

var _ http.Handler = carrierHandler{}

// ServeHTTP makes one attempt.
func (k carrierHandler) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := k.host
	w := responseWriter{ResponseWriter: rw, controller: http.NewResponseController(rw)}
	if conn := callerOf(r.Context()); conn != nil {
		conn.reachedHandler.Store(true)
	}
	info, err := wire.TakeCarry(r.Header)
	if err != nil {
		h.log.Warn("carried call refused", "remote", r.RemoteAddr, "error", err)
		k.refuse(w, http.StatusBadRequest, wire.CarryRefused)
		return
	}
	h.metrics.Counter("calls_carried_in").Add(1)
	send, s, ok := k.find(info)
	if !ok {
		h.log.Info("carried call refused", "call", info.Call, "service", info.Service, "target", info.Target)
		abandonBody(w, r, r.ContentLength == 0)
		k.refuse(w, http.StatusServiceUnavailable, wire.CarryRefused)
		return
	}
	r.Header.Del("Expect") // It was for this host.
	class := spec.Class{Weight: 1, Deadline: info.TimeLeft.Std(), Idempotent: info.Idempotent, Aim: info.Aim.Std()}
	c := h.newCall(w, r, s, class, wire.CallerInfo{Call: info.Call})
	c.carriedIn, c.carriedID = true, crash.ID{Head: info.Head, Content: info.Content, Caller: info.Caller}
	c.admission.digest = info.Key
	h.open.add(c)
	defer h.open.remove(c)
	w.body = c.body
	defer func() { abandonBody(w, r, c.body.complete()) }()
	if err = k.prepareConnection(w, r, c); err != nil {
		h.log.Info("carried call refused", "call", info.Call, "error", err)
		return // The connection is closed.
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	k.attempt(ctx, w, r, c, send, info.Resent)
}

// find returns the attempt that info describes and its service. It reports false when
// this host does not know the target, or knows that it takes no calls.
func (k carrierHandler) find(info wire.Carry) (engine.Send, *service, bool) {
	h := k.host
	s, target := h.services.Load().byName[info.Service], member.Record{}
	if s == nil {
		return engine.Send{}, nil, false
	}
	known := false
	if h.fleet != nil {
		t, ok := h.fleet.state.Target(info.Target)
		known = ok && t.Service == info.Service
		target.Address, target.Incarnation, target.State = t.Address, t.Incarnation(), t.State
	} else {
		target, known = h.members.find(member.Key{Service: info.Service, Target: info.Target})
	}
	send := engine.Send{Target: info.Target, Address: target.Address, Incarnation: info.Incarnation, Attempt: 1}
	departed := target.State >= member.Draining || target.Incarnation > info.Incarnation && info.Incarnation > 0
	return send, s, known && !departed
}

// prepareConnection lets the answer begin before the body has been read.
func (k carrierHandler) prepareConnection(w responseWriter, r *http.Request, c *call) error {
	if err := w.controller.SetWriteDeadline(c.deadline.Add(writeGrace)); err != nil {
		return err
	}
	if r.ContentLength == 0 {
		return nil
	}
	return w.controller.EnableFullDuplex()
}

// attempt makes the attempt and, without an answer of the target, tells the other host
// what became of it. resent says that the call may have been sent to the target before.
func (k carrierHandler) attempt(ctx context.Context, w responseWriter, r *http.Request, c *call, send engine.Send, resent bool) {
	h := k.host
	if h.draining.Load() || h.links.CutOff() {
		h.links.Check(send.Address, time.Now())
		k.refuse(w, http.StatusServiceUnavailable, wire.CarryUnavailable)
		return
	}
	if _, blocked := h.blockLeft(c, r); blocked || h.restLeft(c, send) > 0 || h.hasDeparted(c, send) || h.isEvacuated(send) {
		k.refuse(w, http.StatusServiceUnavailable, wire.CarryRefused)
		return
	}
	if p := h.checkKey(c, r); p != nil {
		k.refuseKey(w, c, p)
		return
	}
	c.body.filterTrailer(c, r)
	start := time.Now()
	c.progress.send(send.Target)
	a := newAttempt(c, send)
	a.resent = resent
	result := h.forwarder.attempt(ctx, w, r, a, send)
	if a.keyProblem != nil {
		k.refuseKey(w, c, a.keyProblem)
		return
	}
	h.observeLimit(c, send.Target, a.feedback, time.Since(start))
	h.observeRest(c, send.Target, a.feedback)
	if a.feedback.Reset {
		w.Header().Set(wire.HeaderCarryReset, "1")
	}
	switch result {
	case engine.Answered:
	case engine.Broken:
		abortResponse(r)
	case engine.NotRun:
		outcome := wire.CarryUnreachable
		switch {
		case a.feedback.Outcome == route.Shed:
			outcome = wire.CarryRefused
		case h.links.CutOff():
			outcome = wire.CarryUnavailable
		}
		k.refuse(w, http.StatusServiceUnavailable, outcome)
	default:
		k.refuse(w, http.StatusBadGateway, wire.CarryUnknown)
	}
}

// refuseKey tells the other host that this one does not accept the key of a call. The
// other host decides by its own plan whether the caller is told so: the plan of this one
// may be older.
func (k carrierHandler) refuseKey(w http.ResponseWriter, c *call, p *problem) {
	k.host.metrics.Counter("keys_unchecked").Add(1)
	k.host.log.Info("carried call refused", "call", c.name, "service", c.service.doc.Name, "reason", p.reason, "detail", p.detail)
	k.refuse(w, http.StatusServiceUnavailable, wire.CarryUnavailable)
}

// refuse writes an answer without one of the target.
func (k carrierHandler) refuse(w http.ResponseWriter, status int, outcome wire.CarryOutcome) {
	w.Header().Set(wire.HeaderCarryOutcome, string(outcome))
	http.Error(w, string(outcome), status)
}
