package quorum

import "time"

// prepare answers a Prepare. A host that does not vote stays silent.
func (n *Node) prepare(from string, m *Prepare) {
	if n.identity.Stage != StageVoting {
		return
	}
	n.send(from, n.promise(m))
}

func (n *Node) promise(m *Prepare) *Promise {
	ok, r := n.acceptor.Prepare(m.Name, m.Ballot)
	if !ok {
		return &Promise{Name: m.Name, Ballot: m.Ballot, Promised: r.Promised}
	}
	n.saveRegister(r)
	return &Promise{Name: m.Name, Ballot: m.Ballot, OK: true, Promised: m.Ballot, Accepted: r.Accepted, Value: r.Value}
}

// accept answers an Accept. A host that does not vote stays silent.
func (n *Node) accept(now time.Time, from string, m *Accept) {
	if n.identity.Stage != StageVoting {
		return
	}
	n.send(from, n.store(now, m))
}

func (n *Node) store(now time.Time, m *Accept) *Accepted {
	ok, r := n.acceptor.Accept(m.Ballot, m.Value)
	if ok {
		n.saveRegister(r)
		n.noteUnlearnt(now, m.Value)
	}
	return &Accepted{Name: m.Value.Name, Ballot: m.Ballot, OK: ok, Promised: r.Promised}
}

// query answers a Query. A host that does not vote stays silent.
func (n *Node) query(from string, m *Query) {
	if n.identity.Stage != StageVoting {
		return
	}
	r := n.acceptor.Register(m.Name)
	n.send(from, &Answer{Name: m.Name, Ticket: m.Ticket, Accepted: r.Accepted, Value: r.Value})
}
