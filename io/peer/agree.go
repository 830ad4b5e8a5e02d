package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/io/peer/peerpb"
)

var (
	// ErrUnknownMessage reports an envelope without a message, or with one that
	// this version does not know.
	ErrUnknownMessage = errors.New("peer: message of an unknown kind")
	// ErrInvalidName reports a message about a document with an invalid name.
	ErrInvalidName = errors.New("peer: message about a document with an invalid name")
)

// FromEnvelope converts an envelope to its protobuf message.
func FromEnvelope(e quorum.Envelope) *peerpb.Envelope {
	m := &peerpb.Envelope{
		From: e.From, To: e.To, Incarnation: fromIncarnation(e.Incarnation),
		Cluster: e.ClusterDigest, Known: fromIncarnations(e.Known),
	}
	switch c := e.Message.(type) {
	case *quorum.Prepare:
		m.Message = &peerpb.Envelope_Prepare{Prepare: &peerpb.Prepare{Name: c.Name, Ballot: fromBallot(c.Ballot), Version: c.Version}}
	case *quorum.Promise:
		m.Message = &peerpb.Envelope_Promise{Promise: &peerpb.Promise{
			Name: c.Name, Ballot: fromBallot(c.Ballot), Ok: c.OK, Promised: fromBallot(c.Promised),
			Accepted: fromBallot(c.Accepted), Value: FromValue(c.Value),
		}}
	case *quorum.Accept:
		m.Message = &peerpb.Envelope_Accept{Accept: &peerpb.Accept{Ballot: fromBallot(c.Ballot), Value: FromValue(c.Value)}}
	case *quorum.Accepted:
		m.Message = &peerpb.Envelope_Accepted{Accepted: &peerpb.Accepted{
			Name: c.Name, Ballot: fromBallot(c.Ballot), Ok: c.OK, Promised: fromBallot(c.Promised),
		}}
	case *quorum.Query:
		m.Message = &peerpb.Envelope_Query{Query: &peerpb.Query{Name: c.Name, Ticket: c.Ticket}}
	case *quorum.Answer:
		m.Message = &peerpb.Envelope_Answer{Answer: &peerpb.Answer{
			Name: c.Name, Ticket: c.Ticket, Accepted: fromBallot(c.Accepted), Value: FromValue(c.Value),
		}}
	case *quorum.Learn:
		m.Message = &peerpb.Envelope_Learn{Learn: &peerpb.Learn{Value: FromValue(c.Value)}}
	case *quorum.Fetch:
		m.Message = &peerpb.Envelope_Fetch{Fetch: fromFetch(c)}
	case *quorum.Values:
		m.Message = &peerpb.Envelope_Values{Values: &peerpb.Values{Sequence: c.Sequence, Differ: c.Differ, Values: fromValues(c.Values)}}
	case *quorum.Recover:
		m.Message = &peerpb.Envelope_Recover{Recover: &peerpb.Recover{Round: c.Round}}
	case *quorum.Snapshot:
		m.Message = &peerpb.Envelope_Snapshot{Snapshot: fromSnapshot(c)}
	}
	return m
}

