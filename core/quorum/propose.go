package quorum

import (
	"maps"
	"slices"
	"time"
)

type (
	// proposal is one change or read, queued or in progress. Proposals for one
	// document run one after the other.
	proposal struct {
		ticket uint64
		// change is the change; only its Name is set for a read.
		change Change
		read   bool
		// background marks a read without a caller; its result is discarded.
		background bool
		// cancelled marks a proposal whose caller no longer waits.
		cancelled bool
		// covering is the ballot whose value makes this queued change superfluous, once it is
		// chosen; zero if there is none.
		covering Ballot
		phase    phase
		ballot   Ballot
		// value is the value to be accepted or the value read. request and err are
		// the other results of Apply.
		value   Value
		request Request
		err     error
		// votes holds the votes in the current phase, by host.
		votes map[string]vote
		// attempts is the number of ballots used so far.
		attempts int
		// phaseDeadline is when the current phase times out.
		phaseDeadline time.Time
		// deadline is when the proposal fails with ErrNoMajority.
		deadline time.Time
	}

	// vote is a positive reply to the current phase.
	vote struct {
		incarnation Incarnation
		accepted    Ballot
		value       Value
	}

	// phase is the progress of a proposal.
	phase uint8
)

const (
	// phaseQueued waits for the proposals ahead in the queue.
	phaseQueued phase = iota
	// phaseQuery waits for Answers to a Query.
	phaseQuery
	// phasePrepare waits for Promises.
	phasePrepare
	// phaseAccept waits for Accepted replies.
	phaseAccept
	// phaseBackoff waits until the next ballot may be tried.
	phaseBackoff
)

const (
	// phaseTimeout is the time that a proposal waits for replies in one phase.
	phaseTimeout = time.Second
	// proposalTimeout is the time after which a proposal fails with
	// ErrNoMajority.
	proposalTimeout = 8 * time.Second
	// The backoff is drawn around a limit of minBackoff, doubled once per attempt,
	// and at most maxBackoff.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 640 * time.Millisecond
)

// Apply proposes a change and returns the ticket that its Result will carry. The
// Result follows in this or a later Output. A change may first wait for the proposer
// of another host, see rival.
func (n *Node) Apply(now time.Time, c Change) (uint64, Output) {
	return n.enqueue(now, &proposal{change: c})
}

// Read reads the document called name from a majority and returns the ticket
// that its Result will carry. The Result follows in this or a later Output. The
// read is linearizable: the result is at least as new as every change that was
// accepted before the call.
func (n *Node) Read(now time.Time, name string) (uint64, Output) {
	return n.enqueue(now, &proposal{change: Change{Name: name}, read: true})
}

// enqueue adds p to the queue of its document and begins it if the queue was
// empty. If this host does not vote, p fails at once with ErrRecovering.
func (n *Node) enqueue(now time.Time, p *proposal) (uint64, Output) {
	n.lastTicket++
	n.counters.Proposals++
	p.ticket, p.deadline = n.lastTicket, now.Add(proposalTimeout)
	if n.identity.Stage != StageVoting {
		n.out.Results = append(n.out.Results, Result{Ticket: p.ticket, Err: ErrRecovering})
		return p.ticket, n.takeOutput()
	}
	name := p.change.Name
	n.queues[name] = append(n.queues[name], p)
	if len(n.queues[name]) == 1 {
		n.beginProposal(now, p)
	}
	return p.ticket, n.takeOutput()
}

// Cancel withdraws a change or a read whose caller no longer waits. It has no Result
// then. A ballot in progress is completed, as hosts may have accepted its value, but is
// not followed by another one.
func (n *Node) Cancel(now time.Time, ticket uint64) Output {
	for _, name := range slices.Sorted(maps.Keys(n.queues)) {
		for i, p := range n.queues[name] {
			switch {
			case p.ticket != ticket:
			case i > 0:
				n.queues[name] = slices.Delete(n.queues[name], i, i+1)
				return n.takeOutput()
			case p.phase == phasePrepare || p.phase == phaseAccept:
				p.cancelled = true
				return n.takeOutput()
			default:
				p.cancelled = true
				n.dequeue(now, name)
				return n.takeOutput()
			}
		}
	}
	return n.takeOutput()
}

