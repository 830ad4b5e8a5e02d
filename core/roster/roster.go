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
		// expired holds the targets whose leases have expired, which a renewal
		// brings back.
		expired map[string]expiredTarget
		// holders maps an address to the ID of the last target that started
		// there.
		holders map[netip.AddrPort]string
	}

	// expiredTarget is a target whose lease expired at the given time.
	expiredTarget struct {
		target Target
		at     time.Time
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
	// lateHeartbeat is the time after a departure in which a heartbeat may still be
	// one that the target sent before.
	lateHeartbeat = 3 * time.Second
	// WarmTolerance is the difference up to which two ends of a warm-up are one: reports
	// say how long it lasts from their arrival, and some arrive late.
	WarmTolerance = 500 * time.Millisecond
	// expiredTime is how long an expired target may be brought back by a renewal.
	// It is far longer than the time from a follower's request, which lists the
	// targets that it holds, to the renewals that answer it.
	expiredTime = time.Minute
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		targets: make(map[string]Target), expired: make(map[string]expiredTarget), holders: make(map[netip.AddrPort]string),
	}
}

// Merge merges the report of a target, received directly or from another host. It
// returns true if the target is new or if its state, start, service, address, data
// centre or slots changed, or if it was warm and is cold again; a new sequence number or
// time alone is not a change. It
// also returns false if it ignores the report, because a newer one is known or a
// target that started later holds the address.
func (t *Table) Merge(report Target) bool {
	old, known := t.targets[report.ID]
	if report.State == member.Leaving && report.Born.IsZero() {
		report.Born = old.Born // A departure without a start time applies to the current start.
	}
	if known && old.departedWithoutStart() && report.State < member.Leaving && !report.Born.IsZero() && report.Heard.Sub(old.Heard) < lateHeartbeat {
		// The departure named no start, and this is the start that has departed.
		report.State, report.Heard = member.Leaving, old.Heard
		t.targets[report.ID] = report
		return true
	}
	coldAgain := known && old.Born.Equal(report.Born) && report.State < member.Draining && old.coldAgain(&report)
	if known && !old.olderThan(&report) {
		if coldAgain && old.State < member.Draining {
			// The lease was renewed with a later sequence number, by a host that heard a
			// later heartbeat, before this one arrived.
			old.WarmAt = report.WarmAt
			t.targets[report.ID] = old
			return true
		}
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
	delete(t.expired, report.ID)
	return !known || coldAgain || old.State != report.State || !old.Born.Equal(report.Born) || old.Address != report.Address ||
		old.Service != report.Service || old.Slots != report.Slots || old.DataCentre != report.DataCentre
}

// Renew records that the heartbeat of a target with the given sequence number was
// received at heard. It returns true if that brings back the target, whose lease had
// expired. It does nothing if a newer report is known, if the target is leaving or
// unknown, if the sequence number is greater than MaxSequence, or if another target holds
// the address of an expired one.
func (t *Table) Renew(id string, sequence uint64, heard, now time.Time) bool {
	if sequence > MaxSequence {
		return false
	}
	if old, ok := t.targets[id]; ok {
		if old.State < member.Leaving && sequence >= old.Sequence && heard.After(old.Heard) {
			old.Sequence, old.Heard = sequence, heard
			t.targets[id] = old
		}
		return false
	}
	e, ok := t.expired[id]
	if !ok || sequence < e.target.Sequence || now.Sub(heard) > Lease {
		return false
	}
	if _, taken := t.holders[e.target.Address]; taken {
		return false
	}
	e.target.Sequence, e.target.Heard = sequence, heard
	t.holders[e.target.Address] = id
	t.targets[id] = e.target
	delete(t.expired, id)
	return true
}

// Incarnation returns the start of the target in milliseconds since 1970, and 0 when it
// is unknown.
func (t *Target) Incarnation() uint64 {
	return uint64(max(t.Born.UnixMilli(), 0))
}

// coldAgain reports whether the target is cold by the report, and longer than by t.
func (t *Target) coldAgain(report *Target) bool {
	return report.WarmAt.After(report.Heard) && report.WarmAt.Sub(t.WarmAt) > WarmTolerance
}

// departedWithoutStart reports whether the target has left by a departure that named no
// start, while none was known.
func (t *Target) departedWithoutStart() bool {
	return t.State == member.Leaving && t.Born.IsZero()
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
// targets without a report for longer than DepartureTime. For expiredTime, Renew may
// bring back a target that had not departed. Expire appends the services that lost
// such targets to dst, sorts dst and returns it.
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
		if target.State == member.Leaving {
			continue
		}
		t.expired[id] = expiredTarget{target: target, at: now}
		if !slices.Contains(dst, target.Service) {
			dst = append(dst, target.Service)
		}
	}
	for id, e := range t.expired {
		if now.Sub(e.at) > expiredTime {
			delete(t.expired, id)
		}
	}
	slices.Sort(dst)
	return dst
}

// Len returns the number of targets.
func (t *Table) Len() int {
	return len(t.targets)
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
// routing records sorted by ID, and returns it.
func (t *Table) Records(dst []member.Record, service string) []member.Record {
	start := len(dst)
	for _, target := range t.targets {
		if target.Service != service || target.State == member.Leaving {
			continue
		}
		dst = append(dst, member.Record{
			Key: member.Key{Service: target.Service, Target: target.ID}, Address: target.Address, DataCentre: target.DataCentre,
			State: target.State, Incarnation: target.Incarnation(), Slots: target.Slots, WarmAt: target.WarmAt,
		})
	}
	slices.SortFunc(dst[start:], func(a, b member.Record) int { return cmp.Compare(a.Target, b.Target) })
	return dst
}
