package spec

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"

	"cardamomspool/core/strict"
)

type (
	// Service is the document that an operator sets for one service.
	Service struct {
		// Name identifies the service; lower-case letters, digits and hyphens.
		Name string `json:"name"`
		// Receive selects the calls of the service.
		Receive Receive `json:"receive"`
		// Hold bounds the queue of calls that wait for a target.
		Hold Hold `json:"hold"`
		// Refuse says when a call is turned away.
		Refuse Refuse `json:"refuse"`
		// Route selects the policy that picks a target.
		Route Route `json:"route"`
		// Measure bounds the work of measuring targets.
		Measure Measure `json:"measure"`
		// Retry bounds repeated attempts.
		Retry Retry `json:"retry"`
		// Targets gives the limits of each target.
		Targets Targets `json:"targets"`
	}

	// Receive selects calls by host name or path and classifies them.
	Receive struct {
		// Hosts lists host names, compared without case or port.
		Hosts []string `json:"hosts"`
		// PathPrefixes lists path prefixes, each starting with a slash.
		PathPrefixes []string `json:"path_prefixes"`
		// Weight is the number of units a call counts for in the hold queue.
		Weight int `json:"weight"`
		// Deadline is the longest time from arrival to the end of a call.
		Deadline strict.Duration `json:"deadline"`
		// NonIdempotentMethods lists methods that run at most once.
		NonIdempotentMethods []string `json:"non_idempotent_methods"`
		// Routes overrides the fields above for some paths; the longest
		// matching prefix wins.
		Routes []RouteRule `json:"routes"`
	}

	// RouteRule overrides how calls of one path prefix are classified.
	RouteRule struct {
		// PathPrefix selects the calls.
		PathPrefix string `json:"path_prefix"`
		// Methods restricts the rule; empty means every method.
		Methods []string `json:"methods"`
		// Weight replaces Receive.Weight when it is not 0.
		Weight int `json:"weight"`
		// Deadline replaces Receive.Deadline when it is not 0.
		Deadline strict.Duration `json:"deadline"`
		// NonIdempotent marks calls that run at most once.
		NonIdempotent bool `json:"non_idempotent"`
		// Patient marks calls that give way to prompt calls in the queue.
		Patient bool `json:"patient"`
	}

	// Hold bounds the queue of each entry host.
	Hold struct {
		// Length is the greatest total weight of held calls; 0 holds none.
		Length int `json:"length"`
		// LongestWait bounds the time a call is held.
		LongestWait strict.Duration `json:"longest_wait"`
	}

	// Refuse says when calls are turned away and when they may come back.
	Refuse struct {
		// RetryAfter is the least time that a refused caller is told to wait.
		RetryAfter strict.Duration `json:"retry_after"`
		// OpenCalls is the most calls of the service open on an entry host.
		OpenCalls int `json:"open_calls"`
	}

	// Route selects the policy that picks a target.
	Route struct {
		// Policy is one of Policies.
		Policy string `json:"policy"`
		// Ramp is the time over which a new target grows to its full share.
		Ramp strict.Duration `json:"ramp"`
		// PreferOwnDataCentre breaks ties in favour of targets in the entry
		// host's own data centre; hot_cold only.
		PreferOwnDataCentre bool `json:"prefer_own_data_centre"`
	}

	// Measure bounds the work of measuring targets.
	Measure struct {
		// ProbesPerSecond is the budget of the whole system in any second.
		ProbesPerSecond int `json:"probes_per_second"`
	}

	// Retry bounds repeated attempts.
	Retry struct {
		// BudgetPercent is the share of calls that may be sent again.
		BudgetPercent int `json:"budget_percent"`
		// Attempts is the most attempts of one call.
		Attempts int `json:"attempts"`
		// Window, when not 0, replaces the budget that grows with each call
		// by a bound on the repeats in any such time: BudgetPercent of the
		// calls in it and Slack more. Targets that shed then cost budget too.
		Window strict.Duration `json:"window"`
		// Slack is the number of repeats in a window that need no calls.
		Slack int `json:"slack"`
	}

	// Targets gives the limits of each target.
	Targets struct {
		// Slots is the number of calls a target runs at once.
		Slots int `json:"slots"`
		// Connections is the most connections to a target, over all entry
		// hosts.
		Connections int `json:"connections"`
		// Drain lists the names of targets that get no new calls, whatever
		// they announce.
		Drain []string `json:"drain"`
	}

	// Class is how one call is treated.
	Class struct {
		// Weight is the number of units that the call counts for.
		Weight int
		// Deadline is the longest time from arrival to end.
		Deadline time.Duration
		// Idempotent says that the call may run more than once.
		Idempotent bool
		// Patient says that prompt calls go before this one.
		Patient bool
		// Rank orders calls that wait, before Patient; 0 goes first.
		Rank int
		// Aim is the time from arrival within which an answer has its full
		// worth; 0 when it does not matter.
		Aim time.Duration
		// Late says that the caller has come back after an earlier attempt and
		// that no answer can have its full worth any more.
		Late bool
		// Attempts is the most attempts of the call; 0 leaves it to Retry.
		Attempts int
	}

	// Versioned is a service document with its place in the order of changes.
	Versioned struct {
		// Name identifies the service.
		Name string `json:"name"`
		// Revision counts the accepted changes of this document, from 1.
		Revision uint64 `json:"revision"`
		// Deleted marks a service that the operators removed.
		Deleted bool `json:"deleted"`
		// Body is the document as JSON; empty when Deleted.
		Body json.RawMessage `json:"body,omitempty"`
	}
)

