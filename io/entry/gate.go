package entry

import (
	"net/http"
	"time"

	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
)

// arrival is a request on its way through the checks before the scheduler decides, and
// what they have found out about it.
type arrival struct {
	host *Host
	w    responseWriter
	r    *http.Request
	info wire.CallerInfo // Its timeout is what is left of the caller's.
	// plan is the one by which the request is checked, outside a fleet that of keyPlan, and
	// route that of the request, nil outside a fleet.
	plan    *activePlan
	route   *plan.Route
	waited  time.Duration // How long it waited for the plan and the key lease.
	public  bool          // The route or the service needs no key.
	held    bool          // The lease was held before plan was looked up.
	account *keys.Account // The client account that makes the call; nil for none.
	service *service
	class   spec.Class
	call    *call
	// endUpload undoes the count of the call's body as an upload.
	endUpload func()
	blocked   time.Duration // How long the call is still blocked.
}

// pass has the request pass all checks before the scheduler decides, in this order, and
// reports whether it has. If not, it has been refused for the reason of the first check
// that failed. The order matters to callers: a host that may not know the newest plan
// denies neither a route nor a key, and no body is read for a caller without a key.
func (a *arrival) pass() bool {
	return a.require((*arrival).checkRequest, (*arrival).reject) && // bad_request, body_too_large, method_not_allowed.
		a.require((*arrival).checkPlan, (*arrival).refuseUnrouted) && // no_plan.
		a.require((*arrival).checkRoute, (*arrival).refuseUnrouted) && // no_plan, not_confirmed, no_service.
		a.require((*arrival).awaitLease, (*arrival).refuseUnrouted) && // no_plan, not_confirmed, no_service.
		a.require((*arrival).checkKey, (*arrival).refuseKey) && // key_lease_ended, no_plan, key_refused.
		a.require((*arrival).checkPart, (*arrival).refuseUnrouted) && // no_part.
		a.require((*arrival).checkStop, (*arrival).refuseStopping) && // stopping.
		a.require((*arrival).checkBody, (*arrival).reject) && // body_cut_short, body_too_late, body_too_large.
		a.require((*arrival).checkStop, (*arrival).refuseStopping) && // stopping, as the body may have taken long.
		a.require((*arrival).checkCrashes, (*arrival).refuseBlocked) // crashes_targets.
}

// require makes one check and has refuse answer the request if it fails.
func (a *arrival) require(check func(*arrival) *problem, refuse func(*arrival, *problem)) bool {
	p := check(a)
	if p != nil {
		refuse(a, p)
	}
	return p == nil
}

// end releases what the checks have taken for the call.
func (a *arrival) end() {
	if a.call == nil {
		return
	}
	abandonBody(a.w, a.r, a.call.body.complete())
	a.host.metrics.Histogram("call_latency", a.service.doc.Name).Observe(time.Since(a.call.arrived))
	a.endUpload()
	a.host.open.remove(a.call)
}

func (a *arrival) checkRequest() *problem {
	return checkRequest(a.r, a.host.maxBodyBytes(), a.host.fleet != nil)
}

// checkPlan waits for a confirmed plan.
func (a *arrival) checkPlan() *problem {
	if a.host.fleet == nil {
		return nil
	}
	a.info = a.host.dialect.ParseCall(a.r.Header)
	var waited time.Duration
	a.plan, waited = a.host.fleet.awaitPlan(a.r, a.info.Timeout)
	a.deductWait(waited)
	if a.plan == nil {
		return &problem{http.StatusServiceUnavailable, reasonNoPlan, "no plan is known and confirmed yet"}
	}
	return nil
}

// deductWait subtracts the time that the request was kept waiting from the time that the
// caller gives.
func (a *arrival) deductWait(waited time.Duration) {
	a.waited += waited
	if a.info.Timeout > 0 {
		a.info.Timeout = max(a.info.Timeout-waited, time.Millisecond)
	}
}

// checkRoute finds the route, or outside a fleet the service and the class.
func (a *arrival) checkRoute() *problem {
	if a.host.fleet != nil {
		var p *problem
		a.route, p = a.host.fleet.findRoute(a.plan, a.r)
		a.public = p == nil && a.route.Open
		return p
	}
	a.info = a.host.dialect.ParseCall(a.r.Header)
	var p *problem
	a.service, a.class, p = a.host.findService(a.r, a.info)
	// The accounts come into force before the services of the same time, so that they are
	// looked up after the service, for which a host that has just started waits.
	a.plan, a.public = a.host.keyPlan(), p == nil && a.service.doc.Receive.Public
	return p
}

