package route

import (
	"math/rand/v2"
	"net/netip"

	"cardamomspool/core/member"
	"cardamomspool/core/spec"
)

type (
	// Table holds the targets of one service; equal indexes in its columns
	// belong to one target. The zero value is an empty table.
	Table struct {
		names     []string
		addresses []netip.AddrPort
		ready     []bool
		inFlight  []int
		index     map[string]int
		readyRows []int
	}

	// Policy is the sealed set of ways to pick a target.
	Policy interface{ isPolicy() }

	// LeastOutstanding picks the ready target with the fewest calls in
	// flight from this entry host; ties fall by lot.
	LeastOutstanding struct{}

	// TwoChoices draws two ready targets and takes the one with fewer calls
	// in flight. Source: M. Mitzenmacher, "The Power of Two Choices in
	// Randomized Load Balancing", IEEE TPDS 12(10), 2001.
	TwoChoices struct{}

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
	}
)

var (
	_ Policy = LeastOutstanding{}
	_ Policy = TwoChoices{}
)

func (LeastOutstanding) isPolicy() {}
func (TwoChoices) isPolicy()       {}

// PolicyFor returns the policy that a service document names. The document
// must be valid.
func PolicyFor(r spec.Route) Policy {
	if r.Policy == spec.PolicyTwoChoices {
		return TwoChoices{}
	}
	return LeastOutstanding{}
}

// Update replaces the targets by records. Calls in flight stay counted for
// targets that remain.
func (t *Table) Update(records []member.Record) {
	old, oldIndex := t.inFlight, t.index
	t.names = t.names[:0]
	t.addresses = t.addresses[:0]
	t.ready = t.ready[:0]
	t.inFlight = make([]int, 0, len(records))
	t.index = make(map[string]int, len(records))
	t.readyRows = t.readyRows[:0]
	for i := range records {
		r := &records[i]
		count := 0
		if j, ok := oldIndex[r.Target]; ok {
			count = old[j]
		}
		t.index[r.Target] = i
		t.names = append(t.names, r.Target)
		t.addresses = append(t.addresses, r.Address)
		t.ready = append(t.ready, r.State == member.Ready)
		t.inFlight = append(t.inFlight, count)
		if r.State == member.Ready {
			t.readyRows = append(t.readyRows, i)
		}
	}
}

// Len returns the number of targets.
func (t *Table) Len() int {
	return len(t.names)
}

// Ready returns the number of targets that take new calls.
func (t *Table) Ready() int {
	return len(t.readyRows)
}

// Choose picks a ready target with fewer than limit calls in flight from this
// entry host, other than the targets named in exclude. It reports false when
// there is none.
func (t *Table) Choose(p Policy, limit int, exclude []string, rng *rand.Rand) (Pick, bool) {
	switch p.(type) {
	case TwoChoices:
		return t.twoChoices(limit, exclude, rng)
	default:
		return t.leastOutstanding(limit, exclude, rng)
	}
}

// Begin counts a call in flight to the target called name.
func (t *Table) Begin(name string) {
	if i, ok := t.index[name]; ok {
		t.inFlight[i]++
	}
}

// End takes a call in flight off the target called name. Targets that have
// gone in the meantime are passed over.
func (t *Table) End(name string) {
	if i, ok := t.index[name]; ok && t.inFlight[i] > 0 {
		t.inFlight[i]--
	}
}

func (t *Table) leastOutstanding(limit int, exclude []string, rng *rand.Rand) (Pick, bool) {
	best, ties, candidates := -1, 0, 0
	for _, i := range t.readyRows {
		if !t.usable(i, limit, exclude) {
			continue
		}
		candidates++
		switch {
		case best < 0 || t.inFlight[i] < t.inFlight[best]:
			best, ties = i, 1
		case t.inFlight[i] == t.inFlight[best]:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return t.pick(best, candidates)
}

func (t *Table) twoChoices(limit int, exclude []string, rng *rand.Rand) (Pick, bool) {
	n := len(t.readyRows)
	if n == 0 {
		return Pick{}, false
	}
	first, second := t.readyRows[rng.IntN(n)], t.readyRows[rng.IntN(n)]
	if t.inFlight[second] < t.inFlight[first] {
		first = second
	}
	if !t.usable(first, limit, exclude) {
		return t.leastOutstanding(limit, exclude, rng)
	}
	return t.pick(first, n)
}

func (t *Table) usable(i, limit int, exclude []string) bool {
	if t.inFlight[i] >= limit {
		return false
	}
	for _, name := range exclude {
		if name == t.names[i] {
			return false
		}
	}
	return true
}

func (t *Table) pick(i, candidates int) (Pick, bool) {
	if i < 0 {
		return Pick{}, false
	}
	return Pick{Row: i, Name: t.names[i], Address: t.addresses[i], Candidates: candidates}, true
}
