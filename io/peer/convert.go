package peer

import (
	"time"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/io/peer/peerpb"
)

// FromBallot converts a ballot to its message.
func FromBallot(b quorum.Ballot) *peerpb.Ballot {
	return &peerpb.Ballot{Round: b.Round, Host: b.Host}
}

// ToBallot converts a message to a ballot; nil is the zero ballot.
func ToBallot(m *peerpb.Ballot) quorum.Ballot {
	return quorum.Ballot{Round: m.GetRound(), Host: m.GetHost()}
}

// FromValue converts a register's value to its message.
func FromValue(v quorum.Value) *peerpb.Value {
	m := &peerpb.Value{Name: v.Name, Revision: v.Revision, Deleted: v.Deleted, Body: v.Body, Operator: v.Operator}
	if !v.At.IsZero() {
		m.At = v.At.UnixNano()
	}
	for _, r := range v.Requests {
		m.Requests = append(m.Requests, &peerpb.Request{Id: r.ID, Revision: r.Revision})
	}
	return m
}

// ToValue converts a message to a register's value; nil is the zero value.
func ToValue(m *peerpb.Value) quorum.Value {
	v := quorum.Value{Versioned: spec.Versioned{
		Name: m.GetName(), Revision: m.GetRevision(), Deleted: m.GetDeleted(), Body: m.GetBody(),
	}, Operator: m.GetOperator()}
	if m.GetAt() != 0 {
		v.At = time.Unix(0, m.GetAt()).UTC()
	}
	for _, r := range m.GetRequests() {
		v.Requests = append(v.Requests, quorum.Request{ID: r.GetId(), Revision: r.GetRevision()})
	}
	return v
}
