package entry

import (
	"net/netip"

	"cardamomspool/core/route"
	"cardamomspool/core/wire"
)

// attempt is the state of one sending of a call to a target.
type attempt struct {
	*call
	feedback       route.Feedback    // What the attempt says about its target.
	carrier        netip.AddrPort    // Where the attempt is sent instead of to its target; invalid for none.
	carryOutcome   wire.CarryOutcome // What the carrier said of the attempt.
	targetAnswered bool              // The attempt got an answer of its target.
	linkLost       bool              // The attempt failed because this host's link to the target is lost.
	failure        *heldAnswer       // The answer with which the target says that it failed, not passed on; nil for none.
}

// newAttempt returns the state of an attempt that has not begun.
func newAttempt(c *call) *attempt {
	return &attempt{call: c}
}
