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

// departLimit is how long a departure may take to reach a majority. A target
// that has no acknowledgement within a second goes on to another control host.
const departLimit = 700 * time.Millisecond

// errDeparture reports a departure that too few control hosts have taken.
var errDeparture = errors.New("control: no majority of control hosts has taken the departure")

// Announce takes in what a target says of itself. A target that leaves is
// acknowledged, by a nil error, only once a majority of the voting hosts knows.
func (h *Host) Announce(ctx context.Context, t roster.Target) error {
	h.fleet.board.Hear(true, t)
	if t.State < member.Draining {
		return nil
	}
	return h.fleet.depart(ctx, t)
}

// Target returns what is known of a target.
func (h *Host) Target(id string) (roster.Target, bool) {
	return h.fleet.board.Target(id)
}

// depart tells all control hosts of a target that leaves.
func (f *fleet) depart(ctx context.Context, t roster.Target) error {
	ctx, cancel := context.WithTimeout(ctx, departLimit)
	defer cancel()
	view := f.board.View()
	request := feed.Departing(t, time.Now())
	answers := make(chan bool, len(view.Members))
	asked, taken := 0, 0
	for _, m := range view.Members {
		if m.Host == f.self() {
			taken++
			continue
		}
		asked++
		go func() { answers <- f.tellDeparture(ctx, m.Host, request) }()
	}
	for ; asked > 0 && taken < quorum.Majority(len(view.Members)); asked-- {
		if <-answers {
			taken++
		}
	}
	f.host.log.Info("departure taken", "target", t.ID, "state", t.State.String(), "hosts", taken, "epoch", view.Epoch)
	if len(view.Members) == 0 || taken < quorum.Majority(len(view.Members)) {
		return errDeparture
	}
	return nil
}

func (f *fleet) tellDeparture(ctx context.Context, host netip.Addr, request *peerpb.DepartRequest) bool {
	conn, err := peer.Dial(netip.AddrPortFrom(host, f.host.cfg.PeerAddress.Port()), peer.WithTraffic(f.host.peerTraffic()))
	if err == nil {
		defer conn.Close()
		_, err = peerpb.NewFleetClient(conn).Depart(ctx, request)
	}
	if err != nil {
		f.host.log.Debug("departure not told", "peer", host.String(), "error", err)
	}
	return err == nil
}
