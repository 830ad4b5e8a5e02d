package entry

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/io/links"
	"cardamomspool/io/signs"
)

// answeredSince reports whether a target has answered a call of this host since t.
func (f *forwarder) answeredSince(target member.Key, t time.Time) bool {
	return f.activity.evidenceFor(target).Answered.After(t)
}

// observeLoss watches the target of an attempt on conn, which got no whole answer, if the
// target has closed the connection and was not about to leave.
func (f *forwarder) observeLoss(r *http.Request, a *attempt, s engine.Send, conn *links.Conn) {
	id, known := a.identify(r)
	if !known || conn.Address() != s.Address || !conn.WasClosedByTarget() || a.host.hasDeparted(a.call, s) {
		return
	}
	f.losses.Observe(f.work, signs.LostCall{
		Call: a.name, ID: id, Target: member.Key{Service: a.service.doc.Name, Target: s.Target},
		Incarnation: s.Incarnation, Address: s.Address, Method: r.Method, Path: r.URL.EscapedPath(),
		Remote: r.RemoteAddr, Sent: conn.Began(), Lost: time.Now(),
		MayBeFull: a.resetsWhenFull && conn.WasReset(),
	})
}

// callerAddress returns the address of the caller of a request: the last one that is not
// that of a trusted proxy, or the zero value for one that cannot be parsed.
func callerAddress(r *http.Request, trusted []netip.Prefix) netip.Addr {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	for hops := forwardedFor(r.Header); isTrusted(host, trusted) && len(hops) > 0; hops = hops[:len(hops)-1] {
		host = hops[len(hops)-1]
	}
	address, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{} // A proxy has sent something else; all such callers count as one.
	}
	return address
}

// targetReplaced reports whether another target that was started later, or a later
// incarnation of the same one, is known at address. It returns false when the incarnation is
// not known, which is 0 then.
func (h *Host) targetReplaced(incarnation uint64, address netip.AddrPort) bool {
	if h.fleet != nil {
		return h.fleet.state.Replaced(incarnation, address)
	}
	return slices.ContainsFunc(h.members.all(), func(r member.Record) bool {
		return r.Address == address && incarnation > 0 && r.Incarnation > incarnation && !r.LeaseExpired && r.State < member.Leaving
	})
}
