package feed

import "sync"

// condition holds what the updates of this control host say of itself. It has a lock of its own.
// The zero value is that of a host that has just started.
type condition struct {
	mu    sync.Mutex
	flags conditionFlags
}

// conditionFlags are what one update says of its sender.
type conditionFlags struct {
	current   bool // See SetCurrent.
	informed  bool // See setInformed.
	unsettled bool // See SetUnsettled.
}

// get returns all flags.
func (t *condition) get() conditionFlags {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.flags
}

// set stores a value in a field of flags, and reports whether it has changed.
func (t *condition) set(field *bool, value bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := *field != value
	*field = value
	return changed
}

// SetCurrent records whether this control host is current, which the updates to
// its followers say.
func (s *State) SetCurrent(current bool) {
	if s.condition.set(&s.condition.flags.current, current) {
		s.waker.notifyUrgent()
	}
}

// setInformed records whether this control host receives the updates of a majority of
// the voting hosts, which the updates to its followers say.
func (s *State) setInformed(informed bool) {
	if s.condition.set(&s.condition.flags.informed, informed) {
		s.log.Info("updates of a majority", "received", informed)
		s.waker.notifyUrgent()
	}
}

// Informed reports whether this control host receives the updates of a majority of the voting
// hosts.
func (s *State) Informed() bool {
	return s.condition.get().informed
}

// SetUnsettled records whether this control host holds a value that changes the list of
// evacuated data centres, and does not know yet whether a majority has accepted it. Its
// updates then do not count as complete: the order may have been acknowledged before all
// hosts lost power.
func (s *State) SetUnsettled(unsettled bool) {
	if s.condition.set(&s.condition.flags.unsettled, unsettled) {
		s.waker.notifyUrgent()
	}
}
