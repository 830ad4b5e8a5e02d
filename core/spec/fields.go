package spec

import (
	"time"

	"cardamomspool/core/field"
)

// Fields describes the fields of a service document. A field of Service that is
// missing here would be shown under its path; TestEveryFieldIsDescribed checks
// that none is missing.
var Fields = []field.Field{
	{
		Path: "name", Label: "Name",
		Help: "Identifies the service: 1 to 63 lower-case letters, digits and hyphens, a letter first.",
	},
	{
		Path: "receive.hosts", Label: "Host names",
		Help: "Host names whose calls the service takes, without port. With path prefixes as well, both must match.",
	},
	{
		Path: "receive.path_prefixes", Label: "Path prefixes",
		Help: "Path prefixes whose calls the service takes, each starting with a slash. The longest match over all services wins.",
	},
	{
		Path: "receive.weight", Label: "Weight of a call", Unit: "units", Low: 1, High: MaxWeight,
		Help: "What a call counts for in the hold queue.",
	},
	{
		Path: "receive.deadline", Label: "Deadline", Low: int64(MinDeadline), High: int64(MaxDeadline),
		Help: "Longest time from the arrival of a call to its end.",
	},
	{
		Path: "receive.non_idempotent_methods", Label: "Non-idempotent methods", Choices: methods,
		Help: "Methods whose calls run at most once.",
	},
	{
		Path: "receive.public", Label: "Public",
		Help: "Calls need no key of a client account, and count for none.",
	},
	{
		Path: "receive.routes[].path_prefix", Label: "Path prefix",
		Help: "Calls that the rule applies to; the longest matching rule wins.",
	},
	{
		Path: "receive.routes[].methods", Label: "Methods", Choices: methods,
		Help: "Methods that the rule applies to; none means every method.",
	},
	{
		Path: "receive.routes[].weight", Label: "Weight", Unit: "units", Low: 0, High: MaxWeight,
		Help: "Replaces the weight of a call; 0 keeps it.",
	},
	{
		Path: "receive.routes[].deadline", Label: "Deadline", Low: 0, High: int64(MaxDeadline),
		Help: "Replaces the deadline; 0s keeps it.",
	},
	{
		Path: "receive.routes[].non_idempotent", Label: "Non-idempotent",
		Help: "Calls of this rule run at most once, whatever their method.",
	},
	{
		Path: "receive.routes[].patient", Label: "Patient",
		Help: "Calls of this rule give way to prompt calls in the hold queue.",
	},
	{
		Path: "hold.length", Label: "Length of the queue", Unit: "units", Low: 0, High: MaxHoldLength,
		Help: "Greatest total weight of the calls that an entry host holds; 0 holds none.",
	},
	{
		Path: "hold.longest_wait", Label: "Longest wait", Low: 0, High: int64(MaxDeadline),
		Help: "Longest time that a call is held before it is refused.",
	},
	{
		Path: "refuse.retry_after", Label: "Retry after", Low: int64(time.Second), High: int64(MaxRetryAfter),
		Help: "Least time that a refused caller is told to wait.",
	},
	{
		Path: "refuse.open_calls", Label: "Open calls", Unit: "calls per entry host", Low: 1, High: MaxOpenCalls,
		Help: "Most calls of the service that are open on one entry host; more are refused at once.",
	},
	{
		Path: "route.policy", Label: "Policy", Choices: Policies,
		Help: "How a target is picked for a call.",
	},
	{
		Path: "route.ramp", Label: "Ramp", Low: 0, High: int64(MaxRamp),
		Help: "Time over which a new target grows to its full share of calls.",
	},
	{
		Path: "route.prefer_own_data_centre", Label: "Prefer the own data centre",
		Help: "Targets of the entry host's own data centre go first among equals.",
	},
	{
		Path: "route.unprotected", Label: "Unprotected",
		Help: "For experiments: least_outstanding and two_choices don't leave out targets that fail.",
	},
	{
		Path: "measure.probes_per_second", Label: "Probes", Unit: "probes per second", Low: 0, High: MaxProbesPerSecond,
		Help: "Budget for measuring targets, over all entry hosts, in any second; 0 measures nothing.",
	},
	{
		Path: "retry.budget_percent", Label: "Retry budget", Unit: "percent of calls", Low: 0, High: MaxPercent,
		Help: "Share of calls that may be sent a further time.",
	},
	{
		Path: "retry.attempts", Label: "Attempts", Unit: "attempts per call", Low: 1, High: MaxAttempts,
		Help: "Most attempts of one call, the first included.",
	},
	{
		Path: "retry.window", Label: "Retry window", Low: 0, High: int64(MaxRamp),
		Help: "When not 0 (then at least 100ms), the retry budget bounds the repeats in any such time, and what targets shed costs budget too.",
	},
	{
		Path: "retry.slack", Label: "Retry slack", Unit: "repeats per window", Low: 0, High: MaxOpenCalls,
		Help: "Repeats in a window that need no calls; without a window it has no effect.",
	},
	{
		Path: "targets.slots", Label: "Slots", Unit: "calls per target", Low: 1, High: MaxSlots,
		Help: "Calls that a target runs at once.",
	},
	{
		Path: "targets.connections", Label: "Connections", Unit: "connections per target", Low: 1, High: MaxConnections,
		Help: "Most connections to a target, over all entry hosts.",
	},
	{
		Path: "targets.drain", Label: "Drained targets",
		Help: "Names of targets that get no new calls, whatever they announce; calls in progress end as usual.",
	},
}

// Reference returns an entry for each field of a service document, in the order
// of the document, with the values of Default as defaults.
func Reference() []field.Entry {
	doc := Default()
	return field.Entries(Fields, &doc)
}
