package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"cardamomspool/core/member"
)

type (
	// Target is the last report of one target about itself. Control hosts store
	// it as JSON under the names of its fields, so these must not change.
	Target struct {
		// ID identifies the target; it stays the same over restarts.
		ID string
		// Service is the name of the service.
		Service string
		// Address is the address at which the target serves calls.
		Address netip.AddrPort
		// DataCentre is the data centre in which the target runs.
		DataCentre string
		// Slots is the number of calls that the target runs concurrently.
		Slots int
		// State is ready, draining or leaving.
		State member.State
		// Born is when the target started, by its own clock; zero if the report
		// does not say.
		Born time.Time
		// Sequence increases with every report of one start.
		Sequence uint64
		// WarmAt is when the target reaches its normal speed; zero if it has.
		WarmAt time.Time
		// Heard is when a control host last received a report from the target.
		Heard time.Time
	}

	// Table holds the newest report of every target. Use NewTable. It is not
	// safe for concurrent use.
	Table struct {
		targets map[string]Target
		// holders maps an address to the ID of the last target that started
		// there.
		holders map[netip.AddrPort]string
	}
)

const (
	// Lease is how long a target is kept after its last heartbeat. It need not
	// be shorter, because a crashed target is detected by failed calls, and
	// heartbeats may be seconds late.
	Lease = 12 * time.Second
	// DepartureTime is how long a departed target is kept after its last
	// report, so that no late heartbeat brings it back.
	DepartureTime = 5 * time.Minute
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{targets: make(map[string]Target), holders: make(map[netip.AddrPort]string)}
}

// Merge merges the report of a target, received directly or from another host. It
// returns true if the target is new or if its state, start, service, address, data
// centre or slots changed; a new sequence number or time alone is not a change. It
// also returns false if it ignores the report, because a newer one is known or a
// target that started later holds the address.
func (t *Table) Merge(report Target) bool {
	old, known := t.targets[report.ID]
	if report.State == member.Leaving && report.Born.IsZero() {
		report.Born = old.Born // A departure without a start time applies to the current start.
	}
	if known && !old.olderThan(&report) {
		if old.Born.Equal(report.Born) && report.Heard.After(old.Heard) && report.State <= old.State {
			old.Heard = report.Heard
			t.targets[report.ID] = old
		}
		return false
	}
	if report.State < member.Leaving && !t.claimAddress(report) {
		return false
	}
	if known && old.State == member.Leaving && old.Born.Equal(report.Born) {
		return false
	}
	t.targets[report.ID] = report
	return !known || old.State != report.State || !old.Born.Equal(report.Born) || old.Address != report.Address ||
		old.Service != report.Service || old.Slots != report.Slots || old.DataCentre != report.DataCentre
}

// olderThan reports whether t is older than other, which must have the same ID.
func (t *Target) olderThan(other *Target) bool {
	return cmp.Or(t.Born.Compare(other.Born), t.sortKey().Compare(other.sortKey())) < 0
}

// sortKey returns a value that orders the reports of one start: the sequence number
// as a time in nanoseconds. A departure comes last, because it may lack a sequence
// number.
func (t *Target) sortKey() time.Time {
	if t.State == member.Leaving {
		return time.Unix(0, 1<<62)
	}
	return time.Unix(0, int64(min(t.Sequence, 1<<61)))
}

// claimAddress makes the target the holder of its address and marks the previous
// holder as departed. It returns false and changes nothing if the previous holder
// started later than the target and has not departed.
func (t *Table) claimAddress(report Target) bool {
	holder, taken := t.holders[report.Address]
	if taken && holder != report.ID {
		if old, ok := t.targets[holder]; ok && old.Address == report.Address && old.State < member.Leaving {
			if old.Born.After(report.Born) {
				return false
			}
			old.State = member.Leaving
			t.targets[holder] = old
		}
	}
	t.holders[report.Address] = report.ID
	return true
}

// Expire removes targets without a heartbeat for longer than Lease, and departed
// targets without a report for longer than DepartureTime. It appends the services
// that lost targets which had not departed to dst, sorts dst and returns it.
func (t *Table) Expire(dst []string, now time.Time) []string {
	for id, target := range t.targets {
		maxAge := Lease
		if target.State == member.Leaving {
			maxAge = DepartureTime
		}
		if now.Sub(target.Heard) <= maxAge {
			continue
		}
		delete(t.targets, id)
		if t.holders[target.Address] == id {
			delete(t.holders, target.Address)
		}
		if target.State < member.Leaving && !slices.Contains(dst, target.Service) {
			dst = append(dst, target.Service)
		}
	}
	slices.Sort(dst)
	return dst
}

// Get returns the target with the given ID and whether it is in the table.
func (t *Table) Get(id string) (Target, bool) {
	target, ok := t.targets[id]
	return target, ok
}

// All appends all targets to dst, sorts dst by ID and returns it.
func (t *Table) All(dst []Target) []Target {
	for _, target := range t.targets {
		dst = append(dst, target)
	}
	slices.SortFunc(dst, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return dst
}

// Records appends the targets of a service that have not departed to dst, as
// routing records sorted by ID, and returns it. The incarnation of a record is the
// start of the target in milliseconds since 1970.
func (t *Table) Records(dst []member.Record, service string) []member.Record {
	start := len(dst)
	for _, target := range t.targets {
		if target.Service != service || target.State == member.Leaving {
			continue
		}
		dst = append(dst, member.Record{
			Key: member.Key{Service: target.Service, Target: target.ID}, Address: target.Address, DataCentre: target.DataCentre,
			State: target.State, Incarnation: uint64(max(target.Born.UnixMilli(), 0)), Slots: target.Slots, WarmAt: target.WarmAt,
		})
	}
	slices.SortFunc(dst[start:], func(a, b member.Record) int { return cmp.Compare(a.Target, b.Target) })
	return dst
}
