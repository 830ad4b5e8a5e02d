package quota

import (
	"slices"
	"time"
)

// Status is the state of one account.
type Status struct {
	// Account is its name, and Rate and Burst are its quota; a Rate of 0 means none.
	Account string
	Rate    float64
	Burst   float64
	// Room is the number of calls that may be made at once; negative after use that
	// other hosts have reported late.
	Room float64
	// Used is the number of calls in the last window that this host knows of, and
	// Refused that of the calls that it has refused.
	Used, Refused int
}

// Status returns the states of all accounts in the order of the plan.
func (l *Ledger) Status(now time.Time) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Status, 0, len(l.list))
	for _, a := range l.list {
		list = append(list, l.status(a, now))
	}
	return list
}

// status returns the state of an account. The caller holds mu.
func (l *Ledger) status(a *account, now time.Time) Status {
	s := Status{
		Account: a.name, Rate: a.rate, Burst: a.burst,
		Used: a.use.sum(l.cfg.Window, now), Refused: a.refusals.sum(l.cfg.Window, now),
	}
	if a.rate > 0 {
		b := a.bucket
		b.refill(a.rate*l.share, l.capacity(a), now)
		s.Room = b.level
	}
	return s
}

// Refused appends the states of the accounts of which a call was refused since the last
// call of Refused to dst, up to limit accounts, and returns it with the number of those
// left out.
func (l *Ledger) Refused(dst []Status, limit int, now time.Time) (list []Status, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.list {
		if a.refusedCalls == a.loggedRefusals {
			continue
		}
		a.loggedRefusals = a.refusedCalls
		if len(dst) >= limit {
			omitted++
			continue
		}
		dst = append(dst, l.status(a, now))
	}
	return dst, omitted
}

// Limited returns the sorted names of the accounts that have had no room lately, or were
// about to have none.
func (l *Ledger) Limited(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for _, a := range l.list {
		if a.rate > 0 && (now.Sub(a.lowAt) < lowTime || now.Sub(a.surgeAt) < lowTime) {
			list = append(list, a.name)
		}
	}
	slices.Sort(list)
	return list
}
