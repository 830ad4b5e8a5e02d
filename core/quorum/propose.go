package quorum

import (
	"maps"
	"slices"
	"time"
)

type (
	// proposal is one change or read under way. Proposals on one document
	// wait for each other.
	proposal struct {
		ticket uint64
		change Change
		read   bool
		// background marks a read that nobody waits for.
		background bool
		phase      phase
		ballot     Ballot
		value      Value
		done       Request
		refusal    error
		votes      map[string]vote
		tries      int
		// due ends the phase.
		due time.Time
		// limit ends the proposal.
		limit time.Time
	}

	// vote is a positive reply to the current phase.
	vote struct {
		incarnation Incarnation
		accepted    Ballot
		value       Value
	}

	phase uint8
)

const (
	phaseQueued phase = iota
	phaseQuery
	phasePrepare
	phaseAccept
	phaseBackoff
)

const (
	phaseTimeout  = time.Second
	proposalLimit = 8 * time.Second
	firstBackoff  = 10 * time.Millisecond
	lastBackoff   = 640 * time.Millisecond
)

// Apply proposes a change and returns the ticket of its Result.
func (n *Node) Apply(now time.Time, c Change) (uint64, Output) {
	return n.enqueue(now, &proposal{change: c})
}

// Read asks a majority for the document called name and returns the ticket of
// its Result. The result is at least as new as every change that was accepted
// before the call.
func (n *Node) Read(now time.Time, name string) (uint64, Output) {
	return n.enqueue(now, &proposal{change: Change{Name: name}, read: true})
}

func (n *Node) enqueue(now time.Time, p *proposal) (uint64, Output) {
	n.tickets++
	n.counters.Proposals++
	p.ticket, p.limit = n.tickets, now.Add(proposalLimit)
	if n.identity.Stage != StageVoting {
		n.out.Results = append(n.out.Results, Result{Ticket: p.ticket, Err: ErrRecovering})
		return p.ticket, n.take()
	}
	name := p.change.Name
	n.queues[name] = append(n.queues[name], p)
	if len(n.queues[name]) == 1 {
		n.begin(now, p)
	}
	return p.ticket, n.take()
}

func (n *Node) begin(now time.Time, p *proposal) {
	if p.read {
		n.beginQuery(now, p)
		return
	}
	n.beginPrepare(now, p)
}

func (n *Node) beginQuery(now time.Time, p *proposal) {
	p.enter(phaseQuery, now.Add(phaseTimeout))
	r := n.acceptor.Register(p.change.Name)
	p.votes[n.host] = vote{incarnation: n.identity.Incarnation, accepted: r.Accepted, value: r.Value}
	n.broadcast(&Query{Name: p.change.Name, Ticket: p.ticket})
	n.tallyQuery(now, p)
}

// beginPrepare starts a new ballot. The host promises it to itself first, so
// that a ballot is never used twice, also after a restart.
func (n *Node) beginPrepare(now time.Time, p *proposal) {
	n.round = max(n.round, n.acceptor.Register(p.change.Name).Promised.Round) + 1
	p.ballot = Ballot{Round: n.round, Host: n.host, Incarnation: n.identity.Incarnation}
	p.tries++
	p.enter(phasePrepare, now.Add(phaseTimeout))
	m := &Prepare{Name: p.change.Name, Ballot: p.ballot}
	own := n.promise(m)
	p.votes[n.host] = vote{incarnation: n.identity.Incarnation, accepted: own.Accepted, value: own.Value}
	n.broadcast(m)
	n.tallyPrepare(now, p)
}

func (n *Node) beginAccept(now time.Time, p *proposal) {
	p.enter(phaseAccept, now.Add(phaseTimeout))
	m := &Accept{Ballot: p.ballot, Value: p.value}
	if own := n.store(now, m); own.OK {
		p.votes[n.host] = vote{incarnation: n.identity.Incarnation}
	}
	n.broadcast(m)
	n.tallyAccept(now, p)
}

func (p *proposal) enter(next phase, due time.Time) {
	p.phase, p.due, p.votes = next, due, make(map[string]vote)
}

// current returns the proposal that a reply of the given phase belongs to.
func (n *Node) current(name string, in phase) *proposal {
	queue := n.queues[name]
	if len(queue) == 0 || queue[0].phase != in {
		return nil
	}
	return queue[0]
}

func (n *Node) answered(now time.Time, e Envelope, m *Answer) {
	p := n.current(m.Name, phaseQuery)
	if p == nil || p.ticket != m.Ticket {
		return
	}
	p.votes[e.From] = vote{incarnation: e.Incarnation, accepted: m.Accepted, value: m.Value}
	n.tallyQuery(now, p)
}

func (n *Node) promised(now time.Time, e Envelope, m *Promise) {
	p := n.current(m.Name, phasePrepare)
	if p == nil || p.ballot != m.Ballot {
		return
	}
	if !m.OK {
		n.outbid(now, p, m.Promised)
		return
	}
	p.votes[e.From] = vote{incarnation: e.Incarnation, accepted: m.Accepted, value: m.Value}
	n.tallyPrepare(now, p)
}

