package quorum

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// learn takes in a value that a majority holds.
func (n *Node) learn(v Value) {
	fresh, learnt := n.acceptor.Learn(v)
	if !fresh {
		return
	}
	if n.identity.Stage == StageBlank {
		n.identity.Stage = StageDamaged // A cluster with values is not to be founded again.
		n.save(n.identity)
	}
	n.save(learnt)
	n.out.Learnt = append(n.out.Learnt, v)
	if v.Revision >= n.acceptor.Register(v.Name).Value.Revision {
		delete(n.unlearnt, v.Name)
	}
}

// Pending appends the values that this host has accepted and does not know to
// be chosen to dst and returns it.
func (n *Node) Pending(dst []Value) []Value {
	for _, r := range n.acceptor.Registers(nil) {
		if r.Value.Revision > n.acceptor.Learnt(r.Name).Chosen.Revision {
			dst = append(dst, r.Value)
		}
	}
	return dst
}

// noteUnlearnt remembers when a value was accepted that is not learnt yet.
func (n *Node) noteUnlearnt(now time.Time, v Value) {
	if v.Revision <= n.acceptor.Learnt(v.Name).Chosen.Revision {
		delete(n.unlearnt, v.Name)
		return
	}
	n.unlearnt[v.Name] = now
}

// finish reads values that have been accepted for a while but not learnt: the
// proposer may have died before it told anyone.
func (n *Node) finish(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.unlearnt)) {
		if now.Sub(n.unlearnt[name]) < finishAfter || len(n.queues[name]) > 0 {
			continue
		}
		n.unlearnt[name] = now.Add(time.Duration(n.rng.Int64N(int64(finishAfter))))
		n.event(Event{Kind: EventFinish, Name: name})
		n.tickets++
		p := &proposal{ticket: n.tickets, change: Change{Name: name}, read: true, background: true, limit: now.Add(proposalLimit)}
		n.queues[name] = []*proposal{p}
		n.begin(now, p)
	}
}

// findUnlearnt looks for accepted values that are not learnt, after a start.
func (n *Node) findUnlearnt(now time.Time) {
	for _, r := range n.acceptor.Registers(nil) {
		n.noteUnlearnt(now, r.Value)
	}
}

func (n *Node) learntDigest() uint64 {
	digest := fnv.New64a()
	for _, v := range n.acceptor.Chosen(nil) {
		digest.Write([]byte(v.Name + "\n"))
		digest.Write(binary.BigEndian.AppendUint64(nil, v.Revision))
	}
	return digest.Sum64()
}

// fetch answers a Fetch with the learnt values that the sender lacks.
func (n *Node) fetch(from string, m *Fetch) {
	if !m.Listed {
		n.send(from, &Values{Sequence: m.Sequence, Differ: m.Digest != n.learntDigest()})
		return
	}
	held := make(map[string]uint64, len(m.Held))
	for _, h := range m.Held {
		held[h.Name] = h.Revision
	}
	reply := &Values{Sequence: m.Sequence}
	for _, v := range n.acceptor.Chosen(nil) {
		if v.Revision > held[v.Name] {
			reply.Values = append(reply.Values, v)
		}
	}
	n.send(from, reply)
}

// startFetch asks all other hosts whether they have learnt something newer.
func (n *Node) startFetch(now time.Time) {
	n.fetches++
	n.fetched = now
	n.broadcast(&Fetch{Sequence: n.fetches, Digest: n.learntDigest()})
}

// values takes in the answer to a Fetch. An answer to the latest fetch
// confirms that this host has learnt all that the sender had when that fetch
// began; an older one, as may lie in a socket while the host is frozen,
// confirms nothing.
func (n *Node) values(from string, m *Values) {
	if m.Differ {
		list := &Fetch{Sequence: m.Sequence, Listed: true}
		for _, v := range n.acceptor.Chosen(nil) {
			list.Held = append(list.Held, Held{Name: v.Name, Revision: v.Revision})
		}
		n.send(from, list)
		return
	}
	for _, v := range m.Values {
		n.learn(v)
	}
	if m.Sequence == n.fetches {
		n.synced[from] = n.fetched
	}
}
