package member

import (
	"slices"
	"time"
)

// tick runs every system whose time has come over the table.
func (n *Node) tick(dst []Action, now time.Time) []Action {
	if len(n.pending) > 0 && !n.nextFlush.IsZero() && !now.Before(n.nextFlush) {
		dst = n.flush(dst, now)
	}
	dst = n.giveUpWaiting(dst, now)
	if !now.Before(n.nextSweep) {
		n.nextSweep = now.Add(sweepInterval)
		dst = n.sweep(dst, now)
	}
	if !n.alone() && !now.Before(n.nextDigest) {
		n.nextDigest = now.Add(digestInterval*3/4 + time.Duration(n.rng.Int64N(int64(digestInterval/2))))
		dst = n.digest(dst)
	}
	return dst
}

// giveUpWaiting answers the leaving targets whose record nobody acknowledged.
func (n *Node) giveUpWaiting(dst []Action, now time.Time) []Action {
	var late []uint64
	for id, w := range n.waiting {
		if !now.Before(w.deadline) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		reject := Reject{ID: id, Err: ErrIsolated}
		if i, ok := n.table.find(n.waiting[id].key); ok {
			reject.Current = n.table.records[i]
		}
		delete(n.waiting, id)
		dst = append(dst, reject)
	}
	return dst
}

// digest compares tables with one other host. All hosts have their turn, in a
// new random order each round.
func (n *Node) digest(dst []Action) []Action {
	if len(n.order) == 0 {
		n.order = slices.DeleteFunc(slices.Clone(n.ring), func(host string) bool { return host == n.host })
		n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	}
	to := n.order[0]
	n.order = n.order[1:]
	return n.send(dst, sending{to: to, message: Digest{Sum: n.table.total, AnnounceAddress: n.address}})
}

// sweep brings leases, suspicions and tombstones up to date.
func (n *Node) sweep(dst []Action, now time.Time) []Action {
	n.vouched = 0
	for i := 0; i < len(n.table.records); i++ {
		if n.over(i, now) {
			dst = append(dst, Retarget{Service: n.table.records[i].Service})
			n.table.remove(i)
			i--
			continue
		}
		if n.table.records[i].State == Leaving {
			continue
		}
		dst = n.lapse(dst, i, now)
		if n.suspect(i, now) {
			dst = append(dst, Retarget{Service: n.table.records[i].Service})
		}
		if r := &n.table.records[i]; r.Voucher == n.host && !r.Lapsed {
			n.vouched++
		}
	}
	return dst
}

// over reports whether row i is no longer remembered. A lapsed target that
// still answers stays.
func (n *Node) over(i int, now time.Time) bool {
	end := n.table.expiry[i]
	if end.IsZero() || now.Before(end) {
		return false
	}
	return n.table.records[i].State == Leaving || now.Sub(n.table.answered[i]) >= UnusedAfter
}

// lapse ends the lease of a target that this host vouches for, or whose
// voucher has been silent for OrphanAfter when this host is the first of
// those that are not.
func (n *Node) lapse(dst []Action, i int, now time.Time) []Action {
	r := n.table.records[i]
	if r.Lapsed {
		return dst
	}
	switch {
	case r.Voucher == n.host && !now.Before(n.table.due[i]):
	case n.silent(r.Voucher, OrphanAfter, now) && n.first(now):
		r.Voucher = n.host
		r.Epoch++
	default:
		return dst
	}
	r.Lapsed, r.Since = true, now
	dst, _ = n.merge(dst, r, n.host, now)
	return dst
}

// first reports whether this host is the first of the ring that is not silent.
func (n *Node) first(now time.Time) bool {
	for _, host := range n.ring {
		if !n.silent(host, OrphanAfter, now) {
			return host == n.host
		}
	}
	return false
}

// suspect brings the suspicion of row i up to date and reports whether its
// usability or suspicion changed.
func (n *Node) suspect(i int, now time.Time) bool {
	r := &n.table.records[i]
	was, wasGone := !n.table.suspected[i].IsZero(), n.table.gone[i]
	heardHere := !n.table.heard[i].IsZero() && now.Sub(n.table.heard[i]) < n.lease()
	is := r.Lapsed || !heardHere && n.silent(r.Voucher, n.silence(), now)
	switch {
	case !is:
		n.table.suspected[i] = time.Time{}
		n.table.gone[i] = false
	case !was:
		n.table.suspected[i] = now
		if r.Lapsed && r.Since.Before(now) {
			// One that lapsed long ago is not given another chance by a host
			// that has only now heard of it.
			n.table.suspected[i] = r.Since
		}
	}
	if is {
		n.table.gone[i] = n.stoppedAnswering(i, now)
	}
	return is != was || n.table.gone[i] != wasGone
}

// stoppedAnswering reports whether suspect row i has given no answer for
// GoneAfter although it was tried, or for UnusedAfter when it was not.
func (n *Node) stoppedAnswering(i int, now time.Time) bool {
	last := n.table.suspected[i]
	if n.table.answered[i].After(last) {
		last = n.table.answered[i]
	}
	quiet := now.Sub(last)
	if quiet >= UnusedAfter {
		return true
	}
	return quiet >= GoneAfter && n.table.failed[i].After(last)
}
