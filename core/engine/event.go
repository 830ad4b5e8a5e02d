package engine

import (
	"net/netip"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
)

type (
	// Result says whether an attempt was answered and whether it may have run the
	// call. What it says about the target's health is its route.Outcome.
	Result uint8

	// Reason says why a call was refused.
	Reason string

	// Event is the sealed set of inputs of a Scheduler.
	Event interface{ isEvent() }

	// Arrive reports a new call.
	Arrive struct {
		// Call identifies the call on this entry host.
		Call uint64
		// Class holds the weight, priority and retry rules of the call.
		Class spec.Class
		// Deadline is the time by which the call must have ended. The Scheduler
		// ignores Class.Deadline.
		Deadline time.Time
		// DataCentre is the data centre that the call came from; may be empty.
		DataCentre string
		// Host identifies the entry host that sends the call to targets; 0 for the host
		// of the Scheduler.
		Host uint64
		// Resets holds the targets that have reset connections of calls which the entry
		// host has decided about alone, since its Arrive before.
		Resets []string
	}

	// Finish reports the end of an attempt. The call has ended when Result is
	// Answered or Broken. After NotSent the Scheduler chooses another target; Feedback
	// has the rest that the target has asked for, or it has left. When
	// Result is NotRun, or when the call is idempotent and Result is Unknown, the
	// Scheduler may send the call again. Otherwise it refuses the call.
	Finish struct {
		// Call identifies the call.
		Call uint64
		// Attempt is the Send.Attempt of the attempt; 0 when only one is in progress.
		Attempt int
		// Result says how the attempt ended.
		Result Result
		// Replayable says that the request's body can be sent once more.
		Replayable bool
		// Feedback is what the attempt revealed about its target.
		Feedback route.Feedback
	}

	// Cancel reports that the caller has disconnected or that the deadline has
	// passed. The call ends without a Refuse.
	Cancel struct {
		// Call identifies the call.
		Call uint64
		// DeadlinePassed says that the deadline has passed.
		DeadlinePassed bool
	}

	// Extra asks for a second attempt of a call beside the one in progress. The
	// Scheduler answers with a Send with Extra set, or not at all.
	Extra struct {
		// Call identifies the call.
		Call uint64
		// Silent says that the connection of the attempt in progress has been silent and
		// may be dead. The second attempt then counts as a retry, and not against the limit
		// of second attempts.
		Silent bool
	}

	// SetTargets replaces the targets of the service.
	SetTargets struct {
		// Records holds all known targets of the service.
		Records []member.Record
	}

	// Configure replaces the service document.
	Configure struct {
		// Document must be valid.
		Document spec.Service
	}

	// ProbeReport delivers the result of a probe of a target.
	ProbeReport struct {
		// Target is the name of the target.
		Target string
		// Probe is the result of the probe.
		Probe route.Probe
	}

	// LimitReport delivers what a target said about its limit in an answer to a call
	// that another host decided about.
	LimitReport struct {
		// Target is the name of the target.
		Target string
		// Limit is the limit that the answer named.
		Limit wire.Limit
		// Elapsed is the time since the call was sent to the target.
		Elapsed time.Duration
	}

	// SetColdLimit replaces the limit for calls to cold targets.
	SetColdLimit struct {
		// Limit is the new limit.
		Limit route.ColdLimit
	}

	// LearnResets reports that another host has learnt that the targets reset connections
	// when they are full.
	LearnResets struct{}

	// SetSlotShare sets the share of the slots that this host may use at targets that reset
	// connections when they are full, see route.Table.SetSlotShare.
	SetSlotShare struct {
		// Share is the new share.
		Share float64
	}

	// Tick reports that time has passed: queued calls that have waited too long
	// are refused, calls at targets whose results are overdue are ended, and queued
	// calls are sent if targets have become available.
	Tick struct{}

	// Action is the sealed set of outputs of a Scheduler.
	Action interface{ isAction() }

	// Send tells the entry host to send a call to a target.
	Send struct {
		// Call identifies the call.
		Call uint64
		// Target is the name of the target.
		Target string
		// Address is the address at which the target accepts calls.
		Address netip.AddrPort
		// Incarnation is that of the target; 0 when unknown.
		Incarnation uint64
		// Attempt is the number of this attempt of the call, from 1.
		Attempt int
		// Candidates is the number of targets that could have been chosen.
		Candidates int
		// Why says what decided the choice.
		Why route.Why
		// InFlight is the number of other calls in flight from this entry host to
		// the target.
		InFlight int
		// ReportAge is the age of the target's last load report, negative
		// when it has sent none.
		ReportAge time.Duration
		// HeldFor is the time from the call's arrival to this attempt.
		HeldFor time.Duration
		// ExtraAfter is the time after which the entry host may send an Extra; 0 for
		// none.
		ExtraAfter time.Duration
		// Extra marks a second attempt beside one in progress.
		Extra bool
		// ResetsWhenFull says that the targets of the service reset connections when
		// they are full.
		ResetsWhenFull bool
	}

	// Hold tells the entry host that a call is queued until a target is available.
	Hold struct {
		// Call identifies the call.
		Call uint64
		// ResetsWhenFull is as in Send.
		ResetsWhenFull bool
	}

	// Refuse tells the entry host to refuse a call, which ends it.
	Refuse struct {
		// Call identifies the call.
		Call uint64
		// Reason says why the call is refused.
		Reason Reason
		// NotRun is true when no attempt can have run the call.
		NotRun bool
		// RetryAfter is the length of time after which the caller may retry.
		RetryAfter time.Duration
		// ResetsWhenFull is as in Send.
		ResetsWhenFull bool
	}
)

