package entry

import (
	"context"
	"net/netip"
	"time"

	"cardamomspool/core/reach"
	"cardamomspool/io/links"
)

// callLinks names what a call needs of the links to targets and carriers; links.Links
// implements it.
type callLinks interface {
	Connect(ctx context.Context, address netip.AddrPort, n links.Need) (*links.Conn, error)
	ConnectCarrier(ctx context.Context, carrier netip.AddrPort, anyIdle bool) (*links.Conn, error)
	Discard(conn *links.Conn) bool
	Trim(address netip.AddrPort, limit int)
	Retire(address netip.AddrPort, t time.Time) int

	Heard(address netip.AddrPort, now time.Time)
	NoteRefusal(conn *links.Conn, named bool)
	NoteAnswer(address netip.AddrPort)
	LostDuring(ctx context.Context, conn *links.Conn, n links.Need) bool
	LostInSilence(conn *links.Conn, target netip.AddrPort, n links.Need) bool
	Check(address netip.AddrPort, now time.Time)
	CutOff() bool

	BeginCarry(target netip.AddrPort, tried []netip.AddrPort, now time.Time) (netip.AddrPort, bool)
	EndCarry(carrier, target netip.AddrPort, carriage reach.Carriage, now time.Time)
}

var _ callLinks = (*links.Links)(nil)

// mayUseAnyIdle reports whether the attempt may use a connection that has been idle for long
// and so may be dead. It may if a second attempt can follow when the connection stays silent.
func (a *attempt) mayUseAnyIdle() bool {
	return a.class.Idempotent && !a.carriedIn && !a.extra
}

// need returns what the attempt needs of a connection.
func (a *attempt) need() links.Need {
	return links.Need{
		AnyIdle: a.mayUseAnyIdle(), CarriedIn: a.carriedIn, ResetsWhenFull: a.resetsWhenFull,
		Fresh: a.resent && a.carriedIn, Avoid: a.avoid, Until: a.host.halting.refused,
	}
}
