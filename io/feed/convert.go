package feed

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/hash"
	"cardamomspool/core/member"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

// errTarget reports a target without a name, a service or a valid state.
var errTarget = errors.New("feed: target lacks a name, a service or a valid state")

// fromTarget converts a target to its protobuf message. Times are sent in
// milliseconds, relative to now except for the start of the target, so that the
// hosts' clocks need not agree.
func fromTarget(t roster.Target, now time.Time) *peerpb.TargetState {
	m := &peerpb.TargetState{
		Id: t.ID, Service: t.Service, DataCentre: t.DataCentre, Slots: uint32(max(t.Slots, 0)), State: uint32(t.State),
		Sequence: t.Sequence, AgeMs: uint32(max(now.Sub(t.Heard), 0).Milliseconds()),
	}
	if t.Address.IsValid() {
		m.Address = t.Address.String()
	}
	if !t.Born.IsZero() {
		m.Born = uint64(max(t.Born.UnixMilli(), 0))
	}
	if t.WarmAt.After(now) {
		m.WarmLeftMs = uint32(t.WarmAt.Sub(now).Milliseconds())
	}
	return m
}

// digest returns a hash of the fields of a target whose change a follower must be
// sent: all but its sequence number, the time of its last heartbeat and the end of
// its warm-up.
func digest(t roster.Target) uint64 {
	var buf [160]byte
	text := buf[:0]
	for _, field := range []string{t.ID, t.Service, t.DataCentre} {
		text = append(append(text, field...), ' ')
	}
	if t.Address.IsValid() {
		text = t.Address.AppendTo(text)
	} else {
		text = append(text, t.Address.String()...)
	}
	for _, n := range []int64{int64(t.Slots), int64(t.State), t.Born.UnixMilli()} {
		text = strconv.AppendInt(append(text, ' '), n, 10)
	}
	return hash.Add(hash.Start, text)
}

// toTarget converts a protobuf message that arrived at now to a target. It returns
// errTarget when a required field is missing or the state is not valid; a target
// that is leaving needs no service. It also fails when the address is malformed or
// roster.Target.Validate does.
func toTarget(m *peerpb.TargetState, now time.Time) (roster.Target, error) {
	t := roster.Target{
		ID: m.GetId(), Service: m.GetService(), DataCentre: m.GetDataCentre(), Slots: int(m.GetSlots()),
		State: member.State(min(m.GetState(), uint32(member.Leaving))), Sequence: m.GetSequence(),
		Heard: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
	if t.ID == "" || t.State < member.Cold || t.Service == "" && t.State < member.Leaving {
		return t, errTarget
	}
	if m.GetAddress() != "" {
		var err error
		if t.Address, err = netip.ParseAddrPort(m.GetAddress()); err != nil {
			return t, errors.Wrap(err, "feed: target address")
		}
	}
	if m.GetBorn() > 0 {
		t.Born = time.UnixMilli(int64(m.GetBorn()))
	}
	if left := m.GetWarmLeftMs(); left > 0 {
		t.WarmAt = now.Add(time.Duration(left) * time.Millisecond)
	}
	return t, t.Validate()
}

// fromView converts a view to its protobuf message.
func fromView(v View) *peerpb.View {
	m := &peerpb.View{Epoch: v.Epoch, Members: v.Names()}
	if v.Initial.Revision > 0 {
		m.Initial = peer.FromValue(v.Initial)
	}
	return m
}

// toView converts a protobuf message to a view. It fails when a member is
// malformed.
func toView(m *peerpb.View) (View, error) {
	v := View{Epoch: m.GetEpoch(), Initial: peer.ToValue(m.GetInitial())}
	for _, name := range m.GetMembers() {
		member, err := ParseMember(name)
		if err != nil {
			return v, err
		}
		v.Members = append(v.Members, member)
	}
	return v, nil
}
