package route

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"cardamomspool/core/spec"
)

type (
	// Policy is the sealed set of ways to pick a target.
	Policy interface{ isPolicy() }

	// Query is one question for a target.
	Query struct {
		// Slots is the number of calls that a target runs at once, for
		// targets that do not announce their own.
		Slots int
		// Exclude names targets that must not be picked.
		Exclude []string
		// Now is the present time.
		Now time.Time
		// DataCentre is where the call is; Fastest prefers targets there.
		DataCentre string
		// Relaxed says that the call aims at an answer much later than the
		// usual one, so that Fastest keeps it in its data centre.
		Relaxed bool
	}

	// Why says what decided a choice.
	Why string

	// Pick is a chosen target.
	Pick struct {
		// Row is the target's row until the next Update.
		Row int
		// Name is the target's name.
		Name string
		// Address is where the target takes calls.
		Address netip.AddrPort
		// Candidates is the number of targets that could have been chosen.
		Candidates int
		// Why says what decided.
		Why Why
		// InFlight is the number of this entry's calls at the target before.
		InFlight int
		// ReportAge is the age of the target's last load report, negative
		// when it has sent none.
		ReportAge time.Duration
	}
)

// What can decide a choice.
const (
	WhyFewest     Why = "fewest_in_flight"
	WhyDrawn      Why = "drawn"
	WhyCold       Why = "cold"
	WhyAllHot     Why = "all_hot"
	WhyAllFailing Why = "all_failing"
	WhyFastest    Why = "fastest"
	WhyCrowded    Why = "crowded"
)

// noReport is the ReportAge of a target that has sent no report.
const noReport = -1

// PolicyFor returns the policy that a service document names. The document
// must be valid.
func PolicyFor(r spec.Route) Policy {
	switch r.Policy {
	case spec.PolicyTwoChoices:
		return TwoChoices{}
	case spec.PolicyFastest:
		return Fastest{}
	case spec.PolicyLeastOutstanding:
		return LeastOutstanding{}
	default:
		return HotCold{PreferNear: r.PreferOwnDataCentre}
	}
}

// Choose picks a ready target that may take one more call from this entry
// host. It reports false when there is none at present.
func (t *Table) Choose(p Policy, q Query, rng *rand.Rand) (Pick, bool) {
	at := t.offset(q.Now)
	switch p := p.(type) {
	case TwoChoices:
		return t.twoChoices(q, at, rng)
	case LeastOutstanding:
		return t.leastOutstanding(q, at, rng)
	case HotCold:
		return t.hotCold(p, q, at, rng)
	case Fastest:
		return t.fastest(q, at, rng)
	}
	return Pick{}, false
}

// usable reports whether row i has room for one more call and is not
// excluded. Every policy leaves a target alone for a moment after it shed.
func (t *Table) usable(i int, q Query, at time.Duration) bool {
	s := &t.state[i]
	if s.inFlight >= t.limit(i, q) || s.shedUntil > at {
		return false
	}
	for _, name := range q.Exclude {
		if name == t.names[i] {
			return false
		}
	}
	return true
}

// limit returns the most calls that the target of row i is given by this
// entry host alone.
func (t *Table) limit(i int, q Query) int {
	if t.slots[i] > 0 {
		return t.slots[i]
	}
	return q.Slots
}

func (t *Table) pick(i, candidates int, why Why, at time.Duration) (Pick, bool) {
	if i < 0 {
		return Pick{}, false
	}
	age := time.Duration(noReport)
	if t.state[i].reported {
		age = at - t.state[i].reportAt
	}
	return Pick{
		Row: i, Name: t.names[i], Address: t.addresses[i], Candidates: candidates, Why: why,
		InFlight: t.state[i].inFlight, ReportAge: age,
	}, true
}
