package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"cardamomspool/core/member"
)

type (
	// Target is what one target has last said of itself.
	Target struct {
		// ID identifies the target. It may start again under the same one.
		ID string
		// Service is the name of the service.
		Service string
		// Address is where the target takes calls.
		Address netip.AddrPort
		// DataCentre is where the target runs.
		DataCentre string
		// Slots is the number of calls that the target runs at once.
		Slots int
		// State is ready, draining or leaving.
		State member.State
		// Born is when the target started, by its own clock; zero when it
		// does not say.
		Born time.Time
		// Sequence grows with every announcement of one start.
		Sequence uint64
		// WarmAt is when the target reaches its usual speed; zero when it has.
		WarmAt time.Time
		// Heard is when a control host last heard the target.
		Heard time.Time
	}

	// Table holds the newest word of every target. Use NewTable. It is not
	// safe for concurrent use.
	Table struct {
		targets map[string]Target
		// holders maps an address to the target that started there last.
		holders map[netip.AddrPort]string
	}
)

const (
	// Lease is how long a target counts without being heard; a heartbeat may
	// be seconds late, and one that has crashed is found by its failures.
	Lease = 12 * time.Second
	// Memory is how long a departure is remembered, so that no late heartbeat
	// brings the target back.
	Memory = 5 * time.Minute
)

// NewTable returns a table without targets.
func NewTable() *Table {
	return &Table{targets: make(map[string]Target), holders: make(map[netip.AddrPort]string)}
}

// Hear takes in what a target has said, directly or through another host. It
// reports whether that changes how the target is used; being heard again
// alone does not.
func (t *Table) Hear(n Target) bool {
	old, known := t.targets[n.ID]
	if n.State == member.Leaving && n.Born.IsZero() {
		n.Born = old.Born // A departure that names no start means the present one.
	}
	if known && !old.before(&n) {
		if old.Born.Equal(n.Born) && n.Heard.After(old.Heard) && n.State <= old.State {
			old.Heard = n.Heard
			t.targets[n.ID] = old
		}
		return false
	}
	if n.State < member.Leaving && !t.take(n) {
		return false
	}
	if known && old.State == member.Leaving && old.Born.Equal(n.Born) {
		return false
	}
	t.targets[n.ID] = n
	return !known || old.State != n.State || !old.Born.Equal(n.Born) || old.Address != n.Address ||
		old.Service != n.Service || old.Slots != n.Slots || old.DataCentre != n.DataCentre
}

// before reports whether n is newer than t, which has the same id.
func (t *Target) before(n *Target) bool {
	return cmp.Or(t.Born.Compare(n.Born), t.rank().Compare(n.rank())) < 0
}

// rank orders the words of one start. A departure comes after all others, as
// it may come without a sequence number.
func (t *Target) rank() time.Time {
	if t.State == member.Leaving {
		return time.Unix(0, 1<<62)
	}
	return time.Unix(0, int64(min(t.Sequence, 1<<61)))
}

// take gives the address of n to n unless a later start holds it, and reports
// whether it did. The former holder has ended.
func (t *Table) take(n Target) bool {
	id, held := t.holders[n.Address]
	if held && id != n.ID {
		if old, ok := t.targets[id]; ok && old.Address == n.Address && old.State < member.Leaving {
			if old.Born.After(n.Born) {
				return false
			}
			old.State = member.Leaving
			t.targets[id] = old
		}
	}
	t.holders[n.Address] = n.ID
	return true
}

// Expire forgets targets that were not heard for Lease, and departures after
// Memory. It appends the services that lost targets to dst and returns it.
func (t *Table) Expire(dst []string, now time.Time) []string {
	for id, n := range t.targets {
		limit := Lease
		if n.State == member.Leaving {
			limit = Memory
		}
		if now.Sub(n.Heard) <= limit {
			continue
		}
		delete(t.targets, id)
		if t.holders[n.Address] == id {
			delete(t.holders, n.Address)
		}
		if n.State < member.Leaving && !slices.Contains(dst, n.Service) {
			dst = append(dst, n.Service)
		}
	}
	slices.Sort(dst)
	return dst
}

// Get returns the target called id.
func (t *Table) Get(id string) (Target, bool) {
	n, ok := t.targets[id]
	return n, ok
}

// All appends all targets to dst, by id, and returns it.
func (t *Table) All(dst []Target) []Target {
	for _, n := range t.targets {
		dst = append(dst, n)
	}
	slices.SortFunc(dst, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return dst
}

// Service appends the targets of a service to dst, by id, as records for the
// choice of targets, and returns it. Departed ones are left out.
func (t *Table) Service(dst []member.Record, service string) []member.Record {
	begin := len(dst)
	for _, n := range t.targets {
		if n.Service != service || n.State == member.Leaving {
			continue
		}
		dst = append(dst, member.Record{
			Key: member.Key{Service: n.Service, Target: n.ID}, Address: n.Address, DataCentre: n.DataCentre,
			State: n.State, Incarnation: uint64(max(n.Born.UnixMilli(), 0)), Slots: n.Slots, WarmAt: n.WarmAt,
		})
	}
	slices.SortFunc(dst[begin:], func(a, b member.Record) int { return cmp.Compare(a.Target, b.Target) })
	return dst
}
