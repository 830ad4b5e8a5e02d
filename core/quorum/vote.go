package quorum

import "time"

// handlePrepare replies to a Prepare. A host that does not vote sends no reply.
func (n *Node) handlePrepare(now time.Time, from string, m *Prepare) {
	if n.identity.Stage != StageVoting {
		return
	}
	reply := n.applyPrepare(m)
	n.send(from, reply)
	n.trackPrepare(now, m, reply.OK)
}

// applyPrepare applies a Prepare to the local acceptor and returns the reply.
func (n *Node) applyPrepare(m *Prepare) *Promise {
	ok, r := n.acceptor.Prepare(m.Name, m.Ballot)
	if !ok {
		return &Promise{Name: m.Name, Ballot: m.Ballot, Promised: r.Promised}
	}
	n.saveRegister(r)
	return &Promise{Name: m.Name, Ballot: m.Ballot, OK: true, Promised: m.Ballot, Accepted: r.Accepted, Value: r.Value}
}

// handleAccept replies to an Accept. A host that does not vote sends no reply.
func (n *Node) handleAccept(now time.Time, from string, m *Accept) {
	if n.identity.Stage != StageVoting {
		return
	}
	reply := n.applyAccept(now, m)
	n.send(from, reply)
	if reply.OK {
		n.trackAccept(now, m)
	}
}

// applyAccept applies an Accept to the local acceptor and returns the reply.
func (n *Node) applyAccept(now time.Time, m *Accept) *Accepted {
	ok, r := n.acceptor.Accept(m.Ballot, m.Value)
	if ok {
		n.saveRegister(r)
		n.trackUnlearnt(now, m.Value)
	}
	return &Accepted{Name: m.Value.Name, Ballot: m.Ballot, OK: ok, Promised: r.Promised}
}

// handleQuery replies to a Query. A host that does not vote sends no reply.
func (n *Node) handleQuery(from string, m *Query) {
	if n.identity.Stage != StageVoting {
		return
	}
	r := n.acceptor.Register(m.Name)
	n.send(from, &Answer{Name: m.Name, Ticket: m.Ticket, Accepted: r.Accepted, Value: r.Value})
}