// awaitLease waits for the first lease at a host that has just started, as it does for the
// plan. A newer plan may have come into force meanwhile, often the one that the lease has
// waited for: by the former one, a key that it has added would be refused as unknown.
func (a *arrival) awaitLease() *problem {
	if a.isOpen() {
		return nil
	}
	f := a.host.fleet
	if f != nil {
		a.deductWait(f.lease.awaitFirst(a.r.Context(), a.info.Timeout))
	}
	a.held = a.host.leaseHolds()
	if f == nil {
		return nil
	}
	if v := f.active.Load(); v != a.plan {
		a.plan = v
		return a.checkRoute()
	}
	return nil
}

// isOpen reports whether the request needs no key.
func (a *arrival) isOpen() bool {
	return a.plan == nil || a.plan.accounts == nil || a.public
}

// checkKey finds the client account. Host.checkKey checks the key again before it is relied on.
func (a *arrival) checkKey() *problem {
	if a.isOpen() {
		return nil
	}
	digest, err := keys.Read(a.r.Header[keys.Field])
	var p *problem
	a.account, p = a.host.findAccount(a.plan, digest, err, a.held)
	return p
}

// checkPart selects the service by the route's parts, and completes the class.
func (a *arrival) checkPart() *problem {
	if f := a.host.fleet; f != nil {
		var p *problem
		if a.service, a.class, p = f.selectPart(a.plan, a.route, a.info); p != nil {
			return p
		}
	}
	if a.account != nil {
		a.class.Account = a.account.Name
		if a.account.Rank != nil {
			a.class.Rank = *a.account.Rank
		}
	}
	return nil
}

// checkBody begins the call and reads as much of its body as the scheduler needs.
func (a *arrival) checkBody() *problem {
	h := a.host
	c := h.newCall(a.w, a.r, a.service, a.class, a.info)
	c.admission.plan, c.admission.route, c.admission.account = a.plan, a.route, a.account
	c.body.filterTrailer(c, a.r)
	c.timing = newTiming(a.waited, c.arrived)
	a.call, a.w.body = c, c.body
	h.open.add(c)
	a.endUpload = h.uploads.addUpload(c.bodyBytes)
	h.metrics.Counter("calls").Add(1)
	if err := h.prepareBody(a.w, a.r, c); err != nil {
		return bodyProblem(err)
	}
	if err := h.awaitIdentity(a.w, a.r, c); err != nil {
		return bodyProblem(err)
	}
	return nil
}

// checkCrashes finds out whether the call has probably crashed targets.
func (a *arrival) checkCrashes() *problem {
	left, blocked := a.host.blockLeft(a.call, a.r)
	if !blocked {
		return nil
	}
	a.blocked = left
	return &problem{http.StatusServiceUnavailable, string(reasonCrashesTargets), "the call is blocked"}
}

// reject refuses a malformed request, or one whose body could not be read.
func (a *arrival) reject(p *problem) {
	if a.call == nil {
		abandonBody(a.w, a.r, a.r.ContentLength == 0)
	}
	a.host.rejectRequest(a.w, a.r, p, true)
}

// refuseUnrouted refuses a request without a service.
func (a *arrival) refuseUnrouted(p *problem) {
	h := a.host
	h.metrics.Counter("calls_without_service").Add(1)
	abandonBody(a.w, a.r, a.r.ContentLength == 0)
	h.log.Warn("no service", "call", h.callName(a.info, h.nextCall.Add(1)), "authority", a.r.Host, "path", a.r.URL.EscapedPath(),
		"reason", p.reason, "status", p.status, "detail", p.detail)
	retryAfter := time.Duration(0)
	if p.status == http.StatusServiceUnavailable {
		retryAfter = planRetryAfter
	}
	h.writeRefusal(a.w, p.status, p.reason, true, retryAfter)
}

// refuseKey refuses a request whose key is not accepted.
func (a *arrival) refuseKey(p *problem) {
	abandonBody(a.w, a.r, a.r.ContentLength == 0)
	a.host.refuseKey(a.w, a.r, a.host.callName(a.info, a.host.nextCall.Add(1)), p, true)
}

// refuseBlocked refuses a call that has probably crashed targets.
func (a *arrival) refuseBlocked(*problem) {
	a.host.executeDecision(a.r.Context(), a.w, a.r, a.call, a.host.refuseBlocked(a.call, a.blocked))
}