// The results of an attempt.
const (
	// Answered means that the target's answer, which may be an error, reached
	// the caller completely.
	Answered Result = iota + 1
	// NotRun means that the attempt certainly did not run the call.
	NotRun
	// Unknown means that the attempt may have run the call.
	Unknown
	// Broken means that the target's answer began but did not reach the
	// caller completely.
	Broken
	// NotSent means that the attempt was not made, because the entry host knows
	// that the chosen target is draining, has left or has asked it for rest.
	NotSent
	// Withdrawn means that the attempt was cancelled because another attempt of the
	// call has won.
	Withdrawn
)

// The reasons for a refusal.
const (
	// NoTarget means that no target is ready or cold.
	NoTarget Reason = "no_target"
	// QueueFull means that the call's weight exceeds what is left of the queue.
	QueueFull Reason = "queue_full"
	// NoProspect means that the estimated wait exceeds the time that the call
	// may wait.
	NoProspect Reason = "no_prospect"
	// WaitedTooLong means that the call was queued for as long as it may wait.
	WaitedTooLong Reason = "waited_too_long"
	// TooManyOpen means that the service has as many open calls on this entry
	// host as its document allows.
	TooManyOpen Reason = "too_many_open"
	// TargetsRefuse means that the last attempt did not run the call, and that
	// the call may not be sent again.
	TargetsRefuse Reason = "targets_refuse"
	// TargetFailed means that the last attempt may have run the call, and that
	// the call may not be sent again.
	TargetFailed Reason = "target_failed"
	// Unreported means that the result of the last attempt was not reported by
	// the call's deadline and some time after it.
	Unreported Reason = "unreported"
	// OverQuota means that the client account has used its quota.
	OverQuota Reason = "over_quota"
)

var (
	_ Event  = Arrive{}
	_ Event  = Finish{}
	_ Event  = Cancel{}
	_ Event  = Extra{}
	_ Event  = SetTargets{}
	_ Event  = Configure{}
	_ Event  = ProbeReport{}
	_ Event  = LimitReport{}
	_ Event  = SetColdLimit{}
	_ Event  = LearnResets{}
	_ Event  = SetSlotShare{}
	_ Event  = Tick{}
	_ Action = Send{}
	_ Action = Hold{}
	_ Action = Refuse{}
)

// String returns the name of the result, and "none" for an unknown one.
func (r Result) String() string {
	switch r {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	case Broken:
		return "broken"
	case NotSent:
		return "not_sent"
	case Withdrawn:
		return "withdrawn"
	}
	return "none"
}

// EndsCall reports whether an answer or a part of one has reached the caller. The
// call then ends without another action.
func (r Result) EndsCall() bool {
	return r == Answered || r == Broken
}

func (Arrive) isEvent()       {}
func (Finish) isEvent()       {}
func (Cancel) isEvent()       {}
func (Extra) isEvent()        {}
func (SetTargets) isEvent()   {}
func (Configure) isEvent()    {}
func (ProbeReport) isEvent()  {}
func (LimitReport) isEvent()  {}
func (SetColdLimit) isEvent() {}
func (LearnResets) isEvent()  {}
func (SetSlotShare) isEvent() {}
func (Tick) isEvent()         {}
func (Send) isAction()        {}
func (Hold) isAction()        {}
func (Refuse) isAction()      {}
