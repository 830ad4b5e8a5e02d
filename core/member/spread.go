package member

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// flush spreads all queued changes, each to three hosts: the next two on the ring
// and the opposite one. Every host spreads a change that is new to it, so that the
// change reaches all hosts in a few hops even if the sender crashes, and no host
// sends more than three messages for a change, apart from retries.
func (n *Node) flush(dst []Action, now time.Time) []Action {
	byOrigin := make(map[string][]Record)
	retries := make(map[string]int)
	var origins []string
	for _, c := range n.changes {
		i, known := n.table.find(c.key)
		if !known || slices.ContainsFunc(byOrigin[c.from], func(r Record) bool { return r.Key == c.key }) {
			continue
		}
		if _, seen := byOrigin[c.from]; !seen {
			origins = append(origins, c.from)
		}
		byOrigin[c.from] = append(byOrigin[c.from], n.table.records[i])
		retries[c.from] = max(retries[c.from], c.retries)
	}
	n.changes = n.changes[:0]
	n.nextFlush = time.Time{}
	for _, from := range origins {
		for _, to := range n.spreadHosts(from, now) {
			dst = n.send(dst, outgoing{to: to, message: Spread{Records: byOrigin[from]}, excluded: []string{n.host, from}, retries: retries[from]})
		}
	}
	return dst
}

// spreadHosts returns the hosts to which a change that came from the host from is
// spread. If all are down, it returns them as if none were.
func (n *Node) spreadHosts(from string, now time.Time) []string {
	if list := n.spreadHostsAt(from, now); len(list) > 0 {
		return list
	}
	return n.spreadHostsAt(from, now.Add(downPeriod))
}

// spreadHostsAt returns the hosts to spread to that are not down at time now: up
// to three, never this host or from.
func (n *Node) spreadHostsAt(from string, now time.Time) []string {
	var list []string
	avoid := []string{n.host, from}
	for _, offset := range []int{1, 2, len(n.ring) / 2} {
		if to, ok := n.successor(offset, append(avoid, list...), now); ok {
			list = append(list, to)
		}
	}
	return list
}

// successor returns the first host at or after offset from this host on the ring
// that is neither down nor in avoid, and false if there is none.
func (n *Node) successor(offset int, avoid []string, now time.Time) (string, bool) {
	self := n.ringIndex()
	for k := range len(n.ring) {
		host := n.ring[(self+offset+k)%len(n.ring)]
		if !slices.Contains(avoid, host) && !now.Before(n.downUntil[host]) {
			return host, true
		}
	}
	return "", false
}

// ringIndex returns the index of this host on the ring.
func (n *Node) ringIndex() int {
	return slices.Index(n.ring, n.host)
}

// send appends a Send of s and records s until its reply or failure.
func (n *Node) send(dst []Action, s outgoing) []Action {
	n.nextID++
	s.excluded = append(slices.Clone(s.excluded), s.to)
	n.inFlight[n.nextID] = s
	return append(dst, Send{ID: n.nextID, To: s.to, Message: s.message})
}

// handleReceive handles a message from another entry host and replies to it.
func (n *Node) handleReceive(dst []Action, e Receive, now time.Time) []Action {
	n.recordContact(e.From, now)
	switch m := e.Message.(type) {
	case Spread:
		dst = append(dst, Respond{Reply: SpreadReply{}})
		dst = n.mergeAll(dst, m.Records, e.From, now)
		return n.flushLeaving(dst, now)
	case Digest:
		n.recordAddress(e.From, m.AnnounceAddress)
		reply := DigestReply{Same: m.Sum == n.table.hash, AnnounceAddress: n.announceAddress}
		if !reply.Same {
			reply.Sums = slices.Clone(n.table.bucketHashes[:])
		}
		return append(dst, Respond{Reply: reply})
	case Repair:
		dst = n.mergeAll(dst, m.Records, e.From, now)
		return append(dst, Respond{Reply: RepairReply{Records: n.differingRecords(m)}})
	}
	return dst
}

// differingRecords returns the records in the buckets of a Repair that differ
// from those in the message.
func (n *Node) differingRecords(m Repair) []Record {
	sentHashes := make(map[Key]uint64, len(m.Records))
	for i := range m.Records {
		sentHashes[m.Records[i].Key] = m.Records[i].hash()
	}
	return slices.DeleteFunc(n.table.inBuckets(nil, m.Mask), func(r Record) bool { return sentHashes[r.Key] == r.hash() })
}

