package peer

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
	"cardamomspool/io/peer/peerpb"
)

// FromRecord converts a target's record to its protobuf message.
func FromRecord(r member.Record) *peerpb.Record {
	m := &peerpb.Record{
		Service: r.Service, Target: r.Target, Address: r.Address.String(), DataCentre: r.DataCentre,
		State: uint32(r.State), Incarnation: r.Incarnation, Slots: uint32(r.Slots),
		Voucher: r.Owner, Epoch: r.Epoch, Lapsed: r.LeaseExpired,
	}
	if !r.Since.IsZero() {
		m.Since = r.Since.UnixMilli()
	}
	return m
}

// ToRecord converts a protobuf message to a target's record. It fails when the
// address is not an IP address with a port, or the record is not valid according
// to member.Record.Validate.
func ToRecord(m *peerpb.Record) (member.Record, error) {
	var (
		address netip.AddrPort
		err     error
	)
	if address, err = netip.ParseAddrPort(m.GetAddress()); err != nil {
		return member.Record{}, errors.Wrap(err, "peer: address of the record")
	}
	r := member.Record{
		Key: member.Key{Service: m.GetService(), Target: m.GetTarget()},
		// The state is clamped, so that the conversion does not wrap a bad value to
		// a valid state.
		Address: address, DataCentre: m.GetDataCentre(), State: member.State(min(m.GetState(), 255)),
		Incarnation: m.GetIncarnation(), Slots: int(m.GetSlots()),
		Owner: m.GetVoucher(), Epoch: m.GetEpoch(), LeaseExpired: m.GetLapsed(),
	}
	if m.GetSince() != 0 {
		r.Since = time.UnixMilli(m.GetSince()).UTC()
	}
	if err = r.Validate(); err != nil {
		return member.Record{}, err
	}
	return r, nil
}

// FromRecords converts targets' records to their protobuf messages.
func FromRecords(records []member.Record) []*peerpb.Record {
	list := make([]*peerpb.Record, len(records))
	for i, r := range records {
		list[i] = FromRecord(r)
	}
	return list
}

// ToRecords converts protobuf messages to targets' records. It skips the messages
// that are not valid and returns their number.
func ToRecords(messages []*peerpb.Record) (records []member.Record, invalid int) {
	records = make([]member.Record, 0, len(messages))
	for _, m := range messages {
		r, err := ToRecord(m)
		if err != nil {
			invalid++
			continue
		}
		records = append(records, r)
	}
	return records, invalid
}

// ParseAddress parses an address of the form IP:port; it returns the zero value
// when s is malformed.
func ParseAddress(s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}
