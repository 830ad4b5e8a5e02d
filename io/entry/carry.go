package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"cardamomspool/core/crash"
	"cardamomspool/core/engine"
	"cardamomspool/core/keys"
	"cardamomspool/core/reach"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/links"
)

const (
	// maxCarriers is the number of carriers that an attempt is offered to.
	maxCarriers = 4
	// carryPatience is the time in which an attempt is offered to carriers.
	carryPatience = 300 * time.Millisecond
)

// carry makes an attempt through another entry host, and reports false when none has
// taken it, in which case the target has not got the call. a.linkLost is then set unless a
// carrier that reaches other targets does not reach this one either.
func (f *forwarder) carry(ctx context.Context, w responseWriter, r *http.Request, a *attempt, s engine.Send) (engine.Result, bool) {
	if a.carriedIn {
		a.linkLost = f.links.CutOff()
		return 0, false
	}
	defer func() { a.carrier = netip.AddrPort{} }()
	var tried []netip.AddrPort
	confirmed := false
	for begin := time.Now(); len(tried) < maxCarriers && time.Since(begin) < carryPatience && ctx.Err() == nil && a.host.halting.refused.Err() == nil && a.keyProblem == nil && a.body.replayable(); {
		var ok bool
		if a.carrier, ok = f.links.BeginCarry(s.Address, tried, time.Now()); !ok {
			break
		}
		tried = append(tried, a.carrier)
		a.progress.carry(a.carrier)
		result, carried := f.attemptThroughCarrier(ctx, w, r, a, s)
		if carried {
			f.metrics.Counter("calls_carried_out").Add(1)
			return result, true
		}
		confirmed = confirmed || a.carryOutcome == wire.CarryUnreachable
	}
	a.linkLost = !confirmed && len(tried) > 0
	return 0, false
}

// attemptThroughCarrier makes an attempt through a.carrier, and reports false when the
// carrier has not sent the call to the target.
func (f *forwarder) attemptThroughCarrier(ctx context.Context, w responseWriter, r *http.Request, a *attempt, s engine.Send) (engine.Result, bool) {
	carriage := reach.NotTaken
	defer func() { f.links.EndCarry(a.carrier, s.Address, carriage, time.Now()) }()
	a.carryOutcome, a.targetAnswered = "", false
	conn, err := f.links.ConnectCarrier(ctx, a.carrier, a.mayUseAnyIdle())
	if err != nil {
		f.log.Info("carrier not reached", "call", a.name, "target", s.Target, "carrier", a.carrier.String(), "error", err)
		return 0, false
	}
	result := f.exchange(ctx, w, r, a, s, conn)
	switch {
	case a.targetAnswered || a.carryOutcome == wire.CarryUnknown || result == engine.Withdrawn:
		carriage = reach.Carried
	case a.carryOutcome == wire.CarryUnreachable || a.carryOutcome == wire.CarryRefused:
		carriage = reach.NotReached
	}
	if a.host.sampled() {
		f.log.Info("carried", "call", a.name, "target", s.Target, "carrier", a.carrier.String(),
			"result", result.String(), "outcome", string(a.carryOutcome))
	}
	return result, a.targetAnswered || result != engine.NotRun
}

// endCarried ends an attempt for which the carrier has no answer of the target, and sets
// a.feedback.
func (f *forwarder) endCarried(r *http.Request, conn *links.Conn, resp *http.Response, a *attempt) engine.Result {
	if f.discardResponse(conn, resp) {
		conn.EndResponse()
	}
	result := engine.NotRun
	if a.carryOutcome == wire.CarryUnknown {
		result = engine.Unknown
	}
	reset := resp.Header.Get(wire.HeaderCarryReset) != ""
	if reset {
		f.metrics.Counter("connections_reset").Add(1)
	}
	a.feedback = a.feedbackWithoutResponse(r.Context(), result, reset)
	return result
}

// prepareCarry changes the request of an attempt into one to a.carrier. The body of a call
// that could not be sent again is sent once the carrier asks for it, which it does when it
// has reached the target. key is the digest of the caller's key, nil for none.
func prepareCarry(req *http.Request, a *attempt, s engine.Send, id crash.ID, key *keys.Digest) error {
	if req.ContentLength < 0 || req.ContentLength > maxReplayBytes {
		req.Header.Set("Expect", "100-continue")
		req.Close = true
	}
	return wire.SetCarry(req.Header, wire.Carry{
		Head: id.Head, Content: id.Content, Caller: id.Caller,
		Call: a.name, Service: a.service.doc.Name, Target: s.Target, Incarnation: s.Incarnation,
		TimeLeft: strict.Duration(time.Until(a.deadline)), Aim: strict.Duration(a.class.Aim), Idempotent: a.class.Idempotent, Resent: a.resent,
		Key: key,
	})
}

// carrierName returns the address of a carrier for logs, empty for none.
func carrierName(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

// listCarriers renews the list of carriers of a host of a fleet until ctx ends.
func (f *fleet) listCarriers(ctx context.Context) {
	f.host.links.ListCarriers(ctx, f.follower.Entries, func(list []reach.Carrier) { f.countEntryHosts(len(list) + 1) })
}

// sleep waits for d and reports false when ctx has ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// listedCarriers returns the other entry hosts of a fixed list.
func (h *Host) listedCarriers() []reach.Carrier {
	var list []reach.Carrier
	for _, p := range h.cfg.Entries {
		if p.Host != h.cfg.Host {
			list = append(list, reach.Carrier{Address: p.PeerAddress, DataCentre: p.DataCentre})
		}
	}
	return list
}
