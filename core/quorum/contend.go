package quorum

import "time"

// rival is the proposer of another host that is changing a document. Proposals of this host
// for the document wait for it: to outbid it would throw away its work, and with several
// hosts that all outbid each other, no ballot would end before the callers' deadlines.
type rival struct {
	ballot Ballot
	// version is the version of the change; 0 if it has none.
	version uint64
	// accepting is true once the rival has asked for its value to be accepted.
	accepting bool
	// heardAt is when the last Prepare or Accept of the rival arrived.
	heardAt time.Time
}

// announcement is the highest version that another host is known to propose.
type announcement struct {
	version uint64
	// heardAt is when the last Prepare for the version arrived.
	heardAt time.Time
}

// rivalTimeout is the time since the last message of a rival after which proposals no longer
// wait for it. A rival that works sends a message at least once per phase.
const rivalTimeout = phaseTimeout

// isBased reports whether the change is based on a revision, which it names.
func (c *Change) isBased() bool {
	return c.Version == 0 && c.Edit == nil && len(c.Next) == 0
}

// mustWait reports whether p waits for a rival. A change with a higher version than that of
// a rival does not wait while the rival's value has not been sent: it makes the value of a
// lower version superfluous, and changes without a version can follow it. For the same
// reason a change waits until an announced higher version is chosen.
func (n *Node) mustWait(now time.Time, p *proposal) bool {
	a := n.announced[p.change.Name]
	if !p.read && now.Sub(a.heardAt) < rivalTimeout && a.version > max(p.change.Version, n.acceptor.Learnt(p.change.Name).Chosen.Version) {
		return true
	}
	r, ok := n.rivals[p.change.Name]
	if !ok {
		return false
	}
	if now.Sub(r.heardAt) >= rivalTimeout {
		delete(n.rivals, p.change.Name)
		return false
	}
	return r.accepting || r.version >= p.change.Version
}

// trackPrepare records the sender of a Prepare as a rival, if this host has promised its
// ballot. If this host has rejected it while it prepares a ballot of its own for a change
// without a version or with a lower one, it abandons its own ballot: the sender is about to
// try a higher one.
func (n *Node) trackPrepare(now time.Time, m *Prepare, promised bool) {
	if a := n.announced[m.Name]; m.Version >= a.version && m.Version > 0 || now.Sub(a.heardAt) >= rivalTimeout {
		n.announced[m.Name] = announcement{version: m.Version, heardAt: now}
	}
	if promised {
		n.rivals[m.Name] = rival{ballot: m.Ballot, version: m.Version, heardAt: now}
		return
	}
	p := n.activeProposal(m.Name, phasePrepare)
	if p != nil && !p.read && p.change.Version < m.Version {
		n.preempt(now, p, m.Ballot)
	}
}

// trackAccept records the sender of an Accept as a rival.
func (n *Node) trackAccept(now time.Time, m *Accept) {
	n.rivals[m.Value.Name] = rival{ballot: m.Ballot, version: m.Value.Version, accepting: true, heardAt: now}
}

// endRival removes the rival of a document if it is the given host, which has completed its
// ballot.
func (n *Node) endRival(name, host string) {
	if n.rivals[name].ballot.Host == host {
		delete(n.rivals, name)
	}
}

// promoteHighest makes p, the active proposal of its document, carry the highest version
// that waits at this host, unless p is a read or its change is based on a revision. The
// change that p carried before takes the place of that version in the queue.
func (n *Node) promoteHighest(p *proposal) {
	if p.read || p.change.isBased() {
		return
	}
	for _, q := range n.queues[p.change.Name][1:] {
		if q.change.Version > p.change.Version {
			p.change, q.change = q.change, p.change
			p.ticket, q.ticket = q.ticket, p.ticket
			p.deadline, q.deadline = q.deadline, p.deadline
			p.cancelled, q.cancelled = q.cancelled, p.cancelled
		}
	}
}

// coverQueued marks the queued changes that the value of p makes superfluous. Its accept
// phase is about to begin, so that the value is at least as new as all that were chosen
// before these changes were proposed.
func (n *Node) coverQueued(p *proposal) {
	for _, q := range n.queues[p.change.Name][1:] {
		if q.change.Version > 0 && (q.change.Version <= p.value.Version || len(p.value.Next) > 0) {
			q.covering = p.ballot
		}
	}
}

// completeCovered completes the queued changes that the value of p, which is chosen, makes
// superfluous.
func (n *Node) completeCovered(p *proposal) {
	queue := n.queues[p.change.Name]
	waiting := queue[:1]
	for _, q := range queue[1:] {
		if q.covering != p.ballot {
			waiting = append(waiting, q)
			continue
		}
		value, request, err := Apply(p.value, q.change)
		n.addResult(q, Result{Request: request, Value: value, Err: err})
	}
	clear(queue[len(waiting):])
	n.queues[p.change.Name] = waiting
}
