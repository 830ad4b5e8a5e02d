package route

import (
	"math/rand/v2"
	"time"
)

// LeastOutstanding picks the ready target with the fewest calls in flight from
// this entry host; ties are broken at random. Targets that are out of use, as a target
// that fails at once, are used only when no others are left: it has few calls in flight
// because it serves none. It takes time linear in the number of targets.
type LeastOutstanding struct {
	// Unprotected makes it pick targets that are out of use like any others.
	Unprotected bool
}

var _ Policy = LeastOutstanding{}

func (LeastOutstanding) isPolicy() {}

// leastOutstanding implements LeastOutstanding. It reports false when there is no
// candidate.
func (t *Table) leastOutstanding(p LeastOutstanding, q Query, at time.Duration, rng *rand.Rand) (Pick, bool) {
	best, candidates := -1, 0
	bestOutOfUse := true
	for _, i := range t.readyRows {
		if !t.usable(i, &q, at) {
			continue
		}
		candidates++
		outOfUse := !p.Unprotected && t.states[i].outOfUse(at)
		switch {
		case best < 0 || bestOutOfUse && !outOfUse || bestOutOfUse == outOfUse && t.states[i].inFlight < t.states[best].inFlight:
			best, bestOutOfUse = i, outOfUse
			t.ties = append(t.ties[:0], i)
		case bestOutOfUse == outOfUse && t.states[i].inFlight == t.states[best].inFlight:
			t.ties = append(t.ties, i)
		}
	}
	why := WhyFewest
	if bestOutOfUse {
		why = WhyAllFailing
	}
	return t.pick(t.drawTie(best, rng), candidates, why, at)
}

// drawTie returns a random row of t.ties. It returns best without a draw when
// best is negative, which stands for no row, or when it is the only row.
func (t *Table) drawTie(best int, rng *rand.Rand) int {
	if best < 0 || len(t.ties) == 1 {
		return best
	}
	return t.ties[rng.IntN(len(t.ties))]
}
