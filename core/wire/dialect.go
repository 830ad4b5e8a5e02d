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
	// Dialect is the set of header fields that a deployment speaks with
	// callers and targets. Spool is the project's own.
	Dialect struct {
		// Receive reads what a caller says of its call.
		Receive func(header http.Header) Told
		// Ask turns a caller's header into that of an attempt at a target.
		Ask func(header http.Header, a Asked)
		// Hear reads the header of a target's answer to a call.
		Hear func(status int, header http.Header, call string) Heard
		// Health reads the header of a target's answer to a health check.
		Health func(status int, header http.Header, target string) Health
		// Answer turns a target's header, or trailer, into the caller's.
		Answer func(header http.Header)
		// Refuse writes the header of an answer that has no target.
		Refuse func(header http.Header, r Refusal)
		// Promises reports whether a status alone tells callers that the call
		// has not run and never will.
		Promises func(status int) bool
		// Plain says that targets are told nothing about callers beyond the
		// callers' own header fields.
		Plain bool
	}

	// Told is what a caller says of its call.
	Told struct {
		// Call is the caller's name for the call; empty when it has none.
		Call string
		// Patience is how long the caller waits; 0 when it does not say.
		Patience time.Duration
	}

	// Asked is what a target is told of an attempt.
	Asked struct {
		// Call identifies the call.
		Call string
		// Target is the name of the target that is meant.
		Target string
		// Left is the time until the call must have ended.
		Left time.Duration
	}

	// Heard is what a target says of its answer and of itself.
	Heard struct {
		// Foreign says that the answer is not one to the call.
		Foreign bool
		// NotRun says that the target has not run the call and never will.
		NotRun bool
		// Gone says that another target has the address.
		Gone bool
		// State is the state that the target wrote on the answer, 0 for none.
		State member.State
		// Incarnation is what State is about; 0 when the target does not say.
		Incarnation uint64
		// Report is the target's load report, empty for none.
		Report string
		// Load is the report read; it counts when LoadErr is nil and Report
		// is not empty.
		Load Load
		// LoadErr says why the report could not be read.
		LoadErr error
	}

	// Health is what a target says when it is probed.
	Health struct {
		// Well says that the target is healthy.
		Well bool
		// Gone says that another target has the address.
		Gone bool
		// Load is the target's report; it counts when Reported is true.
		Load Load
		// Reported says that the answer carried a valid report.
		Reported bool
	}

	// Refusal is what a caller is told when there is no answer of a target.
	Refusal struct {
		// NotRun says that the call has reached no target and never will.
		NotRun bool
		// Reason says why.
		Reason string
		// RetryAfter is when the caller may come back; 0 when it should not.
		RetryAfter time.Duration
	}
)

// Spool returns the dialect of the fields that this package names.
func Spool() Dialect {
	return Dialect{Receive: receive, Ask: ask, Hear: hear, Health: health, Answer: strip, Refuse: refuse, Promises: promises}
}

// Reported reports whether the answer carried a load report that was read.
func (h *Heard) Reported() bool {
	return h.Report != "" && h.LoadErr == nil
}

func receive(http.Header) Told {
	return Told{}
}

// promises reports false for each status: HeaderOutcome tells.
func promises(int) bool {
	return false
}

func ask(header http.Header, a Asked) {
	strip(header)
	header.Set(HeaderCall, a.Call)
	header.Set(HeaderDeadline, strconv.FormatInt(max(a.Left.Milliseconds(), 1), 10))
}

func hear(status int, header http.Header, call string) Heard {
	h := Heard{Report: header.Get(HeaderLoad)}
	name := header.Get(HeaderCall)
	h.Foreign = name != "" && name != call
	h.NotRun = status == http.StatusServiceUnavailable && header.Get(HeaderOutcome) == OutcomeNotRun
	if state, ok := member.ParseState(header.Get(HeaderState)); ok {
		h.State = state
	}
	if state, incarnation, ok := ParseMark(header); ok {
		h.State, h.Incarnation = state, incarnation
	}
	if h.Report != "" {
		h.Load, h.LoadErr = ParseLoad(h.Report)
	}
	return h
}

func health(status int, header http.Header, _ string) Health {
	h := Health{Well: status == http.StatusOK}
	var err error
	if h.Load, err = ParseLoad(header.Get(HeaderLoad)); err == nil {
		h.Reported = true
	}
	return h
}

// strip removes the header fields of the system, also those written with
// underscores, which some targets take for hyphens.
func strip(header http.Header) {
	for name := range header {
		if strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-")), Prefix) {
			delete(header, name)
		}
	}
}

func refuse(header http.Header, r Refusal) {
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
