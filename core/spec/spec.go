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
		// Receive selects and classifies the calls of the service.
		Receive Receive `json:"receive"`
		// Hold limits the queue of calls that wait for a target.
		Hold Hold `json:"hold"`
		// Refuse sets when a call is refused.
		Refuse Refuse `json:"refuse"`
		// Route selects the routing policy.
		Route Route `json:"route"`
		// Measure limits the rate of probes.
		Measure Measure `json:"measure"`
		// Retry limits the attempts of calls.
		Retry Retry `json:"retry"`
		// Targets sets the limits of each target.
		Targets Targets `json:"targets"`
	}

	// Receive selects calls by host name or path and classifies them.
	Receive struct {
		// Hosts lists host names, compared without regard to case and port.
		Hosts []string `json:"hosts"`
		// PathPrefixes lists path prefixes, each starting with a slash.
		PathPrefixes []string `json:"path_prefixes"`
		// Weight is the number of units that a call takes up in the queue, out
		// of Hold.Length.
		Weight int `json:"weight"`
		// Deadline is the longest time from the arrival of a call to its end.
		Deadline strict.Duration `json:"deadline"`
		// NonIdempotentMethods lists the methods whose calls run at most once.
		NonIdempotentMethods []string `json:"non_idempotent_methods"`
		// Public says that calls need no key although there are client accounts.
		Public bool `json:"public,omitempty"`
		// Routes overrides Weight and Deadline for some paths and methods, and
		// marks further calls as non-idempotent or patient; the rule with the
		// longest matching prefix wins.
		Routes []RouteRule `json:"routes"`
	}

	// RouteRule overrides the classification of calls of one path prefix.
	RouteRule struct {
		// PathPrefix is the prefix of the paths that the rule matches.
		PathPrefix string `json:"path_prefix"`
		// Methods restricts the rule to these methods; empty means all.
		Methods []string `json:"methods"`
		// Weight replaces Receive.Weight when it is not 0.
		Weight int `json:"weight"`
		// Deadline replaces Receive.Deadline when it is not 0.
		Deadline strict.Duration `json:"deadline"`
		// NonIdempotent marks calls that run at most once.
		NonIdempotent bool `json:"non_idempotent"`
		// Patient marks calls that are queued behind the prompt calls of the same
		// rank.
		Patient bool `json:"patient"`
	}

	// Hold limits the queue of each entry host.
	Hold struct {
		// Length is the largest total weight of queued calls, in units; 0
		// disables the queue.
		Length int `json:"length"`
		// LongestWait is the longest time that a call is queued.
		LongestWait strict.Duration `json:"longest_wait"`
	}

	// Refuse sets when calls are refused and when their callers may retry.
	Refuse struct {
		// RetryAfter is the lower bound of the time after which a refused caller
		// may retry.
		RetryAfter strict.Duration `json:"retry_after"`
		// OpenCalls is the largest number of open calls of the service on an
		// entry host.
		OpenCalls int `json:"open_calls"`
	}

	// Route selects the routing policy. The rules of Receive.Routes are something
	// else: they classify calls by path.
	Route struct {
		// Policy is one of Policies.
		Policy string `json:"policy"`
		// Ramp is the time over which the traffic share of a new target grows
		// to its full value.
		Ramp strict.Duration `json:"ramp"`
		// PreferOwnDataCentre breaks ties in favour of targets in the entry
		// host's own data centre. It applies to PolicyHotCold only.
		PreferOwnDataCentre bool `json:"prefer_own_data_centre"`
		// Unprotected makes PolicyLeastOutstanding and PolicyTwoChoices use targets
		// that fail like any others, to compare policies in experiments.
		Unprotected bool `json:"unprotected,omitempty"`
	}

	// Measure limits the rate of probes.
	Measure struct {
		// ProbesPerSecond is the largest number of probes of the whole system
		// in any second.
		ProbesPerSecond int `json:"probes_per_second"`
	}

	// Retry limits the attempts of calls.
	Retry struct {
		// BudgetPercent is the largest number of retries in percent of the
		// calls.
		BudgetPercent int `json:"budget_percent"`
		// Attempts is the largest number of attempts of one call, including
		// the first.
		Attempts int `json:"attempts"`
		// Window is a length of time. When it is not 0, the retries in every
		// period of that length are limited to BudgetPercent of the calls in
		// the period plus Slack. A call that a target shed, that is, rejected
		// without running it, then also needs the budget to be sent again. When
		// Window is 0, each call adds to a budget that retries use up.
		Window strict.Duration `json:"window"`
		// Slack is the number of retries in a window that are allowed in
		// addition to BudgetPercent.
		Slack int `json:"slack"`
	}

	// Targets sets the limits of each target.
	Targets struct {
		// Slots is the number of calls that a target runs at once.
		Slots int `json:"slots"`
		// Connections is the largest number of connections to a target, over
		// all entry hosts.
		Connections int `json:"connections"`
		// Drain lists the names of targets that get no new calls, whatever
		// they announce.
		Drain []string `json:"drain"`
	}

	// Class holds the limits and the priority of a call.
	Class struct {
		// Weight is the number of units that the call takes up in the queue.
		Weight int
		// Deadline is the longest time from the arrival of the call to its end.
		Deadline time.Duration
		// Idempotent says that the call may run more than once.
		Idempotent bool
		// Patient puts the call behind prompt calls of the same rank.
		Patient bool
		// Rank is the priority of the call when queued; lower ranks are served
		// first.
		Rank int
		// Aim is the desired latency, from the arrival: an answer within it has
		// its full value. 0 means that there is none.
		Aim time.Duration
		// Late says that an answer within Aim is no longer possible, as when the
		// caller has retried the call.
		Late bool
		// RouteRank is the rank of the route, which Rank is not if the client account
		// has one of its own.
		RouteRank int
		// Returned says that the caller has made the call before, and so will probably
		// not make it again.
		Returned bool
		// Attempts is the largest number of attempts of the call; 0 means that
		// only Retry.Attempts applies.
		Attempts int
		// Account is the client account that makes the call; empty for none.
		Account string
	}

	// Versioned is a document with its revision: a service document, or another
	// document that the control hosts replicate, such as the plan.
	Versioned struct {
		// Name identifies the document; that of a service document is the name
		// of the service.
		Name string `json:"name"`
		// Revision counts the accepted changes of this document, from 1.
		Revision uint64 `json:"revision"`
		// Deleted says that the operators have deleted the document.
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

// The limits of the fields of a document. MaxWeight, of one call, and MaxHoldLength
// are in units of the queue. MaxDeadline also limits Hold.LongestWait, MaxRamp also
// Retry.Window, and MaxOpenCalls also Retry.Slack.
const (
	MaxDocumentBytes   = 64 << 10
	MaxWeight          = 1000
	MaxHoldLength      = 100_000
	MaxOpenCalls       = 100_000
	MaxProbesPerSecond = 10_000
	MaxSlots           = 10_000
	MaxConnections     = 100_000
	MaxAttempts        = 10
	MaxPercent         = 100
	MaxDrainedTargets  = 1000
	MaxTargetNameBytes = 128
	MinDeadline        = time.Millisecond
	MaxDeadline        = time.Hour
	MaxRetryAfter      = time.Hour
	MaxRamp            = time.Minute
	MinRetryWindow     = 100 * time.Millisecond
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

// Default returns the document with the default values, which apply to fields
// that a parsed document leaves out.
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

// Parse decodes and validates a service document of at most MaxDocumentBytes. It
// returns all faults, each with the path of its field; the document is valid only
// when there are none.
func Parse(data []byte) (Service, strict.Faults) {
	doc := Default()
	if len(data) > MaxDocumentBytes {
		var faults strict.Faults
		faults.Add(".", "is %d bytes long, must be at most %d", len(data), MaxDocumentBytes)
		return doc, faults
	}
	faults := strict.Decode(data, &doc)
	if len(faults) > 0 && faults[0].Path == "." {
		return doc, faults // The document as a whole could not be decoded.
	}
	return doc, append(faults, doc.Validate()...)
}

// Validate returns all faults of the document's values, none when it is valid.
func (s *Service) Validate() strict.Faults {
	var f strict.Faults
	if !ValidName(s.Name) {
		f.Add("name", "is %q, must be 1 to 63 lower-case letters, digits and hyphens, a letter first", s.Name)
	}
	s.Receive.validate(&f)
	f.CheckRange("hold.length", s.Hold.Length, 0, MaxHoldLength)
	f.CheckDurationRange("hold.longest_wait", s.Hold.LongestWait, 0, MaxDeadline)
	f.CheckDurationRange("refuse.retry_after", s.Refuse.RetryAfter, time.Second, MaxRetryAfter)
	f.CheckRange("refuse.open_calls", s.Refuse.OpenCalls, 1, MaxOpenCalls)
	if !slices.Contains(Policies, s.Route.Policy) {
		f.Add("route.policy", "is %q, must be one of %s", s.Route.Policy, strings.Join(Policies, ", "))
	}
	f.CheckDurationRange("route.ramp", s.Route.Ramp, 0, MaxRamp)
	f.CheckRange("measure.probes_per_second", s.Measure.ProbesPerSecond, 0, MaxProbesPerSecond)
	f.CheckRange("retry.budget_percent", s.Retry.BudgetPercent, 0, MaxPercent)
	f.CheckRange("retry.attempts", s.Retry.Attempts, 1, MaxAttempts)
	f.CheckOptionalDuration("retry.window", s.Retry.Window, MinRetryWindow, MaxRamp)
	f.CheckRange("retry.slack", s.Retry.Slack, 0, MaxOpenCalls)
	f.CheckRange("targets.slots", s.Targets.Slots, 1, MaxSlots)
	f.CheckRange("targets.connections", s.Targets.Connections, 1, MaxConnections)
	s.Targets.validateDrain(&f)
	return f
}

func (t *Targets) validateDrain(f *strict.Faults) {
	if len(t.Drain) > MaxDrainedTargets {
		f.Add("targets.drain", "has %d names, must have at most %d", len(t.Drain), MaxDrainedTargets)
	}
	for i, name := range t.Drain {
		switch {
		case name == "" || len(name) > MaxTargetNameBytes:
			f.Add(fmt.Sprintf("targets.drain[%d]", i), "must have 1 to %d characters", MaxTargetNameBytes)
		case slices.Contains(t.Drain[:i], name):
			f.Add(fmt.Sprintf("targets.drain[%d]", i), "%q is listed twice", name)
		default:
			checkSingleLine(f, fmt.Sprintf("targets.drain[%d]", i), name)
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
		checkSingleLine(f, fmt.Sprintf("receive.hosts[%d]", i), host)
	}
	for i, prefix := range r.PathPrefixes {
		checkPrefix(f, fmt.Sprintf("receive.path_prefixes[%d]", i), prefix)
	}
	f.CheckRange("receive.weight", r.Weight, 1, MaxWeight)
	f.CheckDurationRange("receive.deadline", r.Deadline, MinDeadline, MaxDeadline)
	checkMethods(f, "receive.non_idempotent_methods", r.NonIdempotentMethods)
	for i := range r.Routes {
		r.Routes[i].validate(f, fmt.Sprintf("receive.routes[%d]", i))
	}
}

func (r *RouteRule) validate(f *strict.Faults, path string) {
	checkPrefix(f, path+".path_prefix", r.PathPrefix)
	checkMethods(f, path+".methods", r.Methods)
	f.CheckRange(path+".weight", r.Weight, 0, MaxWeight)
	if r.Deadline != 0 {
		f.CheckDurationRange(path+".deadline", r.Deadline, MinDeadline, MaxDeadline)
	}
}

// checkPrefix adds a fault of the field at path when prefix is not a valid path
// prefix.
func checkPrefix(f *strict.Faults, path, prefix string) {
	if !strings.HasPrefix(prefix, "/") {
		f.Add(path, "is %q, must start with a slash", prefix)
		return
	}
	checkSingleLine(f, path, prefix)
}

// checkSingleLine adds a fault of the field at path when text has control
// characters or white space at its ends: an HTML form field of one line would
// change it.
func checkSingleLine(f *strict.Faults, path, text string) {
	if strings.TrimSpace(text) != text || strings.ContainsFunc(text, unicode.IsControl) {
		f.Add(path, "is %q, must not have control characters, nor white space at its ends", text)
	}
}

// checkMethods adds a fault for each element of list, the field at path, that is
// not one of methods.
func checkMethods(f *strict.Faults, path string, list []string) {
	for i, method := range list {
		if !slices.Contains(methods, method) {
			f.Add(fmt.Sprintf("%s[%d]", path, i), "is %q, must be one of %s", method, strings.Join(methods, ", "))
		}
	}
}

// ValidName reports whether name is a valid service name: 1 to 63 lower-case
// letters, digits and hyphens, starting with a letter.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// Matches reports whether a call for host, without port, and path belongs to the
// service. It also returns the length in bytes of the longest matching path prefix,
// so that the most specific service can be chosen. When a service has hosts and
// prefixes, both must match.
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

// Classify returns the class of a call with the given method and path. Rank, Aim
// and Attempts, which service documents do not set, are 0.
func (r *Receive) Classify(method, path string) Class {
	class := Class{
		Weight:     r.Weight,
		Deadline:   r.Deadline.Std(),
		Idempotent: !slices.Contains(r.NonIdempotentMethods, method),
	}
	rule := r.matchingRule(method, path)
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

// matchingRule returns the rule with the longest prefix of path that applies to
// method, or nil when there is none.
func (r *Receive) matchingRule(method, path string) *RouteRule {
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
