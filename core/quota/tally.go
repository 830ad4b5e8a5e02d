package quota

import (
	"sync"
	"time"

	"cardamomspool/core/plan"
)

type (
	// Tally counts the calls of client accounts that one host has decided about alone, in a
	// sliding window. Use NewTally. It is safe for concurrent use.
	Tally struct {
		window time.Duration

		mu       sync.Mutex
		accounts map[string]*tallied
	}

	// tallied are the numbers of one account.
	tallied struct {
		use, refusals window
	}
)

// NewTally returns a Tally without accounts that counts in the given window.
func NewTally(window time.Duration) *Tally {
	return &Tally{window: window, accounts: make(map[string]*tallied)}
}

// SetAccounts sets the accounts whose calls are counted. Those that are kept keep their
// numbers.
func (t *Tally) SetAccounts(accounts []plan.Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*tallied, len(accounts))
	for i := range accounts {
		name := accounts[i].Name
		if next[name] = t.accounts[name]; next[name] == nil {
			next[name] = &tallied{}
		}
	}
	t.accounts = next
}

// Count counts a call of an account that was admitted, or refused for its quota.
func (t *Tally) Count(name string, admitted bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[name]
	switch {
	case a == nil:
	case admitted:
		a.use.add(1, t.window, now)
	default:
		a.refusals.add(1, t.window, now)
	}
}

// Counts returns the calls of an account in the window that ends at now: those admitted and
// those refused for its quota.
func (t *Tally) Counts(name string, now time.Time) (used, refused int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[name]
	if a == nil {
		return 0, 0
	}
	return a.use.sum(t.window, now), a.refusals.sum(t.window, now)
}

// Room returns the calls of an account that a host that decides alone may admit at once, and
// false for an account without a quota.
func (l *Local) Room(name string, now time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[name]
	if !ok {
		return 0, false
	}
	l.refill(a, now)
	return a.bucket.level, true
}
