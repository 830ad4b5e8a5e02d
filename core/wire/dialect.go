package wire

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"cardamomspool/core/member"
)

type (
	// Dialect parses and writes the header fields that a deployment uses with
	// callers and targets. Spool returns the project's own dialect.
	Dialect struct {
		// Receive parses the header of a caller's request.
		Receive func(header http.Header) Told
		// Ask changes the header of a caller's request into the header of an
		// attempt at a target.
		Ask func(header http.Header, a Asked)
		// Hear parses the header of a target's answer to a call.
		Hear func(status int, header http.Header, call string) Heard
		// Health parses the header of a target's answer to a health check.
		Health func(status int, header http.Header, target string) Health
		// Answer changes the header, or trailer, of a target's answer into the
		// one for the caller.
		Answer func(header http.Header)
		// Refuse writes the header of an answer that does not come from a
		// target.
		Refuse func(header http.Header, r Refusal)
		// Promises reports whether a status alone guarantees to callers that
		// the call has not run and never will.
		Promises func(status int) bool
		// Plain says that attempts carry no information about callers other
		// than the callers' own header fields.
		Plain bool
	}

	// Told is the information in the header of a caller's request.
	Told struct {
		// Call is the caller's identifier of the call; empty when it sent none.
		Call string
		// Patience is the time that the caller waits for an answer; 0 when it
		// did not say.
		Patience time.Duration
	}

	// Asked is the information in the header of an attempt at a target.
	Asked struct {
		// Call identifies the call.
		Call string
		// Target is the name of the target that the attempt is meant for.
		Target string
		// Left is the time until the call's deadline.
		Left time.Duration
	}

	// Heard is the information in the header of a target's answer.
	Heard struct {
		// Foreign says that the answer belongs to another call.
		Foreign bool
		// NotRun says that the target has not run the call and never will.
		NotRun bool
		// Gone says that another target answered at the address.
		Gone bool
		// State is the state that the target announced, 0 for none.
		State member.State
		// Incarnation is the incarnation that State belongs to; 0 for none.
		Incarnation uint64
		// Report is the target's load report as text; empty for none.
		Report string
		// Load is the parsed load report; valid when LoadErr is nil and Report
		// is not empty.
		Load Load
		// LoadErr is the error from parsing Report.
		LoadErr error
	}

	// Health is the information in the header of an answer to a health check.
	Health struct {
		// Well says that the target is healthy.
		Well bool
		// Gone says that another target answered at the address.
		Gone bool
		// Load is the target's load report; valid when Reported is true.
		Load Load
		// Reported says that the answer carried a valid load report.
		Reported bool
	}

	// Refusal is the information for the caller of a call that gets no answer
	// from a target.
	Refusal struct {
		// NotRun says that the call has not run and never will.
		NotRun bool
		// Reason says why the call is refused.
		Reason string
		// RetryAfter is the time after which the caller may retry; 0 when it
		// should not.
		RetryAfter time.Duration
	}
)

// Spool returns the dialect that uses the header fields of this package.
func Spool() Dialect {
	return Dialect{Receive: parseCall, Ask: prepareAttempt, Hear: parseAnswer, Health: parseHealth, Answer: stripSystemFields, Refuse: writeRefusal, Promises: promisesNotRun}
}

// Reported reports whether the answer carried a valid load report.
func (h *Heard) Reported() bool {
	return h.Report != "" && h.LoadErr == nil
}

func parseCall(http.Header) Told {
	return Told{}
}

// promisesNotRun reports false for each status, because HeaderOutcome holds the
// outcome.
func promisesNotRun(int) bool {
	return false
}

func prepareAttempt(header http.Header, a Asked) {
	stripSystemFields(header)
	header.Set(HeaderCall, a.Call)
	header.Set(HeaderDeadline, strconv.FormatInt(max(a.Left.Milliseconds(), 1), 10))
}

func parseAnswer(status int, header http.Header, call string) Heard {
	h := Heard{Report: header.Get(HeaderLoad)}
	name := header.Get(HeaderCall)
	h.Foreign = name != "" && name != call
	h.NotRun = status == http.StatusServiceUnavailable && header.Get(HeaderOutcome) == OutcomeNotRun
	if state, ok := member.ParseState(header.Get(HeaderState)); ok {
		h.State = state
	}
	if state, incarnation, ok := ParseTargetState(header); ok {
		h.State, h.Incarnation = state, incarnation
	}
	if h.Report != "" {
		h.Load, h.LoadErr = ParseLoad(h.Report)
	}
	return h
}

func parseHealth(status int, header http.Header, _ string) Health {
	h := Health{Well: status == http.StatusOK}
	var err error
	if h.Load, err = ParseLoad(header.Get(HeaderLoad)); err == nil {
		h.Reported = true
	}
	return h
}

// stripSystemFields removes the header fields that begin with Prefix, including
// those written with underscores, which some targets treat as hyphens.
func stripSystemFields(header http.Header) {
	for name := range header {
		if strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-")), Prefix) {
			delete(header, name)
		}
	}
}

func writeRefusal(header http.Header, r Refusal) {
	outcome := OutcomeUnknown
	if r.NotRun {
		outcome = OutcomeNotRun
	}
	header.Set(HeaderOutcome, outcome)
	header.Set(HeaderReason, r.Reason)
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(RetryAfterSeconds(r.RetryAfter)))
	}
}