func (n *Node) accepted(now time.Time, e Envelope, m *Accepted) {
	p := n.current(m.Name, phaseAccept)
	if p == nil || p.ballot != m.Ballot {
		return
	}
	if !m.OK {
		n.outbid(now, p, m.Promised)
		return
	}
	p.votes[e.From] = vote{incarnation: e.Incarnation}
	n.tallyAccept(now, p)
}

// dropVoid takes out votes that were given by a former incarnation of their
// host. Whoever answered a host's Recover names its new incarnation in every
// later reply, and every majority with the former vote holds one of them.
func (n *Node) dropVoid(p *proposal) {
	for _, host := range slices.Sorted(maps.Keys(p.votes)) {
		if n.identity.Known[host].Compare(p.votes[host].incarnation) > 0 {
			delete(p.votes, host)
			n.event(Event{Kind: EventVoteVoid, Host: host, Name: p.change.Name})
		}
	}
}

// tallyQuery ends a read when a majority has accepted one and the same ballot;
// its value is then chosen, and no newer one was when the read began.
func (n *Node) tallyQuery(now time.Time, p *proposal) {
	n.dropVoid(p)
	if len(p.votes) < n.majority() {
		return
	}
	same := make(map[Ballot]int)
	for _, v := range p.votes {
		same[v.accepted]++
		if same[v.accepted] >= n.majority() {
			p.value = v.value
			p.value.Name = p.change.Name
			n.learn(p.value)
			n.end(now, p, Result{Value: p.value})
			return
		}
	}
	n.beginPrepare(now, p)
}

func (n *Node) tallyPrepare(now time.Time, p *proposal) {
	n.dropVoid(p)
	if len(p.votes) < n.majority() {
		return
	}
	var best vote
	for _, v := range p.votes {
		if v.accepted.Compare(best.accepted) > 0 {
			best = v
		}
	}
	if p.read {
		p.value = best.value
		p.value.Name = p.change.Name
	} else {
		p.value, p.done, p.refusal = Apply(best.value, p.change)
	}
	n.beginAccept(now, p)
}

func (n *Node) tallyAccept(now time.Time, p *proposal) {
	n.dropVoid(p)
	if len(p.votes) < n.majority() {
		return
	}
	n.learn(p.value)
	if p.value.Revision > 0 {
		n.broadcast(&Learn{Value: p.value})
	}
	n.end(now, p, Result{Done: p.done, Value: p.value, Err: p.refusal})
}

// outbid gives up the ballot and tries a higher one after a while.
func (n *Node) outbid(now time.Time, p *proposal, by Ballot) {
	n.round = max(n.round, by.Round)
	n.counters.BallotsLost++
	n.event(Event{Kind: EventBallotLost, Host: by.Host, Name: p.change.Name})
	n.backOff(now, p)
}

func (n *Node) backOff(now time.Time, p *proposal) {
	span := min(firstBackoff<<min(p.tries, 10), lastBackoff)
	p.enter(phaseBackoff, now.Add(span/2+time.Duration(n.rng.Int64N(int64(span)))))
}

func (n *Node) tickProposals(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.queues)) {
		n.expireQueued(now, name)
		if len(n.queues[name]) == 0 {
			continue
		}
		p := n.queues[name][0]
		switch {
		case !now.Before(p.limit):
			n.end(now, p, Result{Err: ErrNoMajority})
		case now.Before(p.due):
		case p.phase == phaseBackoff || p.phase == phaseQuery:
			n.beginPrepare(now, p)
		default:
			n.backOff(now, p)
		}
	}
}

// expireQueued ends proposals that have waited too long behind another.
func (n *Node) expireQueued(now time.Time, name string) {
	queue := n.queues[name]
	for i := len(queue) - 1; i > 0; i-- {
		if !now.Before(queue[i].limit) {
			n.result(queue[i], Result{Err: ErrNoMajority})
			queue = slices.Delete(queue, i, i+1)
		}
	}
	n.queues[name] = queue
}

// end hands out the result of the proposal at the head of its queue and
// begins the next.
func (n *Node) end(now time.Time, p *proposal, r Result) {
	n.result(p, r)
	name := p.change.Name
	n.queues[name] = n.queues[name][1:]
	if len(n.queues[name]) == 0 {
		delete(n.queues, name)
		return
	}
	n.begin(now, n.queues[name][0])
}

func (n *Node) result(p *proposal, r Result) {
	if p.background {
		return
	}
	r.Ticket = p.ticket
	n.out.Results = append(n.out.Results, r)
}

// abort ends all proposals with err.
func (n *Node) abort(err error) {
	for _, name := range slices.Sorted(maps.Keys(n.queues)) {
		for _, p := range n.queues[name] {
			n.result(p, Result{Err: err})
		}
	}
	clear(n.queues)
}
