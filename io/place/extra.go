package place

import (
	"net/netip"

	"cardamomspool/core/engine"
	"cardamomspool/core/rank"
	"cardamomspool/io/peer/peerpb"
)

// LimitExtras returns the limit of second attempts of a service at this host, when the
// given control hosts may decide for the service too. Each host has its share of the limit,
// so that the sum stays within it while several hosts count the same calls, as when one
// replaces another.
func (c Config) LimitExtras(service string, controls []netip.AddrPort) engine.LimitExtras {
	limit := engine.LimitExtras{Share: c.ExtraAttempts, Window: c.ExtraWindow}
	if c.Controls != nil {
		limit.Share *= rank.Share(rank.Position(service, c.Self, controls))
	}
	return limit
}

// askExtra passes the request for a second attempt of a call to the actor of its service.
// It ignores a request about an unknown call.
func (st *entryStream) askExtra(remoteID uint64, silent bool) {
	st.mu.Lock()
	c, ok := st.callsByRemoteID[remoteID]
	st.mu.Unlock()
	if ok {
		st.server.system.Root.Send(c.pid, engine.Extra{Call: c.id, Silent: silent})
	}
}

// recordExtraRefused counts a refused second attempt, and logs it if it is sampled. The
// call is named by its entry host, whose log line "second attempt asked" has the number.
func (s *Server) recordExtraRefused(service string, stream, remoteID uint64, r engine.ExtraRefused) {
	s.metrics.Counter("extra_attempts_refused").Add(1)
	if n := uint64(max(s.cfg.LogOneIn, 0)); n > 0 && s.extrasRefused.Add(1)%n == 0 {
		s.log.Info("second attempt refused", "service", service, "reason", string(r.Reason), "stream", stream, "call_number", remoteID)
	}
}

// AskExtra asks the control host for a second attempt of a call. It returns false when the
// stream has ended or the call is no longer registered.
func (c *Client) AskExtra(e engine.Extra) bool {
	c.mu.Lock()
	_, open := c.callbacks[e.Call]
	c.mu.Unlock()
	return open && c.outgoing.add(&peerpb.CallEvent{Call: e.Call, Event: &peerpb.CallEvent_Extra{Extra: &peerpb.CallExtra{Silent: e.Silent}}})
}
