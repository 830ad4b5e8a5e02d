package quorum

import (
	"maps"
	"slices"
	"time"
)

// recovery is the state of a host that does not vote.
type recovery struct {
	round uint64
	asked time.Time
	// blanks are the hosts that have answered this round as blank.
	blanks Roster
	// confirmed are the incarnations of an earlier round in which all other
	// hosts were blank.
	confirmed Roster
	snapshots map[string]held
}

// held is a snapshot with its sender's incarnation.
type held struct {
	incarnation Incarnation
	snapshot    *Snapshot
}

// recover asks all other hosts for what they hold.
func (n *Node) recover(now time.Time) {
	if len(n.others) == 0 && n.identity.Stage == StageBlank {
		n.found(now, Roster{})
		return
	}
	n.recovery.round++
	n.recovery.asked = now
	n.recovery.blanks = Roster{}
	for _, host := range n.others {
		if _, ok := n.recovery.snapshots[host]; !ok {
			n.send(host, &Recover{Round: n.recovery.round})
		}
	}
}

// snapshot answers a Recover. A voting host first notes, synced, that the
// sender's former incarnations are void: from then on its replies tell every
// proposer so.
func (n *Node) snapshot(e Envelope, m *Recover) {
	reply := &Snapshot{For: e.Incarnation, Round: m.Round, Stage: n.identity.Stage}
	if n.identity.Known[e.From].Compare(e.Incarnation) > 0 {
		reply.Stage = StageDamaged // The envelope tells the newer incarnation.
		n.send(e.From, reply)
		return
	}
	if n.identity.Stage == StageVoting {
		if n.durable[e.From] != e.Incarnation {
			n.save(n.identity)
		}
		reply.Registers = n.acceptor.Registers(nil)
		reply.Learnt = n.acceptor.Chosen(nil)
		reply.Founders = n.identity.Founders
	}
	n.send(e.From, reply)
}

// recovered takes in the answer to a Recover.
func (n *Node) recovered(now time.Time, e Envelope, m *Snapshot) {
	if n.identity.Stage == StageVoting || m.For != n.identity.Incarnation {
		return
	}
	switch m.Stage {
	case StageBlank:
		if n.identity.Stage == StageBlank && m.Round == n.recovery.round {
			n.recovery.blanks[e.From] = e.Incarnation
			n.tallyBlanks(now)
		}
	case StageVoting:
		if m.Founders[n.host] == n.identity.Incarnation { // It was blank then, and has not voted since.
			n.found(now, m.Founders)
			return
		}
		if n.recovery.snapshots == nil {
			n.recovery.snapshots = make(map[string]held)
		}
		n.recovery.snapshots[e.From] = held{incarnation: e.Incarnation, snapshot: m}
		n.tallySnapshots(now)
	case StageDamaged:
	}
}

// tallyBlanks founds the cluster when all other hosts were blank in two rounds
// one after the other, at the same incarnations. All were then blank at once
// in between, so nothing had ever been accepted, or all of it is lost.
func (n *Node) tallyBlanks(now time.Time) {
	blanks := n.recovery.blanks
	if len(blanks) < len(n.others) {
		return
	}
	if maps.Equal(blanks, n.recovery.confirmed) {
		n.found(now, blanks)
		return
	}
	n.recovery.confirmed = blanks
	n.recover(now)
}

// found begins to vote with an empty catalogue.
func (n *Node) found(now time.Time, founders Roster) {
	n.identity.Founders = founders.clone()
	n.identity.Founders[n.host] = n.identity.Incarnation
	n.identity.Known.merge(n.identity.Founders)
	n.event(Event{Kind: EventFounded})
	n.vote(now)
}

// tallySnapshots ends the recovery when snapshots of enough voting hosts are
// there. A snapshot counts only while its sender is known at no newer
// incarnation.
func (n *Node) tallySnapshots(now time.Time) {
	for host, s := range n.recovery.snapshots {
		if n.identity.Known[host].Compare(s.incarnation) > 0 {
			delete(n.recovery.snapshots, host)
		}
	}
	if len(n.recovery.snapshots) < RecoveryReads(len(n.others)+1) {
		return
	}
	registers := make(map[string]Register)
	for _, host := range slices.Sorted(maps.Keys(n.recovery.snapshots)) {
		s := n.recovery.snapshots[host].snapshot
		for _, r := range s.Registers {
			registers[r.Name] = newest(registers[r.Name], r)
		}
		for _, v := range s.Learnt {
			n.learn(v)
		}
		if s.Founders != nil {
			n.identity.Founders = s.Founders
		}
	}
	for _, name := range slices.Sorted(maps.Keys(registers)) {
		r := registers[name]
		n.acceptor.Restore(r)
		n.names[name] = true
		n.round = max(n.round, r.Promised.Round)
		n.save(r)
	}
	n.counters.Recoveries++
	n.event(Event{Kind: EventRecovered})
	n.vote(now)
}

// newest joins two registers of one document: the highest promise, and the
// value accepted under the highest ballot.
func newest(a, b Register) Register {
	joined := a
	if b.Accepted.Compare(a.Accepted) > 0 || a.Name == "" {
		joined = b
	}
	joined.Promised = a.Promised
	if b.Promised.Compare(a.Promised) > 0 {
		joined.Promised = b.Promised
	}
	return joined
}

// vote ends a recovery. The identity is synced after all registers.
func (n *Node) vote(now time.Time) {
	n.identity.Stage = StageVoting
	n.recovery = recovery{round: n.recovery.round}
	n.save(n.identity)
	n.findUnlearnt(now)
}

// superseded begins another incarnation after a newer one of this host has
// been heard of: its disk holds an older state than it once had, or its
// incarnation was taken before.
func (n *Node) superseded(now time.Time) {
	stage := n.identity.Stage
	if stage == StageVoting {
		n.event(Event{Kind: EventSuperseded, Detail: n.identity.Known[n.host].String()})
		stage = StageDamaged
	}
	n.abort(ErrRecovering)
	n.newIncarnation(stage, n.identity.Known[n.host].Number+1)
	n.recover(now)
}

// Inherit returns what the disk of a host holds that begins to vote in a view
// whose first value is v, agreed as the last one of the view before. All hosts
// of the view begin with the same value. incarnation must be the same at each
// start that uses it, until the disk holds votes of its own.
func Inherit(v Value, incarnation Incarnation) Saved {
	v.Next = nil
	return Saved{
		Identity: &Identity{Incarnation: incarnation, Stage: StageVoting, Known: Roster{}, Registers: []string{v.Name}},
		Registers: []Register{{
			Name: v.Name, Promised: Ballot{Round: 1}, Accepted: Ballot{Round: 1}, Value: v,
		}},
		Learnt: []Learnt{{Chosen: v}},
	}
}
