package member

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"strconv"
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

	// Record is what the entry hosts know of a target.
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
		// Epoch grows with every change of the voucher within an incarnation.
		Epoch uint64
		// Lapsed says that the voucher has heard nothing for a whole lease.
		Lapsed bool
		// Since is when the record became leaving or lapsed, by the clock of
		// the entry host that said so. It takes no part in comparisons.
		Since time.Time
		// Suspect says that the target's announcements have stopped or that
		// its voucher is silent. It is this entry host's own view and is
		// never sent; a suspect target stays usable while it answers calls.
		Suspect bool
		// WarmAt is when a target that has just started reaches its usual
		// speed; zero when it has. It is never sent between entry hosts.
		WarmAt time.Time
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

// Join returns the least record that is at or above both r and o, which must
// have the same key. A greater incarnation wins whole; within an incarnation
// the state, the announced properties and the voucher each take the greater.
func (r Record) Join(o Record) Record {
	if r.Incarnation != o.Incarnation {
		if r.Incarnation > o.Incarnation {
			return r
		}
		return o
	}
	joined := r
	if o.State > r.State {
		joined.State, joined.Since = o.State, o.Since
	}
	if o.compareProperties(&r) > 0 {
		joined.Address, joined.DataCentre, joined.Slots = o.Address, o.DataCentre, o.Slots
	}
	if o.compareVoucher(&r) > 0 {
		joined.Voucher, joined.Epoch, joined.Lapsed = o.Voucher, o.Epoch, o.Lapsed
		if joined.State < Leaving {
			joined.Since = o.Since
		}
	}
	return joined
}

// SameProperties reports whether r and o announce the same address, data
// centre and slots.
func (r *Record) SameProperties(o *Record) bool {
	return r.compareProperties(o) == 0
}

func (r *Record) compareProperties(o *Record) int {
	return cmp.Or(r.Address.Compare(o.Address), cmp.Compare(r.DataCentre, o.DataCentre), cmp.Compare(r.Slots, o.Slots))
}

func (r *Record) compareVoucher(o *Record) int {
	return cmp.Or(cmp.Compare(r.Epoch, o.Epoch), cmp.Compare(r.Voucher, o.Voucher), compareBool(r.Lapsed, o.Lapsed))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// sum returns a hash of all shared fields but Since.
func (r *Record) sum() uint64 {
	h := fnv.New64a()
	var buf []byte
	buf = append(buf, r.Service...)
	buf = append(append(buf, 0), r.Target...)
	buf = r.Address.AppendTo(append(buf, 0))
	buf = append(append(buf, 0), r.DataCentre...)
	buf = append(append(buf, 0), r.Voucher...)
	buf = append(buf, 0, byte(r.State))
	buf = strconv.AppendUint(append(buf, 0), r.Incarnation, 16)
	buf = strconv.AppendUint(append(buf, 0), r.Epoch, 16)
	buf = strconv.AppendInt(append(buf, 0), int64(r.Slots), 16)
	buf = strconv.AppendBool(append(buf, 0), r.Lapsed)
	_, _ = h.Write(buf) // A hash never fails to write.
	return h.Sum64()
}

// bucket returns the digest bucket of the key.
func (k Key) bucket() int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(k.Service + "\x00" + k.Target)) // A hash never fails to write.
	return int(h.Sum64() % Buckets)
}
