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
	// planName names the only document that the control hosts of a fleet agree on.
	planName = "plan"
	// proposeTimeout bounds a change or a read; operators have long since
	// retried on another host by then.
	proposeTimeout = 3 * time.Second
)

// ErrNotMember reports that this control host is not a member of the current view,
// or has stopped. The caller must send the request to a member.
var ErrNotMember = errors.New("control: this host does not vote")

// PutPlan proposes a plan and returns nil once a majority has written it, or a
// plan with a higher version, to disk. It need not propose the plan for that, or can stop
// proposing it, once this host knows that such a version was chosen. The orders to evacuate
// data centres stay in force. It returns ErrNotMember, quorum.ErrRecovering
// while this host is a member that does not vote yet, and quorum.ErrNoMajority when
// the outcome is unknown. The host must be part of a fleet, as for ReadPlan and
// Voters.
func (h *Host) PutPlan(ctx context.Context, d plan.Document) error {
	if chosen, _ := h.chosenVersion(); chosen >= d.Plan.Version {
		h.log.Info("plan superseded", "version", d.Plan.Version, "held", chosen)
		return nil
	}
	body, err := d.Encode()
	if err != nil {
		return errors.Wrap(err, "control: plan")
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	begin := time.Now()
	c := quorum.Change{Name: planName, Version: d.Plan.Version, At: begin, Body: body, Edit: func(current json.RawMessage) (json.RawMessage, error) {
		return plan.WithOrdersOf(current, body)
	}}
	go func() {
		if h.waitChosen(ctx, d.Plan.Version) {
			cancel() // The proposal has nothing left to do.
		}
	}()
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Apply(now, c) })
	held := r.Value.Version
	if chosen, _ := h.chosenVersion(); chosen >= d.Plan.Version && errors.Is(r.Err, quorum.ErrNoMajority) && caller.Err() == nil {
		held, r.Err = chosen, nil
	}
	h.log.Info("plan proposed", "version", d.Plan.Version, "epoch", h.fleet.state.View().Epoch,
		"held", held, "took", time.Since(begin).String(), "error", errorText(r.Err))
	return frontError(r.Err)
}

// chosenVersion returns the highest version of the plan that this host knows to be chosen,
// and a channel that is closed when it may have risen.
func (h *Host) chosenVersion() (uint64, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.learnt[planName].Chosen.Version, h.changed
}

// waitChosen waits until this host knows that a plan of the given version or a higher one
// was chosen. It returns false when ctx ends first.
func (h *Host) waitChosen(ctx context.Context, version uint64) bool {
	for {
		chosen, changed := h.chosenVersion()
		if chosen >= version {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// ReadPlan returns the newest plan that a majority holds, and false when there
// is none. It returns ErrNotMember, quorum.ErrRecovering while this host is a member
// that does not vote yet, and quorum.ErrNoMajority when too few hosts answer or the
// view is ending. It also fails when the plan cannot be decoded.
func (h *Host) ReadPlan(ctx context.Context) (plan.Document, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Read(now, planName) })
	switch {
	case r.Err != nil:
		return plan.Document{}, false, frontError(r.Err)
	case len(r.Value.Next) > 0:
		return plan.Document{}, false, quorum.ErrNoMajority // The next view may hold a newer plan.
	case r.Value.Version == 0:
		return plan.Document{}, false, nil
	}
	d, err := plan.DecodeDocument(r.Value.Body)
	return d, err == nil, errors.Wrap(err, "control: plan")
}

// Voters returns the front addresses of the voting hosts other than this one.
func (h *Host) Voters() []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range h.fleet.state.View().Members {
		if m.Host != h.fleet.self() {
			list = append(list, netip.AddrPortFrom(m.Host, h.cfg.Fleet.FrontAddress.Port()))
		}
	}
	return list
}

// errorText returns the text of err for a log line; it is empty without an error.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// frontError translates the error of a proposal into the error that the handler
// of the front address expects from PutPlan and ReadPlan.
func frontError(err error) error {
	var ended *quorum.ViewEndedError
	switch {
	case errors.Is(err, errNotTakingPart):
		return ErrNotMember
	case errors.As(err, &ended):
		return quorum.ErrNoMajority // The next view is about to begin.
	}
	return err
}
