package wire

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"cardamomspool/core/member"
)

type (
	// Dialect parses and writes the header fields that a deployment uses with
	// callers and targets. Spool returns the project's own dialect.
	Dialect struct {
		// ParseCall parses the header of a caller's request.
		ParseCall func(header http.Header) CallerInfo
		// PrepareAttempt changes the header of a caller's request into the
		// header of an attempt at a target.
		PrepareAttempt func(header http.Header, a AttemptInfo)
		// ParseAnswer parses the status and the header of a target's answer to
		// an attempt of the given call.
		ParseAnswer func(status int, header http.Header, call string) AnswerInfo
		// ParseHealth parses the status and the header of the answer to a health
		// check of the given target.
		ParseHealth func(status int, header http.Header, target string) Health
		// PrepareAnswer changes the header, or the trailer, of a target's answer
		// into the header or trailer of the answer to the caller.
		PrepareAnswer func(header http.Header)
		// FilterTrailer removes from the trailer of a caller's request the field for the
		// account; it is called when the deployment has client accounts. nil removes none.
		FilterTrailer func(trailer http.Header)
		// WriteRefusal sets the header fields of an answer that the entry host
		// gives because there is none from a target.
		WriteRefusal func(header http.Header, r Refusal)
		// PromisesNotRun reports whether callers may take the status of an answer
		// alone as a guarantee that the call has not run and never will.
		PromisesNotRun func(status int) bool
		// OmitForwarded says that attempts carry no information about callers
		// other than the callers' own header fields.
		OmitForwarded bool
	}

	// CallerInfo is the information in the header of a caller's request.
	CallerInfo struct {
		// Call is the caller's identifier of the call; empty when it sent none.
		Call string
		// Timeout is the time that the caller waits for an answer; 0 when it
		// did not say.
		Timeout time.Duration
	}

	// AttemptInfo is the information in the header of an attempt at a target.
	AttemptInfo struct {
		// Call identifies the call.
		Call string
		// Target is the name of the target that the attempt is meant for.
		Target string
		// TimeLeft is the time until the call's deadline.
		TimeLeft time.Duration
		// Accounts says that the deployment has client accounts; the field for the
		// account is then not taken over from the caller.
		Accounts bool
		// Account is the client account that makes the call; empty for none.
		Account string
	}

	// AnswerInfo is the information in the status and the header of a target's
	// answer to an attempt.
	AnswerInfo struct {
		// Foreign says that the answer belongs to another call.
		Foreign bool
		// Named says that the answer names the call.
		Named bool
		// NotRun says that the target has not run the call and never will.
		NotRun bool
		// AddressTaken says that another target answered at the address.
		AddressTaken bool
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
		// Limit is the limit that the target names; valid when LimitErr is nil.
		Limit Limit
		// LimitErr is the error from parsing the limit.
		LimitErr error
		// Rest is the time for which the target wants no calls from the host that got
		// the answer; valid when RestErr is nil.
		Rest time.Duration
		// RestErr is the error from parsing the rest.
		RestErr error
	}

	// Health is the information in the status and the header of the answer to a
	// health check.
	Health struct {
		// Healthy says that the target is healthy.
		Healthy bool
		// AddressTaken says that another target answered at the address.
		AddressTaken bool
		// Leaving says that the target is draining or leaves.
		Leaving bool
		// Load is the target's load report; valid when Reported is true.
		Load Load
		// Reported says that the answer carried a valid load report.
		Reported bool
		// Limit is the limit that the target names; the zero value also for one that
		// cannot be parsed.
		Limit Limit
		// Rest is the time for which the target wants no requests from the host that
		// got the answer; 0 also for one that cannot be parsed.
		Rest time.Duration
		// WarmFor is how long the target stays cold; 0 when it is warm or does not
		// say.
		WarmFor time.Duration
	}

	// Refusal is what the caller learns about a call that gets no answer from a
	// target.
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
	return Dialect{ParseCall: parseCall, PrepareAttempt: prepareAttempt, ParseAnswer: parseAnswer, ParseHealth: parseHealth, PrepareAnswer: stripSystemFields, FilterTrailer: stripSystemFields, WriteRefusal: writeRefusal, PromisesNotRun: promisesNotRun}
}

// Reported reports whether the answer carried a valid load report.
func (a *AnswerInfo) Reported() bool {
	return a.Report != "" && a.LoadErr == nil
}

// parseCall returns no information: callers send none in this dialect.
func parseCall(http.Header) CallerInfo {
	return CallerInfo{}
}

// promisesNotRun reports false for every status, because in this dialect callers
// find the outcome in HeaderOutcome.
func promisesNotRun(int) bool {
	return false
}

// prepareAttempt sets the time left to 1 ms when it is shorter.
func prepareAttempt(header http.Header, a AttemptInfo) {
	stripSystemFields(header)
	header.Set(HeaderCall, a.Call)
	header.Set(HeaderDeadline, strconv.FormatInt(max(a.TimeLeft.Milliseconds(), 1), 10))
	if a.Account != "" {
		header.Set(HeaderAccount, a.Account)
	}
}

// parseAnswer keeps a state that comes without a valid incarnation; Incarnation is
// then 0. This dialect does not show when another target answers at the address.
func parseAnswer(status int, header http.Header, call string) AnswerInfo {
	info := AnswerInfo{Report: header.Get(HeaderLoad)}
	name := header.Get(HeaderCall)
	info.Foreign = name != "" && name != call
	info.Named = name != "" && name == call
	info.NotRun = status == http.StatusServiceUnavailable && header.Get(HeaderOutcome) == OutcomeNotRun
	if state, ok := member.ParseState(header.Get(HeaderState)); ok {
		info.State = state
	}
	if state, incarnation, ok := ParseTargetState(header); ok {
		info.State, info.Incarnation = state, incarnation
	}
	if info.Report != "" {
		info.Load, info.LoadErr = ParseLoad(info.Report)
	}
	info.Limit, info.LimitErr = ParseLimit(header.Get(HeaderLimit))
	info.Rest, info.RestErr = RestOf(status, header)
	return info
}

// parseHealth takes only status 200 as healthy.
func parseHealth(status int, header http.Header, _ string) Health {
	h := Health{Healthy: status == http.StatusOK}
	if state, ok := member.ParseState(header.Get(HeaderState)); ok {
		h.Leaving = state >= member.Draining
	}
	var err error
	if h.Load, err = ParseLoad(header.Get(HeaderLoad)); err == nil {
		h.Reported = true
	}
	if h.Limit, err = ParseLimit(header.Get(HeaderLimit)); err != nil {
		h.Limit = Limit{} // Answers to calls, which name it too, are counted as invalid.
	}
	if h.Rest, err = RestOf(status, header); err != nil {
		h.Rest = 0 // Likewise.
	}
	h.WarmFor = ParseWarmFor(header.Get(HeaderWarm))
	return h
}

// stripSystemFields removes the header fields whose names begin with Prefix, also
// when they are written with underscores, which some targets treat as hyphens.
func stripSystemFields(header http.Header) {
	for name := range header {
		if strings.HasPrefix(canonicalName(name), Prefix) {
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
