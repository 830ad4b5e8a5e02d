package wire

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// The header fields of the system. Entry hosts remove them from callers'
// requests.
const (
	// Prefix is the prefix of all header fields of the system.
	Prefix = "Spool-"
	// HeaderOutcome says, to callers and to entry hosts, whether a call that was
	// not answered may have run: OutcomeNotRun or OutcomeUnknown.
	HeaderOutcome = "Spool-Outcome"
	// HeaderReason holds the reason for a refusal.
	HeaderReason = "Spool-Reason"
	// HeaderCall identifies a call in the logs of entry hosts and targets.
	HeaderCall = "Spool-Call"
	// HeaderDeadline holds the time left until the call's deadline, in
	// milliseconds, for targets.
	HeaderDeadline = "Spool-Deadline-Ms"
	// HeaderLoad holds the load report on a target's answer.
	HeaderLoad = "Spool-Load"
	// HeaderLimit holds the limit that a target names on its answer, in calls a second
	// over all hosts.
	HeaderLimit = "Spool-Limit"
	// HeaderState holds the state of the target on its answer.
	HeaderState = "Spool-State"
	// HeaderIncarnation holds the incarnation that HeaderState belongs to. A
	// state without it applies only at the entry host that receives it.
	HeaderIncarnation = "Spool-Incarnation"
	// HeaderAccount names the client account that makes a call, for targets.
	HeaderAccount = "Spool-Account"
)

// Values of HeaderOutcome.
const (
	// OutcomeNotRun means that the call has not run and never will.
	OutcomeNotRun = "not_run"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown = "unknown"
)

// DeleteField removes the fields called name, in canonical form, from header, also those
// written with underscores, which some targets treat as hyphens.
func DeleteField(header http.Header, name string) {
	for other := range header {
		if canonicalName(other) == name {
			delete(header, other)
		}
	}
}

// canonicalName returns the canonical form of the name of a field, with hyphens in place of
// underscores.
func canonicalName(name string) string {
	return textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
}

// RetryAfterSeconds returns d in the form of the Retry-After header: in whole
// seconds, rounded up, at least 1.
func RetryAfterSeconds(d time.Duration) int {
	return int(max((d+time.Second-1)/time.Second, 1))
}
