package peer

import (
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"cardamomspool/core/member"
	"cardamomspool/io/peer/peerpb"
)

// Dial returns a client connection to a process at address. The connection is
// made when it is first used and again whenever it is lost.
func Dial(address netip.AddrPort, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	opts = append(opts, grpc.WithTransportCredentials(insecure.NewCredentials()))
	return grpc.NewClient("passthrough:///"+address.String(), opts...)
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
