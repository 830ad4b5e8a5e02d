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
		bound  *Config // Set by WithBound.

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

	// LocalOption sets one property of a Local.
	LocalOption func(*Local)
)

var _ engine.Quota = (*Local)(nil)

// WithBound has the host use its part of what the bound allows beyond the quota too, see
// Config.alone. Without it, the host keeps to its part of the quota.
func WithBound(cfg Config) LocalOption {
	return func(l *Local) { l.bound = &cfg }
}

// NewLocal returns a Local without accounts for quotas with the given window.
func NewLocal(window time.Duration, opts ...LocalOption) *Local {
	l := &Local{window: window, accounts: make(map[string]*localAccount)}
	for _, opt := range opts {
		opt(l)
	}
	return l
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
	rate, capacity := l.part(a)
	a.bucket.refill(rate, capacity, now)
}

// part returns the rate and the capacity of an account's bucket. The caller holds mu.
func (l *Local) part(a *localAccount) (rate, capacity float64) {
	switch {
	case l.entries <= 0:
		return a.rate / unknownEntries, 1
	case l.bound != nil:
		return l.bound.alone(a.rate, a.burst, float64(l.entries))
	}
	n := float64(l.entries)
	return a.rate / n, max(a.burst/n, 1)
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
	_, capacity := l.part(a)
	a.bucket.level = min(a.bucket.level+1, capacity)
}
