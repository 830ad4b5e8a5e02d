package quota

import (
	"sync"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/plan"
)

type (
	// Local limits the calls that an entry host decides about alone: to its part of
	// each account's quota, but one call at least. It admits no calls of the accounts
	// that are over their quotas. Use NewLocal. It is safe for concurrent use.
	Local struct {
		window time.Duration

		mu       sync.Mutex
		accounts map[string]*localAccount
		limited  map[string]bool
		entries  int // The number of entry hosts; 0 when unknown.
		refused  uint64
	}

	// localAccount is the state of one account.
	localAccount struct {
		rate, burst float64
		bucket      bucket
	}
)

var _ engine.Quota = (*Local)(nil)

// NewLocal returns a Local without accounts for quotas with the given window.
func NewLocal(window time.Duration) *Local {
	return &Local{window: window, accounts: make(map[string]*localAccount)}
}

// SetAccounts puts the accounts of a plan in force. Accounts whose quotas are unchanged
// keep what they have used.
func (l *Local) SetAccounts(accounts []plan.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*localAccount, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		if a.Rate <= 0 {
			continue
		}
		next[a.Name] = &localAccount{rate: a.Rate, burst: a.Burst}
		if old, ok := l.accounts[a.Name]; ok && old.rate == a.Rate && old.burst == a.Burst {
			next[a.Name] = old
		}
	}
	l.accounts = next
}

// SetLimited sets the accounts that are over their quotas.
func (l *Local) SetLimited(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = make(map[string]bool, len(names))
	for _, name := range names {
		l.limited[name] = true
	}
}

// SetEntries sets the number of entry hosts; 0 when unknown.
func (l *Local) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = n
}

// aloneWait is the shortest time after which a caller may come back that a host with a part
// of the quota has refused; the longest is twice that. The account has room at other hosts,
// or here once a control host that hears a majority decides again. It is short enough for
// an answer within the aims of the deployments with quotas.
const aloneWait = 150 * time.Millisecond

// Admit counts a call of an account and reports true if its part of the quota has room.
// Otherwise it returns the time after which the caller may come back, which is that of
// accounts without room for limited ones. An account without a quota has no limit.
func (l *Local) Admit(name string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[name]
	if !ok {
		return 0, true
	}
	l.refill(a, now)
	limited := l.limited[name]
	if !limited && a.bucket.take() {
		return 0, true
	}
	l.refused++
	if limited {
		return roundUp(l.window + spread(l.refused, l.window)), false
	}
	return roundUp(aloneWait + spread(l.refused, aloneWait)), false
}

// AdmitYielding is Admit: a host that decides alone has too small a part of the quota to keep
// some of it.
func (l *Local) AdmitYielding(name string, now time.Time) (time.Duration, bool) {
	return l.Admit(name, now)
}

// refill brings the bucket of an account up to date. The caller holds mu.
func (l *Local) refill(a *localAccount, now time.Time) {
	n := l.entries
	if n <= 0 {
		n = unknownEntries
	}
	a.bucket.refill(a.rate/float64(n), l.capacity(a), now)
}

// capacity returns the capacity of an account's bucket. The caller holds mu.
func (l *Local) capacity(a *localAccount) float64 {
	if l.entries <= 0 {
		return 1
	}
	return max(a.burst/float64(l.entries), 1)
}

// Return gives a call that was certainly not run back to the account.
func (l *Local) Return(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[name]
	if !ok {
		return
	}
	l.refill(a, now)
	a.bucket.level = min(a.bucket.level+1, l.capacity(a))
}
