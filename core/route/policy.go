package route

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"cardamomspool/core/spec"
)

type (
	// Policy is the sealed set of routing policies.
	Policy interface{ isPolicy() }

	// Query holds the conditions for the choice of a target.
	Query struct {
		// Slots is the number of calls that a target runs at once. It applies
		// to targets that do not announce a number of slots.
		Slots int
		// Exclude lists the names of targets that must not be picked.
		Exclude []string
		// Now is the current time.
		Now time.Time
		// DataCentre is the data centre of the call; Fastest prefers targets
		// there.
		DataCentre string
		// Relaxed says that the call's aim is much longer than the mean latency,
		// so that Fastest keeps the call in its data centre more strictly.
		Relaxed bool
		// Host identifies the host that sends the call, for the rests that targets have
		// asked it for; 0 for this host.
		Host uint64
		// Once says that the call must not run twice: it is sent only where a slot is
		// certainly free if the targets reset connections when they are full.
		Once bool
		// shareUsed says that this host uses its share of all slots; see
		// Table.SetSlotShare.
		shareUsed bool
		// warmReady says that calls need not go to cold targets; see Table.warmReady.
		warmReady bool
	}

	// Why says what decided a choice.
	Why string

	// Pick is a chosen target.
	Pick struct {
		// Row is the target's row, valid until the next Update.
		Row int
		// Name is the target's name.
		Name string
		// Address is the address at which the target accepts calls.
		Address netip.AddrPort
		// Incarnation is that of the target; 0 when unknown.
		Incarnation uint64
		// Candidates is the number of targets that could have been chosen.
		Candidates int
		// Why says what decided the choice.
		Why Why
		// InFlight is the number of calls in flight from this entry host to the
		// target, without the one being routed.
		InFlight int
		// ReportAge is the age of the target's last load report, negative
		// when it has sent none.
		ReportAge time.Duration
	}
)

// The reasons for a choice.
const (
	// WhyFewest means that the target had the fewest calls in flight.
	WhyFewest Why = "fewest_in_flight"
	// WhyDrawn means that the target was one of two drawn by TwoChoices.
	WhyDrawn Why = "drawn"
	// WhyCold means that HotCold picked a cold target.
	WhyCold Why = "cold"
	// WhyAllHot means that HotCold picked a hot target.
	WhyAllHot Why = "all_hot"
	// WhyAllFailing means that all candidates were ejected.
	WhyAllFailing Why = "all_failing"
	// WhyFastest means that Fastest expected the target to finish first.
	WhyFastest Why = "fastest"
	// WhyCrowded means the same as WhyFastest, and that even this target was
	// expected to take more than kneeCost times the mean pace.
	WhyCrowded Why = "crowded"
)

// noReportAge is the ReportAge of a target that has sent no load report.
const noReportAge = -1

// PolicyFor returns the policy that r selects; r must be valid.
func PolicyFor(r spec.Route) Policy {
	switch r.Policy {
	case spec.PolicyTwoChoices:
		return TwoChoices{Unprotected: r.Unprotected}
	case spec.PolicyFastest:
		return Fastest{}
	case spec.PolicyLeastOutstanding:
		return LeastOutstanding{Unprotected: r.Unprotected}
	default:
		return HotCold{PreferOwnDataCentre: r.PreferOwnDataCentre}
	}
}

// Choose picks a ready target that can accept one more call from this entry
// host. It reports false when there is none at q.Now.
func (t *Table) Choose(p Policy, q Query, rng *rand.Rand) (Pick, bool) {
	at := t.offset(q.Now)
	q.warmReady, q.shareUsed = t.warmReady(q, at), t.shareUsed(q, at)
	switch p := p.(type) {
	case TwoChoices:
		return t.twoChoices(p, q, at, rng)
	case LeastOutstanding:
		return t.leastOutstanding(p, q, at, rng)
	case HotCold:
		return t.hotCold(p, q, at, rng)
	case Fastest:
		return t.fastest(q, at, rng)
	}
	return Pick{}, false
}

// usable reports whether the target of row i has a free slot as far as this entry
// host's calls show, is not excluded, is not paused after a shed, has named no limit
// that is reached, does not get all calls that it may get while it is cold and would not
// reset the call since it is full.
func (t *Table) usable(i int, q *Query, at time.Duration) bool {
	s := &t.states[i]
	if s.inFlight >= t.callLimit(i, *q) || s.shedUntil > at || t.limitReached(s, at) || s.restLeft(q.Host, at) > 0 || t.coldLimitReached(i, at, q.warmReady) {
		return false
	}
	for _, name := range q.Exclude {
		if name == t.names[i] {
			return false
		}
	}
	return !t.learntAt(at) || !t.overfilled(i, q, at)
}

// callLimit returns the most calls in flight that this entry host may have at
// the target of row i.
func (t *Table) callLimit(i int, q Query) int {
	if t.slots[i] > 0 {
		return t.slots[i]
	}
	return q.Slots
}

// pick returns the Pick of row i. It reports false when i is negative, which
// stands for no row.
func (t *Table) pick(i, candidates int, why Why, at time.Duration) (Pick, bool) {
	if i < 0 {
		return Pick{}, false
	}
	age := time.Duration(noReportAge)
	if t.states[i].reported {
		age = at - t.states[i].reportAt
	}
	return Pick{
		Row: i, Name: t.names[i], Address: t.addresses[i], Incarnation: t.incarnations[i], Candidates: candidates, Why: why,
		InFlight: t.states[i].inFlight, ReportAge: age,
	}, true
}
