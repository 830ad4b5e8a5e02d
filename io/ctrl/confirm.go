package ctrl

import (
	"context"

	"cardamomspool/io/peer/peerpb"
)

// vote is the part of the accepted value that Confirm tells.
type vote struct {
	epoch   uint64 // Of the view in which this host votes; 0 when it does not vote.
	version uint64 // Of the plan.
	ended   bool   // The value ends the view.
}

// Confirm returns the version of the plan that this host has accepted, whether that is
// chosen or not.
func (s *fleetServer) Confirm(context.Context, *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	v := s.fleet.vote.Load()
	if v == nil {
		return &peerpb.ConfirmReply{}, nil
	}
	return &peerpb.ConfirmReply{Epoch: v.epoch, PlanVersion: v.version, Ended: v.ended}, nil
}

// publishVote copies what the node has accepted for Confirm, which thus does not wait for
// a write to disk. It must be called after each step, once the records of the step are on
// disk and before any of its messages or results is passed on: an acceptance that counts
// for a change is then never missing in an answer. The caller holds the host's stepMu.
func (f *fleet) publishVote() {
	var next vote
	if f.host.node != nil {
		if v, votes := f.host.node.Accepted(planName); votes {
			next = vote{epoch: f.view.Epoch, version: v.Version, ended: len(v.Next) > 0}
		}
	}
	if last := f.vote.Load(); last == nil || *last != next {
		f.vote.Store(&next)
	}
}
