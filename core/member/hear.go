package member

import (
	"net/netip"
	"time"
)

// hear takes one announcement of a target.
func (n *Node) hear(dst []Action, e Announce, now time.Time) []Action {
	r := e.Record
	r.Voucher, r.Epoch, r.Lapsed, r.Suspect, r.Since = n.host, 1, false, false, time.Time{}
	i, known := n.table.find(r.Key)
	if err := n.refusal(&r, i, known); err != nil {
		reject := Reject{ID: e.ID, Err: err}
		if known {
			reject.Current = n.table.records[i]
		}
		return append(dst, reject)
	}
	if known && n.table.records[i].Incarnation == r.Incarnation {
		n.keepVoucher(&r, i, now)
	}
	if r.State == Leaving {
		r.Since = now
	}
	dst, _ = n.merge(dst, r, n.host, now)
	i, _ = n.table.find(r.Key)
	n.table.heard[i] = now
	n.table.due[i] = now.Add(n.lease())
	if r.State == Leaving {
		return n.acknowledge(dst, e.ID, r.Key, now)
	}
	return append(dst, n.accept(e.ID, r.Key))
}

// refusal returns why an announcement cannot be taken, or nil.
func (n *Node) refusal(r *Record, i int, known bool) error {
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
		return ErrStateBack
	case !r.SameProperties(current):
		return ErrProperties
	}
	return nil
}

// keepVoucher leaves the voucher as it is unless this host takes the target
// over: the lease had lapsed, the voucher is silent, or the target keeps
// announcing itself here. A target that goes round all entry hosts thus
// causes no change per announcement.
func (n *Node) keepVoucher(r *Record, i int, now time.Time) {
	current := &n.table.records[i]
	stays := !n.table.heard[i].IsZero() && now.Sub(n.table.heard[i]) < n.lease()
	takeOver := current.Lapsed ||
		current.Voucher != n.host && (stays || n.silent(current.Voucher, n.silence(), now))
	if takeOver {
		r.Epoch = current.Epoch + 1
		return
	}
	r.Voucher, r.Epoch, r.Lapsed = current.Voucher, current.Epoch, current.Lapsed
}

// acknowledge answers a leaving target once a second entry host knows.
func (n *Node) acknowledge(dst []Action, id uint64, k Key, now time.Time) []Action {
	if n.alone() {
		return append(dst, n.accept(id, k))
	}
	n.waiting[id] = waiting{key: k, deadline: now.Add(AckLimit)}
	// A resend finds the change already spread; it is sent once more, so that
	// the acknowledgement is of this very record.
	n.pending = append(n.pending, pending{key: k, from: n.host})
	return n.flush(dst, now)
}

// accept answers an announcement. A target that another host vouches for is
// asked to announce itself again soon, so that this host takes it over.
func (n *Node) accept(id uint64, k Key) Accept {
	a := Accept{ID: id, Interval: n.nextInterval(), Lease: n.lease(), Others: n.others()}
	if i, ok := n.table.find(k); ok && n.table.records[i].Voucher != n.host {
		a.Interval = n.interval
	}
	return a
}

// nextInterval returns the time between announcements at which all targets
// that this host vouches for together keep the announcement spacing.
func (n *Node) nextInterval() time.Duration {
	return min(max(n.interval, time.Duration(n.vouched)*announceSpacing), LongestInterval)
}

func (n *Node) lease() time.Duration {
	return LeaseIntervals * n.nextInterval()
}

// others returns announce addresses of the hosts that follow on the ring.
func (n *Node) others() []netip.AddrPort {
	var list []netip.AddrPort
	self := n.position()
	for offset := 1; offset < len(n.ring) && len(list) < othersNamed; offset++ {
		host := n.ring[(self+offset)%len(n.ring)]
		if a, ok := n.announce[host]; ok {
			list = append(list, a)
		}
	}
	return list
}

// observe takes a state that a target wrote on an answer. It counts only for
// the incarnation in force, so that a late answer of an earlier one does not
// mark its successor.
func (n *Node) observe(dst []Action, e Observe, now time.Time) []Action {
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

func (n *Node) evidence(dst []Action, e Evidence) []Action {
	i, known := n.table.find(e.Key)
	if !known {
		return dst
	}
	if e.Answered.After(n.table.answered[i]) {
		n.table.answered[i] = e.Answered
	}
	if e.Failed.After(n.table.failed[i]) {
		n.table.failed[i] = e.Failed
	}
	return dst
}

// merge joins a record into the table and reports whether it changed. Changes
// are spread to other entry hosts, but not back to from.
func (n *Node) merge(dst []Action, r Record, from string, now time.Time) ([]Action, bool) {
	i, known := n.table.find(r.Key)
	switch {
	case !known && n.expired(&r, now), !known && len(n.table.records) >= MaxTargets:
		return dst, false
	case !known:
		i = n.table.add(r, now)
	default:
		joined := n.table.records[i].Join(r)
		if joined.sum() == n.table.sums[i] {
			return dst, false
		}
		if joined.Incarnation != n.table.records[i].Incarnation {
			n.forget(i, now)
		}
		n.table.set(i, joined)
	}
	n.keep(i, now)
	n.pending = append(n.pending, pending{key: r.Key, from: from})
	return append(dst, Changed{Record: n.table.records[i]}, Retarget{Service: r.Service}), true
}

// forget clears what was known of an earlier incarnation.
func (n *Node) forget(i int, now time.Time) {
	n.table.heard[i] = time.Time{}
	n.table.due[i] = now.Add(unheardLease)
	n.table.suspected[i] = time.Time{}
	n.table.answered[i] = time.Time{}
	n.table.failed[i] = time.Time{}
	n.table.gone[i] = false
}

// keep sets until when row i is remembered, and its suspicion.
func (n *Node) keep(i int, now time.Time) {
	r := &n.table.records[i]
	n.table.expiry[i] = time.Time{}
	if r.State == Leaving || r.Lapsed {
		end := r.Since.Add(TombstoneTime)
		n.table.expiry[i] = clamp(end, now.Add(shortestExpiry), now.Add(TombstoneTime))
	}
	n.suspect(i, now)
}

// expired reports whether a record of an unknown target is too old to count.
func (n *Node) expired(r *Record, now time.Time) bool {
	return (r.State == Leaving || r.Lapsed) && now.Sub(r.Since) >= TombstoneTime
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