// beginProposal begins a proposal that has become the active one, or makes it wait for
// the proposer of another host. A change with a base revision does not wait at first: it
// is small, and would mostly wait only to find that its base has passed.
func (n *Node) beginProposal(now time.Time, p *proposal) {
	n.promoteHighest(p)
	switch {
	case !p.read && !p.change.isBased() && n.mustWait(now, p):
		p.enterPhase(phaseBackoff, now)
	default:
		n.beginBallot(now, p)
	}
}

// beginBallot begins a ballot for p. A change whose version this host has accepted, or a
// higher one, only needs a majority to confirm that: its ballot would change nothing. A read
// has no ballot until its Query has found different ones.
func (n *Node) beginBallot(now time.Time, p *proposal) {
	superseded := p.change.Version > 0 && p.change.Version <= n.acceptor.Register(p.change.Name).Value.Version
	if superseded || p.read && p.attempts == 0 {
		n.beginQuery(now, p)
		return
	}
	n.beginPrepare(now, p)
}

// beginQuery starts a read with a Query to all peers. If a majority has accepted
// the same ballot, the read ends after this round.
func (n *Node) beginQuery(now time.Time, p *proposal) {
	p.enterPhase(phaseQuery, now.Add(phaseTimeout))
	r := n.acceptor.Register(p.change.Name)
	p.votes[n.host] = vote{incarnation: n.identity.Incarnation, accepted: r.Accepted, value: r.Value}
	n.broadcast(&Query{Name: p.change.Name, Ticket: p.ticket})
	n.tallyQuery(now, p)
}

// beginPrepare starts a new ballot. The local acceptor promises the ballot first,
// so that no ballot is used twice, even after a restart.
func (n *Node) beginPrepare(now time.Time, p *proposal) {
	n.highestRound = max(n.highestRound, n.acceptor.Register(p.change.Name).Promised.Round) + 1
	p.ballot = Ballot{Round: n.highestRound, Host: n.host, Incarnation: n.identity.Incarnation}
	p.attempts++
	delete(n.rivals, p.change.Name)
	p.enterPhase(phasePrepare, now.Add(phaseTimeout))
	m := &Prepare{Name: p.change.Name, Ballot: p.ballot, Version: p.change.Version}
	own := n.applyPrepare(m)
	p.votes[n.host] = vote{incarnation: n.identity.Incarnation, accepted: own.Accepted, value: own.Value}
	n.broadcast(m)
	n.tallyPrepare(now, p)
}

// beginAccept asks all hosts, this one first, to accept the value of p.
func (n *Node) beginAccept(now time.Time, p *proposal) {
	p.enterPhase(phaseAccept, now.Add(phaseTimeout))
	n.coverQueued(p)
	m := &Accept{Ballot: p.ballot, Value: p.value}
	if own := n.applyAccept(now, m); own.OK {
		p.votes[n.host] = vote{incarnation: n.identity.Incarnation}
	}
	n.broadcast(m)
	n.tallyAccept(now, p)
}

// enterPhase starts a phase without votes.
func (p *proposal) enterPhase(next phase, due time.Time) {
	p.phase, p.phaseDeadline, p.votes = next, due, make(map[string]vote)
}

// activeProposal returns the active proposal of a document if it is in the
// wanted phase, and nil otherwise.
func (n *Node) activeProposal(name string, want phase) *proposal {
	queue := n.queues[name]
	if len(queue) == 0 || queue[0].phase != want {
		return nil
	}
	return queue[0]
}

