package member

import (
	"slices"
	"time"
)

// handleTick runs what is due of flush, acknowledgement timeouts, sweep and digest.
func (n *Node) handleTick(dst []Action, now time.Time) []Action {
	if len(n.changes) > 0 && !n.nextFlush.IsZero() && !now.Before(n.nextFlush) {
		dst = n.flush(dst, now)
	}
	dst = n.rejectUnacked(dst, now)
	if !now.Before(n.nextSweep) {
		n.nextSweep = now.Add(sweepInterval)
		dst = n.sweep(dst, now)
	}
	if !n.alone() && !now.Before(n.nextDigest) {
		n.nextDigest = now.Add(digestInterval*3/4 + time.Duration(n.rng.Int64N(int64(digestInterval/2))))
		dst = n.sendDigest(dst)
	}
	return dst
}

// rejectUnacked rejects the announcements of leaving targets whose records no
// other host has acknowledged within AckTimeout.
func (n *Node) rejectUnacked(dst []Action, now time.Time) []Action {
	var expired []uint64
	for id, ack := range n.pendingAcks {
		if !now.Before(ack.deadline) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		reject := Reject{ID: id, Err: ErrIsolated}
		if i, ok := n.table.find(n.pendingAcks[id].key); ok {
			reject.Current = n.table.records[i]
		}
		delete(n.pendingAcks, id)
		dst = append(dst, reject)
	}
	return dst
}

// sendDigest sends a digest to one other host. Each round covers all hosts in a
// new random order.
func (n *Node) sendDigest(dst []Action) []Action {
	if len(n.digestOrder) == 0 {
		n.digestOrder = slices.DeleteFunc(slices.Clone(n.ring), func(host string) bool { return host == n.host })
		n.rng.Shuffle(len(n.digestOrder), func(i, j int) { n.digestOrder[i], n.digestOrder[j] = n.digestOrder[j], n.digestOrder[i] })
	}
	to := n.digestOrder[0]
	n.digestOrder = n.digestOrder[1:]
	return n.send(dst, outgoing{to: to, message: Digest{Sum: n.table.hash, AnnounceAddress: n.announceAddress}})
}

// sweep expires leases, updates suspicions, removes expired rows and counts the
// owned targets.
func (n *Node) sweep(dst []Action, now time.Time) []Action {
	n.ownedTargets = 0
	for i := 0; i < len(n.table.records); i++ {
		if n.rowExpired(i, now) {
			dst = append(dst, TargetsChanged{Service: n.table.records[i].Service})
			n.table.remove(i)
			i--
			continue
		}
		if n.table.records[i].State == Leaving {
			continue
		}
		dst = n.expireLease(dst, i, now)
		if n.updateSuspicion(i, now) {
			dst = append(dst, TargetsChanged{Service: n.table.records[i].Service})
		}
		if r := &n.table.records[i]; r.Owner == n.host && !r.LeaseExpired {
			n.ownedTargets++
		}
	}
	return dst
}

// rowExpired reports whether row i is to be removed. A target whose lease has
// expired is kept while it responds to calls.
func (n *Node) rowExpired(i int, now time.Time) bool {
	expiresAt := n.table.expiresAt[i]
	if expiresAt.IsZero() || now.Before(expiresAt) {
		return false
	}
	return n.table.records[i].State == Leaving || now.Sub(n.table.lastAnswered[i]) >= UnusedTimeout
}

// expireLease marks the lease of row i as expired if this host owns the lease and
// its end has passed. If the owner has been silent for OwnerTimeout, the first
// responsive host on the ring takes the lease over and marks it as expired.
func (n *Node) expireLease(dst []Action, i int, now time.Time) []Action {
	r := n.table.records[i]
	if r.LeaseExpired {
		return dst
	}
	switch {
	case r.Owner == n.host && !now.Before(n.table.leaseEnd[i]):
	case n.silent(r.Owner, OwnerTimeout, now) && n.firstResponsive(now):
		r.Owner = n.host
		r.Epoch++
	default:
		return dst
	}
	r.LeaseExpired, r.Since = true, now
	dst, _ = n.merge(dst, r, n.host, now)
	return dst
}

// firstResponsive reports whether this host is the first on the ring that has not
// been silent for OwnerTimeout.
func (n *Node) firstResponsive(now time.Time) bool {
	for _, host := range n.ring {
		if !n.silent(host, OwnerTimeout, now) {
			return host == n.host
		}
	}
	return false
}

// updateSuspicion updates the suspicion of row i and reports whether its
// suspicion or usability changed.
func (n *Node) updateSuspicion(i int, now time.Time) bool {
	r := &n.table.records[i]
	wasSuspect, wasUnusable := !n.table.suspectSince[i].IsZero(), n.table.unusable[i]
	announcedHere := !n.table.lastAnnounced[i].IsZero() && now.Sub(n.table.lastAnnounced[i]) < n.leaseDuration()
	isSuspect := r.LeaseExpired || !announcedHere && n.silent(r.Owner, n.ownerSilence(), now)
	switch {
	case !isSuspect:
		n.table.suspectSince[i] = time.Time{}
		n.table.unusable[i] = false
	case !wasSuspect:
		n.table.suspectSince[i] = now
		if r.LeaseExpired && r.Since.Before(now) {
			// FailingTimeout and UnusedTimeout run from the end of the lease,
			// also on a host that receives the record much later.
			n.table.suspectSince[i] = r.Since
		}
	}
	if isSuspect {
		n.table.unusable[i] = n.unresponsive(i, now)
	}
	return isSuspect != wasSuspect || n.table.unusable[i] != wasUnusable
}

// unresponsive reports whether the suspect target in row i has not responded for
// FailingTimeout although an attempt of a call failed, or for UnusedTimeout in any
// case. Both run from its last response or the start of the suspicion, whichever is
// later.
func (n *Node) unresponsive(i int, now time.Time) bool {
	last := n.table.suspectSince[i]
	if n.table.lastAnswered[i].After(last) {
		last = n.table.lastAnswered[i]
	}
	unanswered := now.Sub(last)
	if unanswered >= UnusedTimeout {
		return true
	}
	return unanswered >= FailingTimeout && n.table.lastFailed[i].After(last)
}
