package member

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// flush sends all changes that have not been spread, each to three hosts: the
// next two of the ring and the one across. Every host does so when a change
// is new to it, so that all are reached in a few hops although the sender
// dies, and no host sends more than three messages for a change.
func (n *Node) flush(dst []Action, now time.Time) []Action {
	byOrigin := make(map[string][]Record)
	retries := make(map[string]int)
	var origins []string
	for _, p := range n.pending {
		i, known := n.table.find(p.key)
		if !known || slices.ContainsFunc(byOrigin[p.from], func(r Record) bool { return r.Key == p.key }) {
			continue
		}
		if _, seen := byOrigin[p.from]; !seen {
			origins = append(origins, p.from)
		}
		byOrigin[p.from] = append(byOrigin[p.from], n.table.records[i])
		retries[p.from] = max(retries[p.from], p.retries)
	}
	n.pending = n.pending[:0]
	n.nextFlush = time.Time{}
	for _, from := range origins {
		for _, to := range n.links(from, now) {
			dst = n.send(dst, sending{to: to, message: Spread{Records: byOrigin[from]}, tried: []string{n.host, from}, retries: retries[from]})
		}
	}
	return dst
}

// links returns the hosts that a change from another host is sent to. When all
// are down, they are tried nevertheless.
func (n *Node) links(from string, now time.Time) []string {
	if list := n.linksAt(from, now); len(list) > 0 {
		return list
	}
	return n.linksAt(from, now.Add(downTime))
}

// linksAt returns the links among the hosts that are not down at now.
func (n *Node) linksAt(from string, now time.Time) []string {
	var list []string
	avoid := []string{n.host, from}
	for _, offset := range []int{1, 2, len(n.ring) / 2} {
		if to, ok := n.successor(offset, append(avoid, list...), now); ok {
			list = append(list, to)
		}
	}
	return list
}

// successor returns the first host from offset on the ring that is not known
// to be down and not among avoid.
func (n *Node) successor(offset int, avoid []string, now time.Time) (string, bool) {
	self := n.position()
	for k := range len(n.ring) {
		host := n.ring[(self+offset+k)%len(n.ring)]
		if !slices.Contains(avoid, host) && !now.Before(n.down[host]) {
			return host, true
		}
	}
	return "", false
}

func (n *Node) position() int {
	return slices.Index(n.ring, n.host)
}

func (n *Node) send(dst []Action, s sending) []Action {
	n.nextID++
	s.tried = append(slices.Clone(s.tried), s.to)
	n.sent[n.nextID] = s
	return append(dst, Send{ID: n.nextID, To: s.to, Message: s.message})
}

// receive answers a message of another entry host.
func (n *Node) receive(dst []Action, e Receive, now time.Time) []Action {
	n.reached(e.From, now)
	switch m := e.Message.(type) {
	case Spread:
		dst = append(dst, Respond{Reply: SpreadReply{}})
		dst = n.mergeAll(dst, m.Records, e.From, now)
		return n.flushLeaving(dst, now)
	case Digest:
		n.learnAddress(e.From, m.AnnounceAddress)
		reply := DigestReply{Same: m.Sum == n.table.total, AnnounceAddress: n.address}
		if !reply.Same {
			reply.Sums = slices.Clone(n.table.buckets[:])
		}
		return append(dst, Respond{Reply: reply})
	case Repair:
		dst = n.mergeAll(dst, m.Records, e.From, now)
		return append(dst, Respond{Reply: RepairReply{Records: n.differing(m)}})
	}
	return dst
}

// differing returns the records in the buckets of a Repair that are not
// equal to those it carried.
func (n *Node) differing(m Repair) []Record {
	given := make(map[Key]uint64, len(m.Records))
	for i := range m.Records {
		given[m.Records[i].Key] = m.Records[i].sum()
	}
	return slices.DeleteFunc(n.table.inBuckets(nil, m.Mask), func(r Record) bool { return given[r.Key] == r.sum() })
}

