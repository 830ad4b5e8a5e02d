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
	// State is the lifecycle state of one incarnation of a target. It only
	// increases, so that records merge in any order.
	State uint8

	// Key identifies a target.
	Key struct {
		// Service is the name of the service.
		Service string
		// Target is the name of the target within the service.
		Target string
	}

	// Record is the replicated state of a target.
	Record struct {
		Key
		// Address is the address at which the target serves calls.
		Address netip.AddrPort
		// DataCentre is the data centre in which the target runs.
		DataCentre string
		// State is the lifecycle state of the target.
		State State
		// Incarnation increases with every start of the target.
		Incarnation uint64
		// Slots is the number of calls that the target runs concurrently.
		Slots int
		// Owner is the entry host that receives the target's announcements
		// and owns its lease.
		Owner string
		// Epoch increases with every change of owner within an incarnation.
		Epoch uint64
		// LeaseExpired reports whether the lease has expired: its owner
		// received no announcement for a whole lease or was silent for
		// OwnerTimeout.
		LeaseExpired bool
		// Since is when the target left or its lease expired, by the clock of
		// the entry host that recorded it. It is neither compared nor hashed.
		Since time.Time
		// Suspect reports whether the lease has expired, or its owner is
		// silent and the target has not announced itself to this entry host
		// within a lease. It is never sent. A suspect target stays usable
		// while it responds to calls.
		Suspect bool
		// WarmAt is when a newly started target reaches its normal speed; zero
		// if it has. It is never sent between entry hosts.
		WarmAt time.Time
	}
)

// States of a target, in their order. Only a Ready target accepts new calls: a Cold
// one is not ready yet, a Draining one gets no new calls, and a Leaving one has
// departed.
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

// String returns the name of the state in announcements, "unknown" for an
// undefined state.
func (s State) String() string {
	if s < Cold || s > Leaving {
		return "unknown"
	}
	return stateNames[s]
}

// ParseState returns the state with the given name in announcements. It returns
// false for an unknown name.
func ParseState(name string) (State, bool) {
	for s := Cold; s <= Leaving; s++ {
		if stateNames[s] == name {
			return s, true
		}
	}
	return 0, false
}

// Validate returns ErrRecord if the service, target or address is missing or
// the state is undefined.
func (r *Record) Validate() error {
	if r.Service == "" || r.Target == "" || !r.Address.IsValid() || r.State < Cold || r.State > Leaving {
		return ErrRecord
	}
	return nil
}

// Join returns the least upper bound of r and o, which must have the same key.
// The record with the higher incarnation wins. Within an incarnation, the state,
// the announced properties and the owner (with epoch and expiry of the lease) are
// each the greater of the two.
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
	if o.compareOwner(&r) > 0 {
		joined.Owner, joined.Epoch, joined.LeaseExpired = o.Owner, o.Epoch, o.LeaseExpired
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

// compareProperties orders records by the announced properties.
func (r *Record) compareProperties(o *Record) int {
	return cmp.Or(r.Address.Compare(o.Address), cmp.Compare(r.DataCentre, o.DataCentre), cmp.Compare(r.Slots, o.Slots))
}

// compareOwner orders records by epoch, owner and expiry of the lease.
func (r *Record) compareOwner(o *Record) int {
	return cmp.Or(cmp.Compare(r.Epoch, o.Epoch), cmp.Compare(r.Owner, o.Owner), compareBool(r.LeaseExpired, o.LeaseExpired))
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

// hash returns a hash of all replicated fields except Since.
func (r *Record) hash() uint64 {
	h := fnv.New64a()
	var buf []byte
	buf = append(buf, r.Service...)
	buf = append(append(buf, 0), r.Target...)
	buf = r.Address.AppendTo(append(buf, 0))
	buf = append(append(buf, 0), r.DataCentre...)
	buf = append(append(buf, 0), r.Owner...)
	buf = append(buf, 0, byte(r.State))
	buf = strconv.AppendUint(append(buf, 0), r.Incarnation, 16)
	buf = strconv.AppendUint(append(buf, 0), r.Epoch, 16)
	buf = strconv.AppendInt(append(buf, 0), int64(r.Slots), 16)
	buf = strconv.AppendBool(append(buf, 0), r.LeaseExpired)
	_, _ = h.Write(buf) // A hash never fails to write.
	return h.Sum64()
}

// bucket returns the index of the key's digest bucket.
func (k Key) bucket() int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(k.Service + "\x00" + k.Target)) // A hash never fails to write.
	return int(h.Sum64() % DigestBuckets)
}