// ToEnvelope converts a protobuf message to an envelope. It returns
// ErrUnknownMessage when the envelope holds no message of a known kind, and
// ErrInvalidName when a document's name is not valid.
func ToEnvelope(m *peerpb.Envelope) (quorum.Envelope, error) {
	e := quorum.Envelope{
		From: m.GetFrom(), To: m.GetTo(), Incarnation: toIncarnation(m.GetIncarnation()),
		ClusterDigest: m.GetCluster(), Known: toIncarnations(m.GetKnown()),
	}
	switch c := m.GetMessage().(type) {
	case *peerpb.Envelope_Prepare:
		e.Message = &quorum.Prepare{Name: c.Prepare.GetName(), Ballot: toBallot(c.Prepare.GetBallot()), Version: c.Prepare.GetVersion()}
	case *peerpb.Envelope_Promise:
		p := c.Promise
		e.Message = &quorum.Promise{
			Name: p.GetName(), Ballot: toBallot(p.GetBallot()), OK: p.GetOk(), Promised: toBallot(p.GetPromised()),
			Accepted: toBallot(p.GetAccepted()), Value: ToValue(p.GetValue()),
		}
	case *peerpb.Envelope_Accept:
		e.Message = &quorum.Accept{Ballot: toBallot(c.Accept.GetBallot()), Value: ToValue(c.Accept.GetValue())}
	case *peerpb.Envelope_Accepted:
		a := c.Accepted
		e.Message = &quorum.Accepted{Name: a.GetName(), Ballot: toBallot(a.GetBallot()), OK: a.GetOk(), Promised: toBallot(a.GetPromised())}
	case *peerpb.Envelope_Query:
		e.Message = &quorum.Query{Name: c.Query.GetName(), Ticket: c.Query.GetTicket()}
	case *peerpb.Envelope_Answer:
		a := c.Answer
		e.Message = &quorum.Answer{Name: a.GetName(), Ticket: a.GetTicket(), Accepted: toBallot(a.GetAccepted()), Value: ToValue(a.GetValue())}
	case *peerpb.Envelope_Learn:
		e.Message = &quorum.Learn{Value: ToValue(c.Learn.GetValue())}
	case *peerpb.Envelope_Fetch:
		e.Message = toFetch(c.Fetch)
	case *peerpb.Envelope_Values:
		e.Message = &quorum.Values{Sequence: c.Values.GetSequence(), Differ: c.Values.GetDiffer(), Values: toValues(c.Values.GetValues())}
	case *peerpb.Envelope_Recover:
		e.Message = &quorum.Recover{Round: c.Recover.GetRound()}
	case *peerpb.Envelope_Snapshot:
		e.Message = toSnapshot(c.Snapshot)
	default:
		return e, ErrUnknownMessage
	}
	return e, checkNames(e.Message)
}

// checkNames returns ErrInvalidName when a message that can lead to a change of a
// document holds a name that is not valid. Names are checked because they become
// file names.
func checkNames(m quorum.Message) error {
	var names []string
	switch m := m.(type) {
	case *quorum.Prepare:
		names = append(names, m.Name)
	case *quorum.Accept:
		names = append(names, m.Value.Name)
	case *quorum.Promise:
		names = append(names, m.Name)
	case *quorum.Answer:
		names = append(names, m.Name)
	case *quorum.Learn:
		names = append(names, m.Value.Name)
	case *quorum.Values:
		for _, v := range m.Values {
			names = append(names, v.Name)
		}
	case *quorum.Snapshot:
		for _, r := range m.Registers {
			names = append(names, r.Name)
		}
		for _, v := range m.Learnt {
			names = append(names, v.Name)
		}
	}
	for _, name := range names {
		if !spec.ValidDocumentName(name) {
			return ErrInvalidName
		}
	}
	return nil
}

// fromIncarnation converts an incarnation to its protobuf message; the zero value
// becomes nil.
func fromIncarnation(i quorum.Incarnation) *peerpb.Incarnation {
	if i == (quorum.Incarnation{}) {
		return nil
	}
	return &peerpb.Incarnation{Number: i.Number, Nonce: i.Nonce}
}

func toIncarnation(m *peerpb.Incarnation) quorum.Incarnation {
	return quorum.Incarnation{Number: m.GetNumber(), Nonce: m.GetNonce()}
}

// fromIncarnations converts the incarnations to protobuf messages, sorted by host.
func fromIncarnations(r quorum.Incarnations) []*peerpb.HostIncarnation {
	var list []*peerpb.HostIncarnation
	for _, host := range slices.Sorted(maps.Keys(r)) {
		list = append(list, &peerpb.HostIncarnation{Host: host, Incarnation: fromIncarnation(r[host])})
	}
	return list
}

func toIncarnations(list []*peerpb.HostIncarnation) quorum.Incarnations {
	if len(list) == 0 {
		return nil
	}
	r := make(quorum.Incarnations, len(list))
	for _, m := range list {
		r[m.GetHost()] = toIncarnation(m.GetIncarnation())
	}
	return r
}

// fromBallot converts a ballot to its protobuf message; the zero value becomes nil.
func fromBallot(b quorum.Ballot) *peerpb.Ballot {
	if b == (quorum.Ballot{}) {
		return nil
	}
	return &peerpb.Ballot{Round: b.Round, Host: b.Host, Incarnation: fromIncarnation(b.Incarnation)}
}

