package member

import (
	"net/netip"
	"time"
)

// handleAnnounce checks and merges one announcement of a target. It replies at
// once, except to a valid announcement of a leaving target, which awaits an
// acknowledgement.
func (n *Node) handleAnnounce(dst []Action, e Announce, now time.Time) []Action {
	r := e.Record
	r.Owner, r.Epoch, r.LeaseExpired, r.Suspect, r.Since = n.host, 1, false, false, time.Time{}
	i, known := n.table.find(r.Key)
	if err := n.checkAnnounce(&r, i, known); err != nil {
		reject := Reject{ID: e.ID, Err: err}
		if known {
			reject.Current = n.table.records[i]
		}
		return append(dst, reject)
	}
	if known && n.table.records[i].Incarnation == r.Incarnation {
		n.assignOwner(&r, i, now)
	}
	if r.State == Leaving {
		r.Since = now
	}
	dst, _ = n.merge(dst, r, n.host, now)
	i, _ = n.table.find(r.Key)
	n.table.lastAnnounced[i] = now
	n.table.leaseEnd[i] = now.Add(n.leaseDuration())
	if r.State == Leaving {
		return n.awaitAck(dst, e.ID, r.Key, now)
	}
	return append(dst, n.accept(e.ID, r.Key))
}

// checkAnnounce returns the error with which the announcement r is rejected, or
// nil. If known is true, i is the row of the target.
func (n *Node) checkAnnounce(r *Record, i int, known bool) error {
	if !known {
		if len(n.table.records) >= MaxTargets {
			return ErrFull
		}
		return nil
	}
	current := &n.table.records[i]
	switch {
	case r.Incarnation > current.Incarnation:
		return nil
	case r.Incarnation < current.Incarnation:
		return ErrSuperseded
	case r.State < current.State:
		return ErrStateRegression
	case !r.SameProperties(current):
		return ErrProperties
	}
	return nil
}

// assignOwner keeps the owner of the lease unless this host takes the lease over,
// which it does if the lease has expired, the owner is silent, or the target
// already announced itself here less than a lease ago. A target that announces
// itself to the entry hosts in turn, and to each at most once per lease, thus
// causes no change per announcement.
func (n *Node) assignOwner(r *Record, i int, now time.Time) {
	current := &n.table.records[i]
	announcedBefore := !n.table.lastAnnounced[i].IsZero() && now.Sub(n.table.lastAnnounced[i]) < n.leaseDuration()
	takeOver := current.LeaseExpired ||
		current.Owner != n.host && (announcedBefore || n.silent(current.Owner, n.ownerSilence(), now))
	if takeOver {
		r.Epoch = current.Epoch + 1
		return
	}
	r.Owner, r.Epoch, r.LeaseExpired = current.Owner, current.Epoch, current.LeaseExpired
}

// awaitAck delays the reply to a leaving target until a second entry host has
// acknowledged the record. After AckTimeout without one, the announcement is
// rejected with ErrIsolated. A host that is alone accepts it at once.
func (n *Node) awaitAck(dst []Action, id uint64, k Key, now time.Time) []Action {
	if n.alone() {
		return append(dst, n.accept(id, k))
	}
	n.pendingAcks[id] = pendingAck{key: k, deadline: now.Add(AckTimeout)}
	// The change may have been spread before, if the announcement is a retry.
	// It is spread again, so that the acknowledgement is for this record.
	n.changes = append(n.changes, change{key: k, from: n.host})
	return n.flush(dst, now)
}

// accept returns the positive reply to an announcement. A target whose lease
// another host owns gets the minimum interval, so that this host soon takes the
// lease over.
func (n *Node) accept(id uint64, k Key) Accept {
	a := Accept{ID: id, Interval: n.nextInterval(), Lease: n.leaseDuration(), Others: n.otherAddresses()}
	if i, ok := n.table.find(k); ok && n.table.records[i].Owner != n.host {
		a.Interval = n.minInterval
	}
	return a
}

// nextInterval returns the announcement interval at which the targets owned by
// this host together keep announceSpacing, but at least minInterval and at most
// MaxInterval.
func (n *Node) nextInterval() time.Duration {
	return min(max(n.minInterval, time.Duration(n.ownedTargets)*announceSpacing), MaxInterval)
}

