package route

import (
	"math/rand/v2"
	"time"
)

// LeastOutstanding picks the ready target with the fewest calls in flight from
// this entry host; ties are broken at random. It takes time linear in the number
// of targets.
type LeastOutstanding struct{}

var _ Policy = LeastOutstanding{}

func (LeastOutstanding) isPolicy() {}

// leastOutstanding implements LeastOutstanding. It reports false when there is no
// candidate.
func (t *Table) leastOutstanding(q Query, at time.Duration, rng *rand.Rand) (Pick, bool) {
	best, candidates := -1, 0
	for _, i := range t.readyRows {
		if !t.usable(i, q, at) {
			continue
		}
		candidates++
		switch {
		case best < 0 || t.states[i].inFlight < t.states[best].inFlight:
			best = i
			t.ties = append(t.ties[:0], i)
		case t.states[i].inFlight == t.states[best].inFlight:
			t.ties = append(t.ties, i)
		}
	}
	return t.pick(t.drawTie(best, rng), candidates, WhyFewest, at)
}

// drawTie returns a random row of t.ties. It returns best without a draw when
// best is negative, which stands for no row, or when it is the only row.
func (t *Table) drawTie(best int, rng *rand.Rand) int {
	if best < 0 || len(t.ties) == 1 {
		return best
	}
	return t.ties[rng.IntN(len(t.ties))]
}