// handleAnswer counts the reply to a Query. It ignores replies to other reads than
// the active one.
func (n *Node) handleAnswer(now time.Time, e Envelope, m *Answer) {
	p := n.activeProposal(m.Name, phaseQuery)
	if p == nil || p.ticket != m.Ticket {
		return
	}
	p.votes[e.From] = vote{incarnation: e.Incarnation, accepted: m.Accepted, value: m.Value}
	n.tallyQuery(now, p)
}

// handlePromise counts the reply to a Prepare; a rejection ends the ballot. It
// ignores replies to other ballots than the active one.
func (n *Node) handlePromise(now time.Time, e Envelope, m *Promise) {
	p := n.activeProposal(m.Name, phasePrepare)
	if p == nil || p.ballot != m.Ballot {
		return
	}
	if !m.OK {
		n.preempt(now, p, m.Promised)
		return
	}
	p.votes[e.From] = vote{incarnation: e.Incarnation, accepted: m.Accepted, value: m.Value}
	n.tallyPrepare(now, p)
}

// handleAccepted counts the reply to an Accept; a rejection ends the ballot. It
// ignores replies to other ballots than the active one.
func (n *Node) handleAccepted(now time.Time, e Envelope, m *Accepted) {
	p := n.activeProposal(m.Name, phaseAccept)
	if p == nil || p.ballot != m.Ballot {
		return
	}
	if !m.OK {
		n.preempt(now, p, m.Promised)
		return
	}
	p.votes[e.From] = vote{incarnation: e.Incarnation}
	n.tallyAccept(now, p)
}

// dropStaleVotes removes votes from earlier incarnations of their hosts. Every
// host that answered a Recover carries the new incarnation in its later replies,
// and every majority that the stale vote is part of contains such a host.
func (n *Node) dropStaleVotes(p *proposal) {
	for _, host := range slices.Sorted(maps.Keys(p.votes)) {
		if n.identity.Known[host].Compare(p.votes[host].incarnation) > 0 {
			delete(p.votes, host)
			n.emit(Event{Kind: EventStaleVote, Host: host, Name: p.change.Name})
		}
	}
}

// tallyQuery completes a read if a majority reports the same accepted ballot, or
// none at all: the ballot's value is then chosen, and no newer value was chosen
// when the read began. If a majority has replied but their ballots differ, the read
// runs a Prepare and an Accept like a change.
func (n *Node) tallyQuery(now time.Time, p *proposal) {
	n.dropStaleVotes(p)
	if len(p.votes) < n.majority() {
		return
	}
	count := make(map[Ballot]int)
	for _, v := range p.votes {
		count[v.accepted]++
		if count[v.accepted] >= n.majority() {
			p.value = v.value
			p.value.Name = p.change.Name
			n.learn(p.value)
			n.completeQuery(now, p)
			return
		}
	}
	if n.mustWait(now, p) {
		p.enterPhase(phaseBackoff, now) // The next Query finds the value of the rival at a majority.
		return
	}
	n.beginPrepare(now, p)
}

// completeQuery completes a read with the chosen value that a Query has found, or a change
// if that value supersedes it. Any other change begins a ballot.
func (n *Node) completeQuery(now time.Time, p *proposal) {
	switch {
	case p.read:
		n.complete(now, p, Result{Value: p.value})
	case p.change.Version <= p.value.Version || len(p.value.Next) > 0:
		p.value, p.request, p.err = Apply(p.value, p.change)
		n.complete(now, p, Result{Request: p.request, Value: p.value, Err: p.err})
	default:
		n.beginPrepare(now, p)
	}
}

// tallyPrepare, once a majority has promised, applies the change to the value
// accepted under the highest ballot and starts the accept phase.
func (n *Node) tallyPrepare(now time.Time, p *proposal) {
	n.dropStaleVotes(p)
	if len(p.votes) < n.majority() {
		return
	}
	var best vote
	for _, v := range p.votes {
		if v.accepted.Compare(best.accepted) > 0 {
			best = v
		}
	}
	n.promoteHighest(p)
	if p.read {
		p.value = best.value
		p.value.Name = p.change.Name
	} else {
		p.value, p.request, p.err = Apply(best.value, p.change)
	}
	n.beginAccept(now, p)
}

