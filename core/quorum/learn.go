package quorum

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// learn records a value that a majority has accepted, if it is newer than the
// one learnt before.
func (n *Node) learn(v Value) {
	newer, learnt := n.acceptor.Learn(v)
	if !newer {
		return
	}
	if n.identity.Stage == StageBlank {
		n.identity.Stage, n.identity.Unvoted = StageDamaged, true // A cluster that holds values must not be bootstrapped again.
		n.save(n.identity)
	}
	n.save(learnt)
	n.out.Learnt = append(n.out.Learnt, v)
	if v.Revision >= n.acceptor.Register(v.Name).Value.Revision {
		delete(n.unlearntSince, v.Name)
	}
}

// Pending appends to dst the values that this host has accepted but not learnt,
// and returns it.
func (n *Node) Pending(dst []Value) []Value {
	for _, r := range n.acceptor.Registers(nil) {
		if r.Value.Revision > n.acceptor.Learnt(r.Name).Chosen.Revision {
			dst = append(dst, r.Value)
		}
	}
	return dst
}

// trackUnlearnt records now as the time at which v was accepted, unless v or a
// newer value of the document has been learnt.
func (n *Node) trackUnlearnt(now time.Time, v Value) {
	if v.Revision <= n.acceptor.Learnt(v.Name).Chosen.Revision {
		delete(n.unlearntSince, v.Name)
		return
	}
	n.unlearntSince[v.Name] = now
}

// readUnlearnt starts a read through a majority of every document with a value
// that was accepted at least unlearntReadDelay ago but not learnt: the proposer
// may have crashed before it sent a Learn.
func (n *Node) readUnlearnt(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.unlearntSince)) {
		if now.Sub(n.unlearntSince[name]) < unlearntReadDelay || len(n.queues[name]) > 0 {
			continue
		}
		n.unlearntSince[name] = now.Add(time.Duration(n.rng.Int64N(int64(unlearntReadDelay))))
		n.emit(Event{Kind: EventUnlearntRead, Name: name})
		n.lastTicket++
		p := &proposal{ticket: n.lastTicket, change: Change{Name: name}, read: true, background: true, deadline: now.Add(proposalTimeout)}
		n.queues[name] = []*proposal{p}
		n.beginProposal(now, p)
	}
}

// trackAllUnlearnt calls trackUnlearnt for all accepted values, after a start or
// a recovery.
func (n *Node) trackAllUnlearnt(now time.Time) {
	for _, r := range n.acceptor.Registers(nil) {
		n.trackUnlearnt(now, r.Value)
	}
}

// learntDigest returns a digest of the names and revisions of all learnt values.
func (n *Node) learntDigest() uint64 {
	digest := fnv.New64a()
	for _, v := range n.acceptor.Chosen(nil) {
		digest.Write([]byte(v.Name + "\n"))
		digest.Write(binary.BigEndian.AppendUint64(nil, v.Revision))
	}
	return digest.Sum64()
}

// handleFetch replies to a Fetch with the learnt values that the sender lacks,
// or, if the sender has not listed its learnt revisions, with whether its digest of
// them differs from this host's.
func (n *Node) handleFetch(from string, m *Fetch) {
	if !m.Listed {
		n.send(from, &Values{Sequence: m.Sequence, Differ: m.Digest != n.learntDigest()})
		return
	}
	senderRevisions := make(map[string]uint64, len(m.Learnt))
	for _, l := range m.Learnt {
		senderRevisions[l.Name] = l.Revision
	}
	reply := &Values{Sequence: m.Sequence}
	for _, v := range n.acceptor.Chosen(nil) {
		if v.Revision > senderRevisions[v.Name] {
			reply.Values = append(reply.Values, v)
		}
	}
	n.send(from, reply)
}

// broadcastFetch asks all peers whether they have learnt other values.
func (n *Node) broadcastFetch(now time.Time) {
	n.fetchSequence++
	n.fetchStarted = now
	n.broadcast(&Fetch{Sequence: n.fetchSequence, Digest: n.learntDigest()})
}

// handleValues handles the reply to a Fetch. A reply with Differ leads to a second
// Fetch that lists what this host has learnt. Any other reply to the latest fetch
// confirms that this host has learnt all that the sender had learnt when the fetch
// started. A reply to an earlier fetch, which may have waited in a socket while
// this host was frozen, confirms nothing.
func (n *Node) handleValues(from string, m *Values) {
	if m.Differ {
		list := &Fetch{Sequence: m.Sequence, Listed: true}
		for _, v := range n.acceptor.Chosen(nil) {
			list.Learnt = append(list.Learnt, LearntRevision{Name: v.Name, Revision: v.Revision})
		}
		n.send(from, list)
		return
	}
	for _, v := range m.Values {
		n.learn(v)
	}
	if m.Sequence == n.fetchSequence {
		n.confirmedAt[from] = n.fetchStarted
	}
}
