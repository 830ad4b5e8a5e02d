package entry

import (
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/plan"
	"cardamomspool/core/quota"
	"cardamomspool/io/setup"
)

// quotaCount says where a call counts against the quota of its client account.
type quotaCount uint8

const (
	// quotaNotCounted means nowhere yet, or that the call was given back.
	quotaNotCounted quotaCount = iota
	// quotaCountedByControl means at a control host, which may have been lost since.
	quotaCountedByControl
	// quotaCountedLocally means at this host.
	quotaCountedLocally
)

// fixedQuotaWindow is the window in which hosts of a fixed list count the calls of client
// accounts, that of the deployments with quotas.
const fixedQuotaWindow = 5 * time.Second

// newLocalQuota returns the quotas of an entry host that decides alone, or nil when the
// settings of a fleet have no window of quotas. The hosts of a fixed list share each quota
// evenly and know of no accounts that are over their quotas elsewhere.
func newLocalQuota(s *setup.Entry) *quota.Local {
	switch {
	case !s.Fleet.Enabled():
		l := quota.NewLocal(fixedQuotaWindow)
		l.SetEntries(len(s.Entries))
		return l
	case s.Fleet.QuotaWindow <= 0:
		return nil
	}
	window := s.Fleet.QuotaWindow.Std()
	return quota.NewLocal(window, quota.WithBound(quota.Config{Window: window, Overshoot: s.Fleet.QuotaOvershoot, Slack: float64(s.Fleet.QuotaSlack)}))
}

// setQuotas puts the quotas of a plan in force.
func (f *fleet) setQuotas(p *plan.Plan) {
	if f.host.quota != nil {
		f.host.quota.SetAccounts(p.Accounts)
	}
}

// setQuotaState stores what the control hosts tell of quotas. It is called by f.state.
func (f *fleet) setQuotaState(entries int, limited []string) {
	f.tellEntryHosts(entries)
	if f.host.quota != nil {
		f.host.quota.SetEntries(entries)
		f.host.quota.SetLimited(limited)
	}
}

// checkLocalQuota counts a call that this host decides about against the quota of its
// account. If the account has no room, it returns the refusal and true. A call that a
// control host has admitted before it was lost is not counted again.
func (h *Host) checkLocalQuota(c *call, now time.Time) (engine.Refuse, bool) {
	if h.quota == nil || c.class.Account == "" || c.quota != quotaNotCounted {
		return engine.Refuse{}, false
	}
	retryAfter, ok := h.quota.Admit(c.class.Account, now)
	h.tally.Count(c.class.Account, ok, now)
	if !ok {
		return engine.Refuse{Call: c.id, Reason: engine.OverQuota, NotRun: true, RetryAfter: retryAfter}, true
	}
	c.quota = quotaCountedLocally
	return engine.Refuse{}, false
}

// returnToLocalQuota gives a call that was certainly not run back to the quota of its
// account, if it was counted at this host.
func (h *Host) returnToLocalQuota(c *call) {
	if c.quota == quotaCountedLocally {
		c.quota = quotaNotCounted
		h.quota.Return(c.class.Account, time.Now())
	}
}

// recordAdmission records that a decision of a control host shows that the call was
// admitted there.
func (c *call) recordAdmission(action engine.Action) {
	if c.control == nil {
		return
	}
	switch action.(type) {
	case engine.Send, engine.Hold:
		c.quota = quotaCountedByControl
	}
}

// withoutCountedAccount returns the arrival of a call for another control host: without
// the account if the call counts against its quota already. The call then waits among the
// calls without an account.
func withoutCountedAccount(c *call, e engine.Arrive) engine.Arrive {
	if c.quota == quotaCountedByControl {
		e.Class.Account = ""
	}
	return e
}