// tallyAccept completes a proposal once a majority has accepted its value.
func (n *Node) tallyAccept(now time.Time, p *proposal) {
	n.dropStaleVotes(p)
	if len(p.votes) < n.majority() {
		return
	}
	n.learn(p.value)
	if p.value.Revision > 0 {
		n.broadcast(&Learn{Value: p.value})
	}
	n.completeCovered(p)
	n.complete(now, p, Result{Request: p.request, Value: p.value, Err: p.err})
}

// preempt abandons the ballot of p, because a peer has promised a higher one, and
// retries after a backoff.
func (n *Node) preempt(now time.Time, p *proposal, higher Ballot) {
	n.highestRound = max(n.highestRound, higher.Round)
	n.counters.BallotsLost++
	n.emit(Event{Kind: EventBallotPreempted, Host: higher.Host, Name: p.change.Name})
	n.backOff(now, p)
}

// backOff schedules the next attempt after a backoff that is drawn evenly from
// half to one and a half times a limit, which doubles with every attempt up to
// maxBackoff.
func (n *Node) backOff(now time.Time, p *proposal) {
	if p.cancelled {
		n.dequeue(now, p.change.Name)
		return
	}
	limit := min(minBackoff<<min(p.attempts, 10), maxBackoff)
	p.enterPhase(phaseBackoff, now.Add(limit/2+time.Duration(n.rng.Int64N(int64(limit)))))
}

// tickProposals fails the proposals whose deadline has passed. An active proposal
// whose phase has timed out starts a new ballot after a Query or a backoff, and a
// backoff after any other phase.
func (n *Node) tickProposals(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.queues)) {
		n.expireWaiting(now, name)
		if len(n.queues[name]) == 0 {
			continue
		}
		p := n.queues[name][0]
		switch {
		case !now.Before(p.deadline):
			n.complete(now, p, Result{Err: ErrNoMajority})
		case now.Before(p.phaseDeadline):
		case p.phase == phaseBackoff:
			n.promoteHighest(p)
			if !n.mustWait(now, p) {
				n.beginBallot(now, p)
			}
		case p.phase == phaseQuery:
			n.beginPrepare(now, p)
		default:
			n.backOff(now, p)
		}
	}
}

// expireWaiting fails the queued proposals for the document called name whose
// deadline has passed while another proposal was active.
func (n *Node) expireWaiting(now time.Time, name string) {
	queue := n.queues[name]
	for i := len(queue) - 1; i > 0; i-- {
		if !now.Before(queue[i].deadline) {
			n.addResult(queue[i], Result{Err: ErrNoMajority})
			queue = slices.Delete(queue, i, i+1)
		}
	}
	n.queues[name] = queue
}

// complete adds the result of p, which is at the head of its queue, to the output
// and begins the next proposal for the document.
func (n *Node) complete(now time.Time, p *proposal, r Result) {
	n.addResult(p, r)
	n.dequeue(now, p.change.Name)
}

// dequeue removes the proposal at the head of the queue of a document and begins the next
// one.
func (n *Node) dequeue(now time.Time, name string) {
	n.queues[name] = n.queues[name][1:]
	if len(n.queues[name]) == 0 {
		delete(n.queues, name)
		return
	}
	n.beginProposal(now, n.queues[name][0])
}

// addResult adds the result of p to the output, unless no caller waits for it.
func (n *Node) addResult(p *proposal, r Result) {
	if p.background || p.cancelled {
		return
	}
	r.Ticket = p.ticket
	n.out.Results = append(n.out.Results, r)
}

// failAll removes all proposals and adds a result with err for each that has a
// caller.
func (n *Node) failAll(err error) {
	for _, name := range slices.Sorted(maps.Keys(n.queues)) {
		for _, p := range n.queues[name] {
			n.addResult(p, Result{Err: err})
		}
	}
	clear(n.queues)
}
