package wire

import "time"

// The headers of the system. Entries strip them from callers' requests.
const (
	// Prefix starts every header of the system.
	Prefix = "Spool-"
	// HeaderOutcome tells a caller, or an entry, what became of a call that
	// has no answer: OutcomeNotRun or OutcomeUnknown.
	HeaderOutcome = "Spool-Outcome"
	// HeaderReason says why a call was refused.
	HeaderReason = "Spool-Reason"
	// HeaderCall identifies a call in logs of entries and targets.
	HeaderCall = "Spool-Call"
	// HeaderDeadline gives a target the time left in milliseconds.
	HeaderDeadline = "Spool-Deadline-Ms"
	// HeaderLoad carries a target's report on its answers.
	HeaderLoad = "Spool-Load"
	// HeaderState carries a target's state on its answers.
	HeaderState = "Spool-State"
	// HeaderIncarnation carries the incarnation that HeaderState is about. A
	// state without it counts only at the entry host that reads it.
	HeaderIncarnation = "Spool-Incarnation"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

// RetryAfterSeconds returns d in whole seconds, rounded up, at least 1, as
// the Retry-After header wants it.
func RetryAfterSeconds(d time.Duration) int {
	return int(max((d+time.Second-1)/time.Second, 1))
}