func toBallot(m *peerpb.Ballot) quorum.Ballot {
	return quorum.Ballot{Round: m.GetRound(), Host: m.GetHost(), Incarnation: toIncarnation(m.GetIncarnation())}
}

// FromValue converts a value to its protobuf message, which holds the time in
// nanoseconds since 1970, or 0 for the zero time.
func FromValue(v quorum.Value) *peerpb.Value {
	m := &peerpb.Value{Name: v.Name, Revision: v.Revision, Deleted: v.Deleted, Body: v.Body, Operator: v.Operator, Version: v.Version, Next: v.Next}
	if !v.At.IsZero() {
		m.At = v.At.UnixNano()
	}
	for _, r := range v.Requests {
		m.Requests = append(m.Requests, &peerpb.Request{Id: r.ID, Revision: r.Revision, Digest: r.Digest})
	}
	return m
}

// ToValue converts a protobuf message to a value.
func ToValue(m *peerpb.Value) quorum.Value {
	v := quorum.Value{Versioned: spec.Versioned{
		Name: m.GetName(), Revision: m.GetRevision(), Deleted: m.GetDeleted(), Body: m.GetBody(),
	}, Operator: m.GetOperator(), Version: m.GetVersion(), Next: m.GetNext()}
	if m.GetAt() != 0 {
		v.At = time.Unix(0, m.GetAt()).UTC()
	}
	for _, r := range m.GetRequests() {
		v.Requests = append(v.Requests, quorum.Request{ID: r.GetId(), Revision: r.GetRevision(), Digest: r.GetDigest()})
	}
	return v
}

func fromValues(values []quorum.Value) []*peerpb.Value {
	var list []*peerpb.Value
	for _, v := range values {
		list = append(list, FromValue(v))
	}
	return list
}

func toValues(list []*peerpb.Value) []quorum.Value {
	var values []quorum.Value
	for _, m := range list {
		values = append(values, ToValue(m))
	}
	return values
}

func fromFetch(f *quorum.Fetch) *peerpb.Fetch {
	m := &peerpb.Fetch{Sequence: f.Sequence, Digest: f.Digest, Listed: f.Listed}
	for _, h := range f.Learnt {
		m.Held = append(m.Held, &peerpb.Held{Name: h.Name, Revision: h.Revision})
	}
	return m
}

func toFetch(m *peerpb.Fetch) *quorum.Fetch {
	f := &quorum.Fetch{Sequence: m.GetSequence(), Digest: m.GetDigest(), Listed: m.GetListed()}
	for _, h := range m.GetHeld() {
		f.Learnt = append(f.Learnt, quorum.LearntRevision{Name: h.GetName(), Revision: h.GetRevision()})
	}
	return f
}

func fromSnapshot(s *quorum.Snapshot) *peerpb.Snapshot {
	m := &peerpb.Snapshot{
		For: fromIncarnation(s.Requester), Round: s.Round, Stage: uint32(s.Stage),
		Learnt: fromValues(s.Learnt), Founders: fromIncarnations(s.Founders),
	}
	for _, r := range s.Registers {
		m.Registers = append(m.Registers, &peerpb.Register{
			Name: r.Name, Promised: fromBallot(r.Promised), Accepted: fromBallot(r.Accepted), Value: FromValue(r.Value),
		})
	}
	return m
}

func toSnapshot(m *peerpb.Snapshot) *quorum.Snapshot {
	s := &quorum.Snapshot{
		Requester: toIncarnation(m.GetFor()), Round: m.GetRound(), Stage: quorum.Stage(min(m.GetStage(), 255)),
		Learnt: toValues(m.GetLearnt()), Founders: toIncarnations(m.GetFounders()),
	}
	for _, r := range m.GetRegisters() {
		s.Registers = append(s.Registers, quorum.Register{
			Name: r.GetName(), Promised: toBallot(r.GetPromised()), Accepted: toBallot(r.GetAccepted()), Value: ToValue(r.GetValue()),
		})
	}
	return s
}
