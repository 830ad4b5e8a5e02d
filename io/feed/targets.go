package feed

import (
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer/peerpb"
)

// targets holds the known targets with their leases. It has a lock of its own. Use
// newTargets.
type targets struct {
	mu    sync.Mutex
	table *roster.Table
	// renewed is the last result of renew, made at renewedAt.
	renewed   []*peerpb.TargetHeard
	renewedAt time.Time
	// lastExpiry is the time of the last call of expire, and keepUntil the time
	// before which no lease expires.
	lastExpiry, keepUntil time.Time
}

// maxExpiryGap is the time between two calls of Expire above which the process must have
// been stalled.
const maxExpiryGap = 2 * expirePeriod

func newTargets() *targets {
	return &targets{table: roster.NewTable()}
}

// merge applies the state of one target and reports whether that changed anything but its
// lease.
func (t *targets) merge(target roster.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Merge(target)
}

// renewLease records that a heartbeat of a target was received elsewhere, at now less its
// age. It returns the target and true if its lease had expired here; see roster.Table.Renew.
func (t *targets) renewLease(m *peerpb.TargetHeard, now time.Time) (roster.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.table.Renew(m.GetId(), m.GetSequence(), now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond), now) {
		return roster.Target{}, false
	}
	target, _ := t.table.Get(m.GetId())
	return target, true
}

// len returns the number of known targets.
func (t *targets) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Len()
}

// get returns the known state of the target called id, and false when it is unknown.
func (t *targets) get(id string) (roster.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Get(id)
}

// all returns all known targets.
func (t *targets) all() []roster.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.All(nil)
}

// list returns those of the targets called ids that are known.
func (t *targets) list(ids []string) []roster.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make([]roster.Target, 0, len(ids))
	for _, id := range ids {
		if target, ok := t.table.Get(id); ok {
			known = append(known, target)
		}
	}
	return known
}

// records returns the targets of a service.
func (t *targets) records(service string) []member.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Records(nil, service)
}

// digests returns the digests of all targets.
func (t *targets) digests() []uint64 {
	var list []uint64
	for _, target := range t.all() {
		list = append(list, digest(target))
	}
	return list
}

// replaced reports whether a target that was started later than the given incarnation of
// another, or of the same one, is known at address; see State.Replaced.
func (t *targets) replaced(incarnation uint64, address netip.AddrPort) bool {
	return slices.ContainsFunc(t.all(), func(target roster.Target) bool {
		return target.Address == address && incarnation > 0 && target.Incarnation() > incarnation
	})
}

// renewals returns the last list that renew has made, unless it is older than
// heartbeatPeriod.
func (t *targets) renewals(now time.Time) ([]*peerpb.TargetHeard, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewed, now.Sub(t.renewedAt) < heartbeatPeriod
}

// renew returns the renewals of the leases of those of the targets called ids that are known.
func (t *targets) renew(ids []string, now time.Time) []*peerpb.TargetHeard {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewed, t.renewedAt = nil, now
	for _, id := range ids {
		if target, ok := t.table.Get(id); ok {
			t.renewed = append(t.renewed, leaseRenewal(target, now))
		}
	}
	return t.renewed
}

// expire removes the targets whose leases have expired at now, and returns their services.
// It reports false if the leases are kept instead; see State.Expire.
func (t *targets) expire(now time.Time, log *slog.Logger) (services []string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if gap := now.Sub(t.lastExpiry); !t.lastExpiry.IsZero() && gap > maxExpiryGap {
		t.keepUntil = now.Add(roster.Lease)
		log.Warn("process was stalled, targets are kept", "stall", gap.String(), "lease", roster.Lease.String())
	}
	t.lastExpiry = now
	if now.Before(t.keepUntil) {
		return nil, false
	}
	return t.table.Expire(nil, now), true
}

// unknown returns those of the targets called ids that are not known.
func (t *targets) unknown(ids []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(ids, func(id string) bool {
		_, known := t.table.Get(id)
		return known
	})
}
