package engine

import "time"

// admitToQuota counts a call against the quota of its client account, and reports true if
// the account has room or the call has no account. Otherwise it returns the time after
// which the caller may come back. The attempts of the call are not counted again.
func (s *Scheduler) admitToQuota(e Arrive, now time.Time) (time.Duration, bool) {
	if s.quota == nil || e.Class.Account == "" {
		return 0, true
	}
	if e.Class.Late || e.Class.RouteRank > 0 {
		return s.quota.AdmitYielding(e.Class.Account, now)
	}
	return s.quota.Admit(e.Class.Account, now)
}

// returnToQuota gives a call that was certainly not run back to its client account.
func (s *Scheduler) returnToQuota(account string, now time.Time) {
	if s.quota != nil && account != "" {
		s.quota.Return(account, now)
	}
}
