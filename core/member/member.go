package member

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

type (
	// State is a step in the life of one incarnation of a target. It only
	// ever grows, so that records merge without regard to order.
	State uint8

	// Key identifies a target within the system.
	Key struct {
		// Service is the name of the service.
		Service string
		// Target is the name of the target within the service.
		Target string
	}

	// Record is what one announcement says of a target.
	Record struct {
		Key
		// Address is where the target takes calls.
		Address netip.AddrPort
		// DataCentre is where the target runs.
		DataCentre string
		// State is the step that the target has reached.
		State State
		// Incarnation grows with every start of the target.
		Incarnation uint64
		// Slots is the number of calls that the target runs at once.
		Slots int
		// Voucher is the entry host that hears the target's announcements.
		Voucher string
	}

	// Table holds the records of all known targets, one row each. The zero
	// value is an empty table.
	Table struct {
		rows   []Record
		expiry []time.Time
		index  map[Key]int
	}
)

// The states of a target.
const (
	Cold State = iota + 1
	Ready
	Draining
	Leaving
)

var (
	// ErrRecord reports a record with a missing name, address or state.
	ErrRecord = errors.New("member: record lacks a name, an address or a valid state")

	stateNames = [...]string{Cold: "cold", Ready: "ready", Draining: "draining", Leaving: "leaving"}
)

// String returns the state's name in announcements.
func (s State) String() string {
	if s < Cold || s > Leaving {
		return "unknown"
	}
	return stateNames[s]
}

// ParseState returns the state with the given name in announcements.
func ParseState(name string) (State, bool) {
	for s := Cold; s <= Leaving; s++ {
		if stateNames[s] == name {
			return s, true
		}
	}
	return 0, false
}

// Validate returns ErrRecord when the record cannot be used.
func (r *Record) Validate() error {
	if r.Service == "" || r.Target == "" || !r.Address.IsValid() || r.State < Cold || r.State > Leaving {
		return ErrRecord
	}
	return nil
}

// Newer reports whether r supersedes old.
func (r *Record) Newer(old *Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.State > old.State
}

// Merge takes r into the table and extends its lease to expiry. It reports
// whether the row changed and so needs to spread to other entries.
func (t *Table) Merge(r Record, expiry time.Time) (bool, error) {
	if err := r.Validate(); err != nil {
		return false, err
	}
	if t.index == nil {
		t.index = make(map[Key]int)
	}
	i, known := t.index[r.Key]
	if !known {
		t.index[r.Key] = len(t.rows)
		t.rows = append(t.rows, r)
		t.expiry = append(t.expiry, expiry)
		return true, nil
	}
	if expiry.After(t.expiry[i]) {
		t.expiry[i] = expiry
	}
	if !r.Newer(&t.rows[i]) {
		return false, nil
	}
	t.rows[i] = r
	return true, nil
}

// Service appends the records of one service to dst and returns it.
func (t *Table) Service(dst []Record, service string) []Record {
	for i := range t.rows {
		if t.rows[i].Service == service {
			dst = append(dst, t.rows[i])
		}
	}
	return dst
}

// All appends every record to dst and returns it.
func (t *Table) All(dst []Record) []Record {
	return append(dst, t.rows...)
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.rows)
}
