package peer

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"cardamomspool/core/member"
	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/io/peer/peerpb"
)

// Dial returns a client connection to a process at address. The connection is
// made when it is first used and again whenever it is lost.
func Dial(address netip.AddrPort, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	opts = append(opts, grpc.WithTransportCredentials(insecure.NewCredentials()))
	return grpc.NewClient("passthrough:///"+address.String(), opts...)
}

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

// FromRecord converts a target's record to its message.
func FromRecord(r member.Record) *peerpb.Record {
	return &peerpb.Record{
		Service: r.Service, Target: r.Target, Address: r.Address.String(), DataCentre: r.DataCentre,
		State: uint32(r.State), Incarnation: r.Incarnation, Slots: uint32(r.Slots), Voucher: r.Voucher,
	}
}

// ToRecord converts a message to a target's record. It fails when the address
// is no IP number with port or the record is not valid.
func ToRecord(m *peerpb.Record) (member.Record, error) {
	var (
		address netip.AddrPort
		err     error
	)
	if address, err = netip.ParseAddrPort(m.GetAddress()); err != nil {
		return member.Record{}, errors.Wrap(err, "peer: record")
	}
	r := member.Record{
		Key:     member.Key{Service: m.GetService(), Target: m.GetTarget()},
		Address: address, DataCentre: m.GetDataCentre(), State: member.State(min(m.GetState(), 255)),
		Incarnation: m.GetIncarnation(), Slots: int(m.GetSlots()), Voucher: m.GetVoucher(),
	}
	if err = r.Validate(); err != nil {
		return member.Record{}, err
	}
	return r, nil
}
