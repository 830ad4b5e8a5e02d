package ctrl

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
)

const (
	// planName is the one document that the hosts of a fleet agree on.
	planName = "plan"
	// proposeLimit is how long a change or a read may take; operators have
	// long gone on to another host by then.
	proposeLimit = 3 * time.Second
)

// ErrNotMember reports a control host that does not vote; one that does must be
// asked.
var ErrNotMember = errors.New("control: this host does not vote")

// PutPlan puts a plan in force and returns once a majority holds it on disk,
// or a higher version. It returns ErrNotMember when this host does not vote
// and quorum.ErrNoMajority when the outcome is not known.
func (h *Host) PutPlan(ctx context.Context, d plan.Document) error {
	body, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "control: plan")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	begin := time.Now()
	c := quorum.Change{Name: planName, Version: d.Plan.Version, At: begin, Body: body}
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Apply(now, c) })
	h.log.Info("plan proposed", "version", d.Plan.Version, "epoch", h.fleet.board.View().Epoch,
		"held", r.Value.Version, "took", time.Since(begin).String(), "error", errorText(r.Err))
	return memberError(r.Err)
}

// ReadPlan returns the newest plan as a majority holds it, and false when
// there is none. It returns ErrNotMember when this host does not vote and
// quorum.ErrNoMajority when too few answer.
func (h *Host) ReadPlan(ctx context.Context) (plan.Document, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	var d plan.Document
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Read(now, planName) })
	switch {
	case r.Err != nil:
		return d, false, memberError(r.Err)
	case len(r.Value.Next) > 0:
		return d, false, quorum.ErrNoMajority // The next view may hold a newer one.
	case r.Value.Version == 0:
		return d, false, nil
	}
	if err := json.Unmarshal(r.Value.Body, &d); err != nil {
		return d, false, errors.Wrap(err, "control: plan")
	}
	return d, true, nil
}

// Voters returns the addresses at which the fronts of the voting hosts serve,
// all but this one's.
func (h *Host) Voters() []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range h.fleet.board.View().Members {
		if m.Host != h.fleet.self() {
			list = append(list, netip.AddrPortFrom(m.Host, h.cfg.Fleet.FrontAddress.Port()))
		}
	}
	return list
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// memberError returns the error of a proposal as the front sees it.
func memberError(err error) error {
	var sealed *quorum.SealedError
	switch {
	case errors.Is(err, errNoVote):
		return ErrNotMember
	case errors.As(err, &sealed):
		return quorum.ErrNoMajority // The next view is about to begin.
	}
	return err
}
