package feed

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"cardamomspool/io/peer/peerpb"
)

type (
	// accounts is what a State holds of the quotas of client accounts.
	accounts struct {
		onAccounts func(entries int, limited []string)

		mu sync.Mutex
		// limited are the accounts that are over their quotas as far as this control
		// host knows, and version counts their changes from 1.
		limited []string
		version uint64
		// reports holds what followed control hosts have said last.
		reports map[netip.AddrPort]accountReport
		// entries and union are the last arguments of onAccounts.
		entries int
		union   []string
	}

	// accountReport is what one control host has said.
	accountReport struct {
		entries int
		limited []string
		at      time.Time
	}
)

const (
	// lostEntryTime is how long an entry host that no longer follows may be deciding
	// alone. Most hosts that are cut off are back by then, and a host that has left is
	// not counted for long.
	lostEntryTime = 30 * time.Second
	// entryCountTime is how long a server runs before it tells how many entry hosts
	// follow it: after a start they come one by one, and a low number makes the parts of
	// all of them too large.
	entryCountTime = 3 * time.Second
	// maxReportAge is how long the report of a control host counts after its last update
	// while there are updates of others.
	maxReportAge = 5 * time.Second
)

// OnAccounts sets a callback for the number of entry hosts, 0 when unknown, and the
// sorted names of the accounts that are over their quotas, which is called when they
// change. Calls do not overlap. The callback must not call methods of the State.
func OnAccounts(f func(entries int, limited []string)) Option {
	return func(s *State) { s.accounts.onAccounts = f }
}

// SetLimited sets the accounts that are over their quotas, by sorted names, which the
// updates to entry hosts tell.
func (s *State) SetLimited(names []string) {
	if !s.accounts.setLimited(names) {
		return
	}
	s.waker.notify()
}

// setLimited stores names and reports whether they have changed.
func (a *accounts) setLimited(names []string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.version > 0 && slices.Equal(names, a.limited) {
		return false
	}
	a.limited = names
	a.version++
	return true
}

// get returns the accounts that are over their quotas and the number of their last
// change.
func (a *accounts) get() ([]string, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limited, a.version
}

// merge applies an update of the control host at address, of which fields that say
// nothing are absent. What lost control hosts have said last stays in force until there
// are updates of others.
func (a *accounts) merge(address netip.AddrPort, u *peerpb.FleetUpdate, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, known := a.reports[address]
	if !known && u.GetEntryHosts() == 0 && u.GetLimitedAccounts() == nil {
		return // There are no accounts.
	}
	r.at = now
	if n := int(u.GetEntryHosts()); n > 0 {
		r.entries = n
	}
	if l := u.GetLimitedAccounts(); l != nil {
		r.limited = l.GetAccounts()
	}
	if a.reports == nil {
		a.reports = make(map[netip.AddrPort]accountReport)
	}
	a.reports[address] = r
	entries, union := 0, []string(nil)
	for other, r := range a.reports {
		if now.Sub(r.at) > maxReportAge {
			delete(a.reports, other)
			continue
		}
		entries = max(entries, r.entries)
		union = append(union, r.limited...)
	}
	slices.Sort(union)
	union = slices.Compact(union)
	if entries == 0 {
		entries = a.entries
	}
	if entries == a.entries && slices.Equal(union, a.union) {
		return
	}
	a.entries, a.union = entries, union
	if a.onAccounts != nil {
		a.onAccounts(entries, union)
	}
}

// hasAccounts reports whether the plan in force has client accounts.
func (s *State) hasAccounts() bool {
	p := s.Plan()
	return p != nil && len(p.Accounts) > 0
}

// EntryHosts returns the numbers of entry hosts that follow this host, and of those that
// did so in the last lostEntryTime. Both are 0 for the first entryCountTime.
func (s *Server) EntryHosts(now time.Time) (following, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, left := range s.lostEntries {
		if now.Sub(left) > lostEntryTime {
			delete(s.lostEntries, address)
		}
	}
	if now.Sub(s.started) < entryCountTime {
		return 0, 0
	}
	return len(s.entries), len(s.lostEntries)
}

// addAccounts adds to an update what entry hosts must know of client accounts: nothing
// while the plan has none. It reports whether that is new to the follower.
func (s *Server) addAccounts(u *peerpb.FleetUpdate, out *updateStream, now time.Time) bool {
	if !s.state.hasAccounts() {
		return false
	}
	following, lost := s.EntryHosts(now)
	u.EntryHosts = uint32(following + lost)
	limited, version := s.state.accounts.get()
	if version == out.limitedVersion {
		return false
	}
	out.limitedVersion = version
	u.LimitedAccounts = &peerpb.LimitedAccounts{Accounts: limited}
	return true
}
