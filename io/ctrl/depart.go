package ctrl

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
	"cardamomspool/core/quorum"
	"cardamomspool/core/roster"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

// fleetServer serves the fleet's state to other hosts. Its streams of calls end when the
// context stop ends.
type fleetServer struct {
	*feed.Server
	fleet *fleet
	stop  context.Context
}

// departTimeout bounds the replication of a departure, a target's change to
// draining or leaving, to a majority. A target without an acknowledgement within
// one second retries on another control host.
const departTimeout = 700 * time.Millisecond

// errDepartureNotConfirmed reports a departure that fewer than a majority of
// control hosts have acknowledged.
var errDepartureNotConfirmed = errors.New("control: no majority of control hosts has taken the departure")

// Depart applies departures as feed.Server does, and acknowledges them once they are on
// disk, so that no loss of power brings the targets back.
func (s *fleetServer) Depart(ctx context.Context, r *peerpb.DepartRequest) (*peerpb.DepartReply, error) {
	reply, err := s.Server.Depart(ctx, r)
	if err != nil {
		return nil, err
	}
	return reply, s.fleet.persistTargets(ctx)
}

// Announce applies a target's heartbeat to this host's copy of the fleet's
// state. When the target is draining or leaving, Announce also sends this
// departure to the voting hosts, and returns an error unless a majority has
// it on disk within departTimeout.
func (h *Host) Announce(ctx context.Context, t roster.Target) error {
	h.fleet.state.UpdateTargets(true, t)
	if t.State < member.Draining {
		return nil
	}
	return h.fleet.replicateDeparture(ctx, t)
}

// Target returns the known state of a target, and false when it is unknown.
func (h *Host) Target(id string) (roster.Target, bool) {
	return h.fleet.state.Target(id)
}

// replicateDeparture sends the departure of a target to all voting hosts and waits
// until a majority, which may include this host, has it on disk. It returns
// errDepartureNotConfirmed when no majority has within departTimeout.
func (f *fleet) replicateDeparture(ctx context.Context, t roster.Target) error {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	view := f.state.View()
	request := feed.NewDepartRequest(t, time.Now())
	answers := make(chan bool, len(view.Members))
	outstanding, acks := 0, 0
	for _, m := range view.Members {
		outstanding++
		if m.Host == f.self() {
			go func() { answers <- f.persistTargets(ctx) == nil }()
			continue
		}
		go func() { answers <- f.sendDeparture(ctx, m.Host, request) }()
	}
	for ; outstanding > 0 && acks < quorum.Majority(len(view.Members)); outstanding-- {
		if <-answers {
			acks++
		}
	}
	f.host.log.Info("departure taken", "target", t.ID, "state", t.State.String(), "hosts", acks, "epoch", view.Epoch)
	if len(view.Members) == 0 || acks < quorum.Majority(len(view.Members)) {
		return errDepartureNotConfirmed
	}
	return nil
}

// sendDeparture sends request to one voting host and reports whether the host has
// acknowledged it.
func (f *fleet) sendDeparture(ctx context.Context, host netip.Addr, request *peerpb.DepartRequest) bool {
	conn, err := peer.Dial(netip.AddrPortFrom(host, f.host.cfg.PeerAddress.Port()), peer.WithTraffic(f.host.peerTraffic()))
	if err == nil {
		defer conn.Close()
		_, err = peerpb.NewFleetClient(conn).Depart(ctx, request)
	}
	if err != nil {
		f.host.log.Debug("departure not delivered", "peer", host.String(), "error", err)
	}
	return err == nil
}
