package quorum

import (
	"maps"
	"slices"
	"time"
)

// recovery is the progress of a host that does not vote yet.
type recovery struct {
	// round numbers the requests for snapshots; requestedAt is when the latest
	// one was sent.
	round       uint64
	requestedAt time.Time
	// blankHosts holds the hosts that answered as blank in this round.
	blankHosts Incarnations
	// prevBlankHosts holds the incarnations of an earlier round in which all
	// other hosts were blank.
	prevBlankHosts Incarnations
	// snapshots holds the latest snapshot of each voting peer.
	snapshots map[string]hostSnapshot
}

// hostSnapshot is a snapshot with the incarnation of its sender.
type hostSnapshot struct {
	incarnation Incarnation
	snapshot    *Snapshot
}

// requestSnapshots starts a recovery round: it sends a Recover to every peer
// whose snapshot is missing. A blank host without peers bootstraps at once.
func (n *Node) requestSnapshots(now time.Time) {
	if len(n.peers) == 0 && n.identity.Stage == StageBlank {
		n.bootstrap(now, Incarnations{})
		return
	}
	n.recovery.round++
	n.recovery.requestedAt = now
	n.recovery.blankHosts = Incarnations{}
	for _, host := range n.peers {
		if _, ok := n.recovery.snapshots[host]; !ok {
			n.send(host, &Recover{Round: n.recovery.round})
		}
	}
}

// handleRecover replies to a Recover. A voting host first syncs the sender's
// new incarnation: from then on the replies of the voting host let every proposer
// discard the votes of the sender's earlier incarnations.
func (n *Node) handleRecover(e Envelope, m *Recover) {
	reply := &Snapshot{Requester: e.Incarnation, Round: m.Round, Stage: n.identity.Stage}
	if n.identity.Known[e.From].Compare(e.Incarnation) > 0 {
		reply.Stage = StageDamaged // The envelope carries the newer incarnation.
		n.send(e.From, reply)
		return
	}
	if n.identity.Stage == StageVoting {
		if n.syncedKnown[e.From] != e.Incarnation {
			n.save(n.identity)
		}
		reply.Registers = n.acceptor.Registers(nil)
		reply.Learnt = n.acceptor.Chosen(nil)
		reply.Founders = n.identity.Founders
	}
	n.send(e.From, reply)
}

// handleSnapshot handles the reply to a Recover.
func (n *Node) handleSnapshot(now time.Time, e Envelope, m *Snapshot) {
	if n.identity.Stage == StageVoting || m.Requester != n.identity.Incarnation {
		return
	}
	switch m.Stage {
	case StageBlank:
		if n.identity.Stage == StageBlank && m.Round == n.recovery.round {
			n.recovery.blankHosts[e.From] = e.Incarnation
			n.checkBootstrap(now)
		}
	case StageVoting:
		if m.Founders[n.host] == n.identity.Incarnation { // This host was blank at the bootstrap and has not voted since.
			n.bootstrap(now, m.Founders)
			return
		}
		if n.recovery.snapshots == nil {
			n.recovery.snapshots = make(map[string]hostSnapshot)
		}
		n.recovery.snapshots[e.From] = hostSnapshot{incarnation: e.Incarnation, snapshot: m}
		n.checkSnapshots(now)
	case StageDamaged:
	}
}

// checkBootstrap bootstraps the cluster if all peers were blank in this round
// and, at the same incarnations, in an earlier one. All were then blank at one
// time between the rounds, so either no value had ever been accepted, or all
// values are lost.
func (n *Node) checkBootstrap(now time.Time) {
	blankHosts := n.recovery.blankHosts
	if len(blankHosts) < len(n.peers) {
		return
	}
	if maps.Equal(blankHosts, n.recovery.prevBlankHosts) {
		n.bootstrap(now, blankHosts)
		return
	}
	n.recovery.prevBlankHosts = blankHosts
	n.requestSnapshots(now)
}

// bootstrap records the founders, this host included, and starts voting without
// any document.
func (n *Node) bootstrap(now time.Time, founders Incarnations) {
	n.identity.Founders = founders.clone()
	n.identity.Founders[n.host] = n.identity.Incarnation
	n.identity.Known.merge(n.identity.Founders)
	n.emit(Event{Kind: EventBootstrapped})
	n.startVoting(now)
}

// checkSnapshots completes the recovery once snapshots of RecoveryQuorum voting
// hosts have arrived. A snapshot counts only while no newer incarnation of its
// sender is known.
func (n *Node) checkSnapshots(now time.Time) {
	for host, s := range n.recovery.snapshots {
		if n.identity.Known[host].Compare(s.incarnation) > 0 {
			delete(n.recovery.snapshots, host)
		}
	}
	if len(n.recovery.snapshots) < RecoveryQuorum(len(n.peers)+1) {
		return
	}
	registers := make(map[string]Register)
	for _, host := range slices.Sorted(maps.Keys(n.recovery.snapshots)) {
		s := n.recovery.snapshots[host].snapshot
		for _, r := range s.Registers {
			registers[r.Name] = mergeRegisters(registers[r.Name], r)
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
		n.registerNames[name] = true
		n.highestRound = max(n.highestRound, r.Promised.Round)
		n.save(r)
	}
	n.counters.Recoveries++
	n.emit(Event{Kind: EventRecovered})
	n.startVoting(now)
}

// mergeRegisters merges two registers of one document: it keeps the highest
// promise, and the value accepted under the highest ballot.
func mergeRegisters(a, b Register) Register {
	merged := a
	if b.Accepted.Compare(a.Accepted) > 0 || a.Name == "" {
		merged = b
	}
	merged.Promised = a.Promised
	if b.Promised.Compare(a.Promised) > 0 {
		merged.Promised = b.Promised
	}
	return merged
}

// startVoting ends a recovery. It saves the identity after all registers, so that
// a crash in between leaves the host not voting.
func (n *Node) startVoting(now time.Time) {
	n.identity.Stage, n.identity.Unvoted = StageVoting, false
	n.recovery = recovery{round: n.recovery.round}
	n.save(n.identity)
	n.trackAllUnlearnt(now)
}

// replaceIncarnation starts a new incarnation after a peer has reported an
// incarnation of this host that is newer than the one on its disk: the disk holds
// an older state than it once did, or the incarnation number was used before.
func (n *Node) replaceIncarnation(now time.Time) {
	stage := n.identity.Stage
	if stage == StageVoting {
		n.emit(Event{Kind: EventSuperseded, Detail: n.identity.Known[n.host].String()})
		stage = StageDamaged
	}
	n.failAll(ErrRecovering)
	n.newIncarnation(stage, n.identity.Known[n.host].Number+1)
	n.requestSnapshots(now)
}

// InitialState returns the initial disk content of a host of a new view. v is the
// first value of the view, chosen as the last value of the previous one; all
// hosts of the view start with it. incarnation must be the same at every start
// until the disk holds votes of the host.
func InitialState(v Value, incarnation Incarnation) Saved {
	v.Next = nil
	return Saved{
		Identity: &Identity{Incarnation: incarnation, Stage: StageVoting, Known: Incarnations{}, Registers: []string{v.Name}},
		Registers: []Register{{
			Name: v.Name, Promised: Ballot{Round: 1}, Accepted: Ballot{Round: 1}, Value: v,
		}},
		Learnt: []Learnt{{Chosen: v}},
	}
}