// mergeAll joins the records that another host sent.
func (n *Node) mergeAll(dst []Action, records []Record, from string, now time.Time) []Action {
	for _, r := range records {
		if r.Validate() != nil {
			continue
		}
		r.Suspect = false
		dst, _ = n.merge(dst, r, from, now)
	}
	return dst
}

// flushLeaving spreads at once when a target that is leaving is among the
// changes; others wait for the next flush.
func (n *Node) flushLeaving(dst []Action, now time.Time) []Action {
	for _, p := range n.pending {
		if i, ok := n.table.find(p.key); ok && n.table.records[i].State == Leaving {
			return n.flush(dst, now)
		}
	}
	return dst
}

func (n *Node) reached(host string, now time.Time) {
	// Hosts that are not listed yet count too, so that one can be added.
	if slices.Contains(n.ring, host) || len(n.contact) < maxContacts {
		n.contact[host] = now
	}
	delete(n.down, host)
}

// learnAddress notes where another host takes announcements.
func (n *Node) learnAddress(host string, a netip.AddrPort) {
	if a.IsValid() && slices.Contains(n.ring, host) {
		n.announce[host] = a
	}
}

// replied takes the reply to a message.
func (n *Node) replied(dst []Action, e Replied, now time.Time) []Action {
	s, ok := n.sent[e.ID]
	if !ok {
		return dst
	}
	delete(n.sent, e.ID)
	n.reached(s.to, now)
	switch reply := e.Reply.(type) {
	case SpreadReply:
		return n.acknowledged(dst, s.message)
	case DigestReply:
		n.learnAddress(s.to, reply.AnnounceAddress)
		if reply.Same {
			n.synced = true
			return dst
		}
		return n.repair(dst, s.to, reply.Sums)
	case RepairReply:
		fresh := !n.synced && now.Sub(n.started) < freshLife
		held := len(n.pending)
		dst = n.mergeAll(dst, reply.Records, s.to, now)
		if fresh {
			// A host that has just started learns what others know already.
			n.pending = n.pending[:held]
		}
		n.synced = true
		return n.flushLeaving(dst, now)
	}
	return dst
}

// repair sends the records of all buckets that differ.
func (n *Node) repair(dst []Action, to string, sums []uint64) []Action {
	if len(sums) != Buckets {
		return dst
	}
	var mask uint64
	for b, sum := range sums {
		if sum != n.table.buckets[b] {
			mask |= 1 << b
		}
	}
	if bits.OnesCount64(mask) == 0 {
		return dst
	}
	return n.send(dst, sending{to: to, message: Repair{Mask: mask, Records: n.table.inBuckets(nil, mask)}})
}

// acknowledged answers the leaving targets whose record another host has.
func (n *Node) acknowledged(dst []Action, m Message) []Action {
	spread, ok := m.(Spread)
	if !ok {
		return dst
	}
	for i := range spread.Records {
		if spread.Records[i].State != Leaving {
			continue
		}
		for _, id := range n.waitingFor(spread.Records[i].Key) {
			delete(n.waiting, id)
			dst = append(dst, n.accept(id, spread.Records[i].Key))
		}
	}
	return dst
}

// waitingFor returns the announcements of a target that wait, in order.
func (n *Node) waitingFor(k Key) []uint64 {
	var ids []uint64
	for id, w := range n.waiting {
		if w.key == k {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// failed notes a host as down and hands a change to the next one instead. When
// there is none, the change is spread again a little later.
func (n *Node) failed(dst []Action, e Failed, now time.Time) []Action {
	s, ok := n.sent[e.ID]
	if !ok {
		return dst
	}
	delete(n.sent, e.ID)
	n.down[s.to] = now.Add(downTime)
	spread, ok := s.message.(Spread)
	if !ok {
		return dst
	}
	if to, ok := n.successor(1, s.tried, now); ok {
		s.to = to
		return n.send(dst, s)
	}
	if s.retries < mostRetries {
		for i := range spread.Records {
			n.pending = append(n.pending, pending{key: spread.Records[i].Key, from: n.host, retries: s.retries + 1})
		}
		n.nextFlush = now.Add(spreadRetry)
	}
	return dst
}
