package entry

import (
	"net/netip"
	"slices"

	"cardamomspool/core/engine"
	"cardamomspool/core/route"
	"cardamomspool/core/wire"
	"cardamomspool/io/links"
)

// attempt is the state of one sending of a call to a target.
type attempt struct {
	*call
	number         int               // Names the attempt to the control host; 0 for one that runs alone.
	extra          bool              // It was sent beside another attempt of the call.
	feedback       route.Feedback    // What the attempt says about its target.
	carrier        netip.AddrPort    // Where the attempt is sent instead of to its target; invalid for none.
	carryOutcome   wire.CarryOutcome // What the carrier said of the attempt.
	targetAnswered bool              // The attempt got an answer of its target.
	resetsWhenFull bool              // The targets of the service reset connections when they are full.
	linkLost       bool              // The attempt failed because this host's link to the target is lost.
	keyProblem     *problem          // Why it was not sent: the key is not accepted any more; nil for none.
	failure        *heldAnswer       // The answer with which the target says that it failed, not passed on; nil for none.
	hints          *earlyHints       // The informational responses of the target.
	target         string            // The name of the target.
	resent         bool              // The call may have been sent to the target before.
	avoid          []*links.Conn     // The connections on which the call was refused before.
	refusedOn      *links.Conn       // That on which the target has refused the attempt; nil for none.
	marks          marks             // How far the attempt has come.
	status         int               // The status of the target's answer; 0 for none.
	racer          *racer            // Its part in a race; nil for an attempt that runs alone.
}

// newAttempt returns the state of an attempt that has not begun. It is numbered only if
// the decision allows more than one at a time, so that reports without second attempts
// stay as they are.
func newAttempt(c *call, s engine.Send) *attempt {
	a := &attempt{call: c, extra: s.Extra, target: s.Target}
	if s.Extra || s.ExtraAfter > 0 {
		a.number = s.Attempt
	}
	return a
}

// noteSend records that the attempt is about to be made. It must be called before another
// attempt of the call is.
func (a *attempt) noteSend(s engine.Send) {
	a.resent, a.avoid = slices.Contains(a.sentTo, s.Address), a.call.refusedOn
	a.sentTo = append(a.sentTo, s.Address)
}

// noteEnd records what the attempt, which has ended, means for further attempts of the call.
func (a *attempt) noteEnd(result engine.Result) {
	if a.failure != nil {
		a.held = a.failure
	}
	if a.refusedOn != nil {
		a.call.refusedOn = append(a.call.refusedOn, a.refusedOn)
	}
	a.mayHaveRun = a.mayHaveRun || result == engine.Unknown
}
