package feed

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

type (
	// Control is what is known of a control host.
	Control struct {
		// Disk identifies its disk; 0 when unknown.
		Disk uint64
		// FirstSeen is when it was first seen after the last time that it was
		// not seen for longer than maxControlGap.
		FirstSeen time.Time
		// LastSeen is when it was last seen or named by another control host.
		LastSeen time.Time
		// LastHeard is when it was last seen on a stream of its own; zero if it
		// was only named.
		LastHeard time.Time
	}

	// controls holds the control hosts that have not expired, by address. It has a lock of
	// its own. Streams compare whole lists, which are short, so that it has no change number.
	controls struct {
		mu    sync.Mutex
		hosts map[netip.AddrPort]Control
	}
)

const (
	// controlExpiry is how long after its last sighting a control host is
	// forgotten.
	controlExpiry = 30 * time.Second
	// maxControlGap is how long a control host may be unseen and still count
	// as continuously seen: a few heartbeats of its stream.
	maxControlGap = 2 * time.Second
)

// observe records that the control host at address was seen on a stream at now. It reports
// whether the host was not known, and whether it was not heard before.
func (t *controls) observe(address netip.AddrPort, diskID uint64, now time.Time) (found, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found = t.see(address, diskID, now)
	c := t.hosts[address]
	first = c.LastHeard.IsZero()
	c.LastHeard = now
	t.hosts[address] = c
	return found, first
}

// name records that another control host has named the one at address, unless that is known,
// and reports whether it was not.
func (t *controls) name(address netip.AddrPort, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.hosts[address]; known {
		return false
	}
	return t.see(address, 0, now)
}

// see implements observe and name, and reports whether the host was not known. The caller
// holds mu.
func (t *controls) see(address netip.AddrPort, diskID uint64, now time.Time) (found bool) {
	c, known := t.hosts[address]
	if !known || now.Sub(c.LastSeen) > maxControlGap {
		c.FirstSeen = now
	}
	c.LastSeen = now
	if diskID != 0 {
		c.Disk = diskID
	}
	t.hosts[address] = c
	return !known
}

// get returns what is known of the control host at address, or the zero value.
func (t *controls) get(address netip.AddrPort) Control {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[address]
}

// list returns the sorted addresses of the control hosts for which keep returns true.
func (t *controls) list(keep func(Control) bool) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []netip.AddrPort
	for address, c := range t.hosts {
		if keep(c) {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// expire removes the control hosts that have not been seen for longer than controlExpiry.
func (t *controls) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, c := range t.hosts {
		if now.Sub(c.LastSeen) > controlExpiry {
			delete(t.hosts, address)
		}
	}
}

// ObserveControl records that the control host at address was seen on a stream at now.
// diskID is the identity of its disk, or 0 when unknown.
func (s *State) ObserveControl(address netip.AddrPort, diskID uint64, now time.Time) {
	found, first := s.controls.observe(address, diskID, now)
	if found {
		s.noteFound(address)
	}
	if first {
		s.waker.notify()
	}
}

// nameControl records that another control host has named the one at address, unless
// that is known.
func (s *State) nameControl(address netip.AddrPort, now time.Time) {
	if s.controls.name(address, now) {
		s.noteFound(address)
	}
}

// noteFound logs a control host that was not known, and wakes all streams.
func (s *State) noteFound(address netip.AddrPort) {
	s.log.Info("control host found", "address", address.String())
	s.waker.notify()
}

// Control returns what is known of the control host at address, or the zero
// value.
func (s *State) Control(address netip.AddrPort) Control {
	return s.controls.get(address)
}

// Controls returns the sorted addresses of the control hosts that have not
// expired.
func (s *State) Controls() []netip.AddrPort {
	return s.controls.list(func(Control) bool { return true })
}

// heardControls returns the sorted addresses of the control hosts that this host has
// heard itself and not forgotten since. Others are not passed on, so that a control
// host that has gone is not named for ever by hosts that know it from each other.
func (s *State) heardControls(now time.Time) []netip.AddrPort {
	return s.controls.list(func(c Control) bool { return now.Sub(c.LastHeard) <= controlExpiry })
}