// leaseDuration returns the length of a lease at the current announcement interval.
func (n *Node) leaseDuration() time.Duration {
	return LeaseIntervals * n.nextInterval()
}

// otherAddresses returns the known announce addresses of the next hosts on the
// ring, at most maxOthers.
func (n *Node) otherAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	self := n.ringIndex()
	for offset := 1; offset < len(n.ring) && len(list) < maxOthers; offset++ {
		host := n.ring[(self+offset)%len(n.ring)]
		if a, ok := n.announceAddresses[host]; ok {
			list = append(list, a)
		}
	}
	return list
}

// handleObserve applies the state that a target sent in a response. It ignores
// incarnations other than the current one, so that a late response of an earlier
// incarnation does not change the current one.
func (n *Node) handleObserve(dst []Action, e Observe, now time.Time) []Action {
	i, known := n.table.find(e.Key)
	if !known || n.table.records[i].Incarnation != e.Incarnation || e.State <= n.table.records[i].State || e.State > Leaving {
		return dst
	}
	r := n.table.records[i]
	r.State = e.State
	if e.State == Leaving {
		r.Since = now
	}
	dst, _ = n.merge(dst, r, n.host, now)
	return dst
}

// handleEvidence records the times of the last response and the last failure.
func (n *Node) handleEvidence(dst []Action, e Evidence) []Action {
	i, known := n.table.find(e.Key)
	if !known {
		return dst
	}
	if e.Answered.After(n.table.lastAnswered[i]) {
		n.table.lastAnswered[i] = e.Answered
	}
	if e.Failed.After(n.table.lastFailed[i]) {
		n.table.lastFailed[i] = e.Failed
	}
	return dst
}

// merge joins a record into the table and reports whether the table changed.
// Changes are spread to other entry hosts, but not back to from.
func (n *Node) merge(dst []Action, r Record, from string, now time.Time) ([]Action, bool) {
	i, known := n.table.find(r.Key)
	switch {
	case !known && n.tombstoneExpired(&r, now), !known && len(n.table.records) >= MaxTargets:
		return dst, false
	case !known:
		i = n.table.add(r, now)
	default:
		joined := n.table.records[i].Join(r)
		if joined.hash() == n.table.hashes[i] {
			return dst, false
		}
		if joined.Incarnation != n.table.records[i].Incarnation {
			n.resetTarget(i, now)
		}
		n.table.set(i, joined)
	}
	n.updateExpiry(i, now)
	n.changes = append(n.changes, change{key: r.Key, from: from})
	return append(dst, RecordChanged{Record: n.table.records[i]}, TargetsChanged{Service: r.Service}), true
}

// resetTarget clears the state of row i that this host keeps about an earlier
// incarnation.
func (n *Node) resetTarget(i int, now time.Time) {
	n.table.lastAnnounced[i] = time.Time{}
	n.table.leaseEnd[i] = now.Add(initialLease)
	n.table.suspectSince[i] = time.Time{}
	n.table.lastAnswered[i] = time.Time{}
	n.table.lastFailed[i] = time.Time{}
	n.table.unusable[i] = false
}

// updateExpiry updates the time at which row i is removed, and its suspicion.
func (n *Node) updateExpiry(i int, now time.Time) {
	r := &n.table.records[i]
	n.table.expiresAt[i] = time.Time{}
	if r.State == Leaving || r.LeaseExpired {
		expiresAt := r.Since.Add(TombstoneTime)
		n.table.expiresAt[i] = clamp(expiresAt, now.Add(minExpiry), now.Add(TombstoneTime))
	}
	n.updateSuspicion(i, now)
}

// tombstoneExpired reports whether a target is not to be added because it left, or
// its lease expired, at least TombstoneTime ago.
func (n *Node) tombstoneExpired(r *Record, now time.Time) bool {
	return (r.State == Leaving || r.LeaseExpired) && now.Sub(r.Since) >= TombstoneTime
}

func clamp(t, lo, hi time.Time) time.Time {
	if t.Before(lo) {
		return lo
	}
	if t.After(hi) {
		return hi
	}
	return t
}