// mergeAll merges the records that another host sent and skips invalid ones.
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

// flushLeaving spreads the changes at once if a leaving target is among them;
// otherwise they wait for the next flush.
func (n *Node) flushLeaving(dst []Action, now time.Time) []Action {
	for _, c := range n.changes {
		if i, ok := n.table.find(c.key); ok && n.table.records[i].State == Leaving {
			return n.flush(dst, now)
		}
	}
	return dst
}

// recordContact records that a message or reply of host arrived now; the host no
// longer counts as down.
func (n *Node) recordContact(host string, now time.Time) {
	// Hosts that are not on the ring count too, so that hosts can be added to
	// the peer lists one by one.
	if slices.Contains(n.ring, host) || len(n.lastContact) < maxContacts {
		n.lastContact[host] = now
	}
	delete(n.downUntil, host)
}

// recordAddress records the announce address of another host.
func (n *Node) recordAddress(host string, a netip.AddrPort) {
	if a.IsValid() && slices.Contains(n.ring, host) {
		n.announceAddresses[host] = a
	}
}

// handleSendReplied handles the reply to a message.
func (n *Node) handleSendReplied(dst []Action, e SendReplied, now time.Time) []Action {
	s, ok := n.inFlight[e.ID]
	if !ok {
		return dst
	}
	delete(n.inFlight, e.ID)
	n.recordContact(s.to, now)
	switch reply := e.Reply.(type) {
	case SpreadReply:
		return n.acceptAcked(dst, s.message)
	case DigestReply:
		n.recordAddress(s.to, reply.AnnounceAddress)
		if reply.Same {
			n.synced = true
			return dst
		}
		return n.sendRepair(dst, s.to, reply.Sums)
	case RepairReply:
		startingUp := !n.synced && now.Sub(n.started) < startupPeriod
		queued := len(n.changes)
		dst = n.mergeAll(dst, reply.Records, s.to, now)
		if startingUp {
			// The other hosts already have the records that a new host receives.
			n.changes = n.changes[:queued]
		}
		n.synced = true
		return n.flushLeaving(dst, now)
	}
	return dst
}

// sendRepair sends the records of all buckets whose hashes differ.
func (n *Node) sendRepair(dst []Action, to string, sums []uint64) []Action {
	if len(sums) != DigestBuckets {
		return dst
	}
	var mask uint64
	for b, sum := range sums {
		if sum != n.table.bucketHashes[b] {
			mask |= 1 << b
		}
	}
	if bits.OnesCount64(mask) == 0 {
		return dst
	}
	return n.send(dst, outgoing{to: to, message: Repair{Mask: mask, Records: n.table.inBuckets(nil, mask)}})
}

// acceptAcked accepts the announcements of leaving targets whose records another
// host has acknowledged.
func (n *Node) acceptAcked(dst []Action, m Message) []Action {
	spread, ok := m.(Spread)
	if !ok {
		return dst
	}
	for i := range spread.Records {
		if spread.Records[i].State != Leaving {
			continue
		}
		for _, id := range n.pendingAcksFor(spread.Records[i].Key) {
			delete(n.pendingAcks, id)
			dst = append(dst, n.accept(id, spread.Records[i].Key))
		}
	}
	return dst
}

// pendingAcksFor returns the IDs of the waiting announcements of a target in
// ascending order.
func (n *Node) pendingAcksFor(k Key) []uint64 {
	var ids []uint64
	for id, ack := range n.pendingAcks {
		if ack.key == k {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// handleSendFailed marks a host as down and sends a Spread to the next host
// instead. If no host is left, the records are spread again after
// spreadRetryDelay, at most maxSpreadRetries times.
func (n *Node) handleSendFailed(dst []Action, e SendFailed, now time.Time) []Action {
	s, ok := n.inFlight[e.ID]
	if !ok {
		return dst
	}
	delete(n.inFlight, e.ID)
	n.downUntil[s.to] = now.Add(downPeriod)
	spread, ok := s.message.(Spread)
	if !ok {
		return dst
	}
	if to, ok := n.successor(1, s.excluded, now); ok {
		s.to = to
		return n.send(dst, s)
	}
	if s.retries < maxSpreadRetries {
		for i := range spread.Records {
			n.changes = append(n.changes, change{key: spread.Records[i].Key, from: n.host, retries: s.retries + 1})
		}
		n.nextFlush = now.Add(spreadRetryDelay)
	}
	return dst
}