// Names of the routing policies.
const (
	PolicyLeastOutstanding = "least_outstanding"
	PolicyTwoChoices       = "two_choices"
	PolicyHotCold          = "hot_cold"
	PolicyFastest          = "fastest"
)

// Bounds of the fields of a document.
const (
	MaxDocumentBytes = 64 << 10
	MaxWeight        = 1000
	MaxHoldLength    = 100_000
	MaxOpenCalls     = 100_000
	MaxProbes        = 10_000
	MaxSlots         = 10_000
	MaxConnections   = 100_000
	MaxAttempts      = 10
	MaxPercent       = 100
	MaxDrained       = 1000
	MaxTargetName    = 128
	MinDeadline      = time.Millisecond
	MaxDeadline      = time.Hour
	MaxRetryAfter    = time.Hour
	MaxRamp          = time.Minute
)

var (
	// Policies lists the routing policies that a document may name.
	Policies = []string{PolicyHotCold, PolicyLeastOutstanding, PolicyTwoChoices, PolicyFastest}

	methods = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
)

// Default returns the document that Parse starts from; fields that a document
// leaves out keep these values.
func Default() Service {
	return Service{
		Receive: Receive{
			Weight:               1,
			Deadline:             strict.Duration(10 * time.Second),
			NonIdempotentMethods: []string{http.MethodPost, http.MethodPatch},
		},
		Hold:    Hold{Length: 64, LongestWait: strict.Duration(500 * time.Millisecond)},
		Refuse:  Refuse{RetryAfter: strict.Duration(time.Second), OpenCalls: 4096},
		Route:   Route{Policy: PolicyHotCold, Ramp: strict.Duration(2 * time.Second)},
		Measure: Measure{ProbesPerSecond: 0},
		Retry:   Retry{BudgetPercent: 10, Attempts: 3},
		Targets: Targets{Slots: 4, Connections: 200},
	}
}

// Parse reads and validates a service document. It returns every fault found,
// each with the path of its field; the document is usable only when the list
// is empty.
func Parse(data []byte) (Service, strict.Faults) {
	doc := Default()
	if len(data) > MaxDocumentBytes {
		var faults strict.Faults
		faults.Add(".", "is %d bytes long, must be at most %d", len(data), MaxDocumentBytes)
		return doc, faults
	}
	faults := strict.Decode(data, &doc)
	if len(faults) > 0 && faults[0].Path == "." {
		return doc, faults // There are no fields to look at.
	}
	return doc, append(faults, doc.Validate()...)
}

// Validate returns every fault of the document's values.
func (s *Service) Validate() strict.Faults {
	var f strict.Faults
	if !ValidName(s.Name) {
		f.Add("name", "is %q, must be 1 to 63 lower-case letters, digits and hyphens, a letter first", s.Name)
	}
	s.Receive.validate(&f)
	f.Range("hold.length", s.Hold.Length, 0, MaxHoldLength)
	f.Span("hold.longest_wait", s.Hold.LongestWait, 0, MaxDeadline)
	f.Span("refuse.retry_after", s.Refuse.RetryAfter, time.Second, MaxRetryAfter)
	f.Range("refuse.open_calls", s.Refuse.OpenCalls, 1, MaxOpenCalls)
	if !slices.Contains(Policies, s.Route.Policy) {
		f.Add("route.policy", "is %q, must be one of %s", s.Route.Policy, strings.Join(Policies, ", "))
	}
	f.Span("route.ramp", s.Route.Ramp, 0, MaxRamp)
	f.Range("measure.probes_per_second", s.Measure.ProbesPerSecond, 0, MaxProbes)
	f.Range("retry.budget_percent", s.Retry.BudgetPercent, 0, MaxPercent)
	f.Range("retry.attempts", s.Retry.Attempts, 1, MaxAttempts)
	f.Span("retry.window", s.Retry.Window, 0, MaxRamp)
	f.Range("retry.slack", s.Retry.Slack, 0, MaxOpenCalls)
	f.Range("targets.slots", s.Targets.Slots, 1, MaxSlots)
	f.Range("targets.connections", s.Targets.Connections, 1, MaxConnections)
	s.Targets.validateDrain(&f)
	return f
}

