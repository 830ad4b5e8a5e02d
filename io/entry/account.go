package entry

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/wire"
)

// admission is by what a call was admitted. The zero value is that of a call at a host
// outside a fleet.
type admission struct {
	mu      sync.Mutex // Guards plan and account, which checks of two attempts may change.
	plan    *activePlan
	route   *plan.Route
	account *keys.Account // nil for a call without a client account.
	// digest is that of the key with which another entry host has this one carry the call;
	// nil when it has sent none.
	digest *keys.Digest
}

const (
	reasonKeyRefused    = "key_refused"
	reasonKeyLeaseEnded = "key_lease_ended"
	detailPlanOutdated  = "the plan may be out of date"
	// detailAccountsOutdated is detailPlanOutdated at a host outside a fleet.
	detailAccountsOutdated = "the client accounts may be out of date"
	// headerChallenge holds, on an answer with status 401, the scheme that the caller must
	// use. Source: RFC 9110, section 11.6.1.
	headerChallenge = "WWW-Authenticate"
)

// newAccounts returns the table of the plan's accounts, nil if it has none.
func newAccounts(p *plan.Plan) *keys.Table {
	if len(p.Accounts) == 0 {
		return nil
	}
	list := make([]keys.Account, 0, len(p.Accounts))
	for _, a := range p.Accounts {
		list = append(list, keys.Account{Name: a.Name, Rank: a.Rank, Keys: a.Keys})
	}
	return keys.NewTable(list)
}

// keyPlan returns the plan by which keys are checked: that of the fleet, or outside a fleet
// one of the accounts document alone. It returns nil if there is none.
func (h *Host) keyPlan() *activePlan {
	if h.fleet != nil {
		return h.fleet.active.Load()
	}
	return h.documentAccounts.Load()
}

// leaseHolds reports whether keys may be accepted now. Outside a fleet there is no lease.
func (h *Host) leaseHolds() bool {
	return h.fleet == nil || h.fleet.lease.holds()
}

// findAccount returns the account of a key by the plan v, which has accounts, or the
// problem to answer with. digest and err are what keys.Read has returned, and held says
// whether the lease was held before v was looked up.
func (h *Host) findAccount(v *activePlan, digest keys.Digest, err error, held bool) (*keys.Account, *problem) {
	if !held {
		return nil, &problem{http.StatusServiceUnavailable, reasonKeyLeaseEnded, "no majority of control hosts has confirmed the plan lately"}
	}
	detail := "unknown"
	switch {
	case errors.Is(err, keys.ErrMissing):
		detail = "missing"
	case errors.Is(err, keys.ErrRepeated):
		detail = "repeated"
	case err != nil:
		detail = "malformed"
	default:
		if account := v.accounts.Find(digest); account != nil {
			return account, nil
		}
	}
	if p := h.doubtPlan(v); p != nil {
		return nil, p
	}
	return nil, &problem{http.StatusUnauthorized, reasonKeyRefused, detail}
}

// doubtPlan returns the problem to answer with in place of a refused key if v may be out of
// date, else nil.
func (h *Host) doubtPlan(v *activePlan) *problem {
	switch {
	case h.fleet == nil && (v.unreadable || !h.config.synced()):
		return &problem{http.StatusServiceUnavailable, reasonNotConfirmed, detailAccountsOutdated}
	case h.fleet != nil && (!h.fleet.follower.Synced() || h.fleet.follower.Outdated()):
		return &problem{http.StatusServiceUnavailable, reasonNoPlan, detailPlanOutdated}
	}
	return nil
}

// isPublic reports whether a call needs no key by the plan v. A call goes on as it began if
// its route or service has been removed.
func (h *Host) isPublic(v *activePlan, c *call, r *http.Request) bool {
	if h.fleet == nil {
		if s := h.services.Load().byName[c.service.doc.Name]; s != nil {
			return s.doc.Receive.Public
		}
		return c.service.doc.Receive.Public
	}
	route := v.table.Find(withoutPort(r.Host), r.URL.Path)
	if route == nil {
		route = c.admission.route
	}
	return route != nil && route.Open
}

