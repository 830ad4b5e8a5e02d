package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cardamomspool/core/crash"
	"cardamomspool/core/engine"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

const (
	// reasonCrashesTargets is why a call that is blocked is refused.
	reasonCrashesTargets engine.Reason = "crashes_targets"
	// lostCallsInterval is the time between two exchanges of lost calls with one other
	// entry host, drawn at random, beside those at once: for a host that was out of touch
	// or has started since.
	lostCallsInterval = 5 * time.Second
)

// identify returns the digests by which a call is known when it comes again. It reports
// false for a call that another entry host of an earlier version has this one carry.
func (c *call) identify(r *http.Request) (crash.ID, bool) {
	if c.carriedIn {
		return c.carriedID, c.carriedID != crash.ID{}
	}
	id := crash.ID{Head: requestHead(r)}
	id.Content = crash.Content(id.Head, c.body.beginning(crash.MaxBodyBytes))
	id.Caller = crash.Caller(callerAddress(r, c.trustedProxies))
	return id, true
}

// requestHead returns the digest of a request without its body.
func requestHead(r *http.Request) uint64 {
	return crash.Head(r.Method, withoutPort(r.Host), r.URL.RequestURI())
}

// blockLeft returns how long the call is still blocked, since it has probably crashed
// targets.
func (h *Host) blockLeft(c *call, r *http.Request) (time.Duration, bool) {
	if h.suspects.Empty() {
		return 0, false
	}
	id, known := c.identify(r)
	if !known {
		return 0, false
	}
	now := time.Now()
	until, blocked := h.suspects.Blocked(id, now)
	return until.Sub(now), blocked
}

// awaitIdentity reads the beginning of the body of a new call if it may be a blocked one,
// as blockLeft needs it. It returns the error of a body that could not be read.
func (h *Host) awaitIdentity(w responseWriter, r *http.Request, c *call) error {
	if c.body.complete() || h.suspects.Empty() || !h.suspects.Knows(requestHead(r)) {
		return nil
	}
	if err := w.controller.SetReadDeadline(c.deadline); err != nil {
		return err
	}
	if err := c.body.fetchBeginning(crash.MaxBodyBytes); err != nil {
		return err
	}
	return w.controller.SetReadDeadline(time.Time{})
}

// refuseBlocked returns the refusal of a call that is blocked for the given time, and
// counts it.
func (h *Host) refuseBlocked(c *call, left time.Duration) engine.Refuse {
	h.metrics.Counter("calls_blocked").Add(1)
	return engine.Refuse{Call: c.id, Reason: reasonCrashesTargets, NotRun: true, RetryAfter: left}
}

// callAnswered clears a call that a target has answered, and tells other hosts so.
func (h *Host) callAnswered(c *call, r *http.Request) {
	if h.suspects.Empty() {
		return
	}
	id, known := c.identify(r)
	if !known {
		return
	}
	h.suspects.Clear(c.name, id)
}

// shareLostCalls sends reports to the control hosts of a fleet, or to all listed entry
// hosts. It does not block.
func (h *Host) shareLostCalls(reports []crash.Report) {
	if h.fleet != nil {
		h.fleet.follower.SendLostCalls(h.forwarder.work, reports)
		return
	}
	for _, p := range h.members.peers {
		go h.exchangeLostCalls(h.forwarder.work, p, reports)
	}
}

// exchangeLostCalls sends reports to a listed entry host and merges those that it holds.
func (h *Host) exchangeLostCalls(ctx context.Context, p *peerConn, reports []crash.Report) {
	messages, err := p.exchangeLostCalls(ctx, peer.FromLostCalls(reports, time.Now()))
	if err != nil {
		h.log.Debug("lost calls not exchanged", "peer", p.host, "error", err)
		return
	}
	h.members.mergeLostCalls(messages)
}

// runLostCalls exchanges lost calls with all listed entry hosts at the start, and then
// with one at a time, until ctx ends.
func (h *Host) runLostCalls(ctx context.Context) {
	var list []*peerConn
	for _, p := range h.members.peers {
		list = append(list, p)
		go h.exchangeLostCalls(ctx, p, nil)
	}
	for len(list) > 0 && sleep(ctx, lostCallsInterval) {
		h.crashes.Expire(time.Now())
		reports, _ := h.crashes.AppendChanged(nil, 0, 1)
		h.exchangeLostCalls(ctx, list[rand.IntN(len(list))], reports)
	}
}

// LostCalls merges the reports of another entry host and replies with those of this host.
func (m *membership) LostCalls(_ context.Context, req *peerpb.LostCallsRequest) (*peerpb.LostCallsReply, error) {
	m.mergeLostCalls(req.GetCalls())
	reports, _ := m.crashes.AppendChanged(nil, 0, 1)
	return &peerpb.LostCallsReply{Calls: peer.FromLostCalls(reports, time.Now())}, nil
}

// mergeLostCalls merges reports of another entry host.
func (m *membership) mergeLostCalls(messages []*peerpb.LostCall) {
	now := time.Now()
	feed.MergeLostCalls(m.crashes, peer.ToLostCalls(messages, now), now, m.log)
}

// exchangeLostCalls sends reports to the other host and returns those that it holds.
func (p *peerConn) exchangeLostCalls(ctx context.Context, calls []*peerpb.LostCall) ([]*peerpb.LostCall, error) {
	conn, err := p.get()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, err := peerpb.NewMembershipClient(conn).LostCalls(ctx, &peerpb.LostCallsRequest{Host: p.localHost, Calls: calls})
	p.recordResult(conn, err)
	return reply.GetCalls(), err
}