func (t *Targets) validateDrain(f *strict.Faults) {
	if len(t.Drain) > MaxDrained {
		f.Add("targets.drain", "has %d names, must have at most %d", len(t.Drain), MaxDrained)
	}
	for i, name := range t.Drain {
		switch {
		case name == "" || len(name) > MaxTargetName:
			f.Add(fmt.Sprintf("targets.drain[%d]", i), "must have 1 to %d characters", MaxTargetName)
		case slices.Contains(t.Drain[:i], name):
			f.Add(fmt.Sprintf("targets.drain[%d]", i), "%q is listed twice", name)
		default:
			checkText(f, fmt.Sprintf("targets.drain[%d]", i), name)
		}
	}
}

func (r *Receive) validate(f *strict.Faults) {
	if len(r.Hosts) == 0 && len(r.PathPrefixes) == 0 {
		f.Add("receive", "must name at least one of hosts and path_prefixes")
	}
	for i, host := range r.Hosts {
		if host == "" || strings.ContainsAny(host, "/: \t\r\n") {
			f.Add(fmt.Sprintf("receive.hosts[%d]", i), "is %q, must be a host name without port", host)
			continue
		}
		checkText(f, fmt.Sprintf("receive.hosts[%d]", i), host)
	}
	for i, prefix := range r.PathPrefixes {
		checkPrefix(f, fmt.Sprintf("receive.path_prefixes[%d]", i), prefix)
	}
	f.Range("receive.weight", r.Weight, 1, MaxWeight)
	f.Span("receive.deadline", r.Deadline, MinDeadline, MaxDeadline)
	checkMethods(f, "receive.non_idempotent_methods", r.NonIdempotentMethods)
	for i := range r.Routes {
		r.Routes[i].validate(f, fmt.Sprintf("receive.routes[%d]", i))
	}
}

func (r *RouteRule) validate(f *strict.Faults, path string) {
	checkPrefix(f, path+".path_prefix", r.PathPrefix)
	checkMethods(f, path+".methods", r.Methods)
	f.Range(path+".weight", r.Weight, 0, MaxWeight)
	if r.Deadline != 0 {
		f.Span(path+".deadline", r.Deadline, MinDeadline, MaxDeadline)
	}
}

func checkPrefix(f *strict.Faults, path, prefix string) {
	if !strings.HasPrefix(prefix, "/") {
		f.Add(path, "is %q, must start with a slash", prefix)
		return
	}
	checkText(f, path, prefix)
}

// checkText adds a fault when text can't stand on one line of a form as it is.
func checkText(f *strict.Faults, path, text string) {
	if strings.TrimSpace(text) != text || strings.ContainsFunc(text, unicode.IsControl) {
		f.Add(path, "is %q, must not have control characters, nor white space at its ends", text)
	}
}

func checkMethods(f *strict.Faults, path string, list []string) {
	for i, method := range list {
		if !slices.Contains(methods, method) {
			f.Add(fmt.Sprintf("%s[%d]", path, i), "is %q, must be one of %s", method, strings.Join(methods, ", "))
		}
	}
}

// ValidName reports whether name may identify a service.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// Matches reports whether the service takes a call for host (without port)
// and path, and how long the matching prefix is, so that the most specific
// service wins. A service with hosts and prefixes needs both to match.
func (r *Receive) Matches(host, path string) (int, bool) {
	if len(r.Hosts) > 0 && !slices.ContainsFunc(r.Hosts, func(h string) bool { return strings.EqualFold(h, host) }) {
		return 0, false
	}
	if len(r.PathPrefixes) == 0 {
		return 0, true
	}
	longest := -1
	for _, prefix := range r.PathPrefixes {
		if strings.HasPrefix(path, prefix) && len(prefix) > longest {
			longest = len(prefix)
		}
	}
	return longest, longest >= 0
}

// Classify returns how a call with method and path is treated.
func (r *Receive) Classify(method, path string) Class {
	class := Class{
		Weight:     r.Weight,
		Deadline:   r.Deadline.Std(),
		Idempotent: !slices.Contains(r.NonIdempotentMethods, method),
	}
	rule := r.rule(method, path)
	if rule == nil {
		return class
	}
	if rule.Weight != 0 {
		class.Weight = rule.Weight
	}
	if rule.Deadline != 0 {
		class.Deadline = rule.Deadline.Std()
	}
	class.Idempotent = class.Idempotent && !rule.NonIdempotent
	class.Patient = rule.Patient
	return class
}

func (r *Receive) rule(method, path string) *RouteRule {
	var best *RouteRule
	for i := range r.Routes {
		rule := &r.Routes[i]
		if !strings.HasPrefix(path, rule.PathPrefix) {
			continue
		}
		if len(rule.Methods) > 0 && !slices.Contains(rule.Methods, method) {
			continue
		}
		if best == nil || len(rule.PathPrefix) > len(best.PathPrefix) {
			best = rule
		}
	}
	return best
}