// checkKey checks the key of a call by the plan in force, as the gate has done, and the
// lease, since both may have changed while the call waited. It returns the problem to
// answer with, or nil if the call may be sent now.
func (h *Host) checkKey(c *call, r *http.Request) *problem {
	v, admitted := h.keyPlan(), &c.admission
	held := v != nil && v.accounts != nil && h.leaseHolds()
	admitted.mu.Lock()
	defer admitted.mu.Unlock()
	// The plan is looked up after the lease: a lease that is renewed for a newer plan says
	// nothing about an older one.
	if v = h.keyPlan(); v == nil || v.accounts == nil {
		return nil // What was admitted by a plan with accounts is still sent without its key.
	}
	if v == admitted.plan {
		if admitted.account != nil && !held {
			return &problem{http.StatusServiceUnavailable, reasonKeyLeaseEnded, "the lease has ended while the call waited"}
		}
		return nil
	}
	if h.isPublic(v, c, r) {
		admitted.plan, admitted.account = v, nil
		return nil
	}
	var (
		digest keys.Digest
		err    error
	)
	switch {
	case admitted.digest != nil:
		digest = *admitted.digest
	case c.carriedIn:
		err = keys.ErrMissing
	default:
		digest, err = keys.Read(r.Header[keys.Field])
	}
	account, p := h.findAccount(v, digest, err, held)
	if p == nil {
		admitted.plan, admitted.account = v, account
	}
	return p
}

// describe sets what an attempt tells its target about the account of the call.
func (d *admission) describe(a *wire.AttemptInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.Accounts = d.plan != nil && d.plan.accounts != nil
	if d.account != nil {
		a.Account = d.account.Name
	}
}

// keyDigest returns the digest of the key of a call that a carrier is to check, nil for a
// call without a client account.
func (c *call) keyDigest(r *http.Request) *keys.Digest {
	c.admission.mu.Lock()
	hasAccount := c.admission.account != nil
	c.admission.mu.Unlock()
	if !hasAccount {
		return nil
	}
	digest, err := keys.Read(r.Header[keys.Field])
	if err != nil {
		return nil
	}
	return &digest
}

// refuseKey refuses a call whose key is not accepted. name is that of the call, and notRun
// says that no attempt can have run it. If it is false, 504 replaces a status that callers
// may take as a promise that the call did not run.
func (h *Host) refuseKey(w responseWriter, r *http.Request, name string, p *problem, notRun bool) {
	status, retryAfter := p.status, planRetryAfter
	if status == http.StatusUnauthorized {
		h.metrics.Counter("keys_refused").Add(1)
		w.Header().Set(headerChallenge, keys.Scheme)
		retryAfter = 0
	} else {
		h.metrics.Counter("keys_unchecked").Add(1)
	}
	if !notRun && h.dialect.PromisesNotRun(status) {
		status = http.StatusGatewayTimeout
	}
	h.log.Warn("key refused", "call", name, "remote", r.RemoteAddr, "authority", r.Host, "path", r.URL.EscapedPath(),
		"reason", p.reason, "status", status, "detail", p.detail, "not_run", notRun)
	h.writeRefusal(w, status, p.reason, notRun, retryAfter)
}

// endUnkeyed ends a call whose key is not accepted any more, and returns true.
func (h *Host) endUnkeyed(w responseWriter, r *http.Request, c *call, p *problem) bool {
	h.cancelCall(c, false)
	if h.passHeld(w, c) {
		h.metrics.Counter("calls_answered").Add(1)
		return true
	}
	h.refuseKey(w, r, c.name, p, !c.mayHaveRun)
	return true
}

// voterAddresses returns the addresses of the voting hosts.
func (f *fleet) voterAddresses() (uint64, []netip.Addr) {
	view := f.state.View()
	list := make([]netip.Addr, 0, len(view.Members))
	for _, m := range view.Members {
		list = append(list, m.Host)
	}
	return view.Epoch, list
}
