package ctrl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
)

// settlePause is the time between two reads of a value that may be agreed on.
const settlePause = 50 * time.Millisecond

// SetEvacuated orders the evacuation of a data centre, or withdraws the order if evacuated
// is false. It returns nil once a majority has written the order, or what came after it, to
// disk; both are idempotent. It returns plan.ErrDataCentreName for an invalid name, and the
// errors of PutPlan. An order that was not acknowledged may be in force or not, but does not
// come into force after ctx has ended and another order was acknowledged. The host must be
// part of a fleet.
func (h *Host) SetEvacuated(ctx context.Context, dataCentre string, evacuated bool) error {
	if err := plan.ValidDataCentre(dataCentre); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	begin := time.Now()
	// The request makes the order act at most once, also when its ballot is lost and another
	// host completes it and withdraws it meanwhile.
	c := quorum.Change{Name: planName, Request: rand.Text(), At: begin, Edit: func(current json.RawMessage) (json.RawMessage, error) {
		if err := ctx.Err(); err != nil {
			return nil, err // The operator has sent the order again, and may have withdrawn it since.
		}
		return plan.WithOrder(current, dataCentre, evacuated)
	}}
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Apply(now, c) })
	h.publishPending() // An order that was acknowledged is known here.
	h.log.Info("evacuation ordered", "evacuated_data_centre", dataCentre, "evacuated", evacuated, "epoch", h.fleet.state.View().Epoch,
		"revision", r.Value.Revision, "took", time.Since(begin).String(), "error", errorText(r.Err))
	if r.Err == nil {
		h.metrics.Counter("evacuation_orders").Add(1)
	}
	return frontError(r.Err)
}

// Evacuation returns the evacuated data centres as known to this host, and the revision of
// the agreed value that lists them; 0 when no order was ever given. The host must be part of
// a fleet.
func (h *Host) Evacuation() (uint64, []string) {
	return h.fleet.state.Evacuation()
}

// publishOrders stores the orders of a chosen value in the fleet state. A value without
// requests is one of a fleet that has never had an order: its followers are told nothing.
func (f *fleet) publishOrders(v quorum.Value) {
	if len(v.Requests) == 0 {
		return
	}
	list, err := plan.EvacuatedIn(v.Body)
	if err != nil {
		f.host.log.Error("chosen orders could not be decoded", "revision", v.Revision, "error", err)
		return
	}
	f.state.SetEvacuation(v.Revision, list)
}

// hasUnsettledOrders reports whether a host has accepted a plan whose orders differ from
// those of the plan that it knows to be agreed on. Orders that cannot be decoded count as
// different.
func hasUnsettledOrders(saved quorum.Saved) bool {
	var learnt quorum.Value
	for _, l := range saved.Learnt {
		if l.Chosen.Name == planName {
			learnt = l.Chosen
		}
	}
	for _, r := range saved.Registers {
		if r.Name != planName || r.Value.Revision <= learnt.Revision {
			continue
		}
		accepted, err := plan.EvacuatedIn(r.Value.Body)
		known, errKnown := plan.EvacuatedIn(learnt.Body)
		if err != nil || errKnown != nil || !slices.Equal(accepted, known) {
			return true
		}
	}
	return false
}

// settleOrders reads the plan through a majority until that succeeds, this host takes no
// part in the agreement any more, or ctx ends. What was acknowledged is then known here. It
// waits for contact with a majority first: a read whose questions are lost takes a second.
func (f *fleet) settleOrders(ctx context.Context) {
	defer f.state.SetUnsettled(false)
	for {
		if f.host.Status().Current {
			_, _, err := f.host.ReadPlan(ctx)
			f.host.publishPending()
			if err == nil || errors.Is(err, ErrNotMember) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(settlePause):
		}
	}
}
