package route

import (
	"math/rand/v2"
	"time"
)

// LeastOutstanding picks the ready target with the fewest calls in flight
// from this entry host; ties fall by lot. Its cost grows with the number of
// targets.
type LeastOutstanding struct{}

var _ Policy = LeastOutstanding{}

func (LeastOutstanding) isPolicy() {}

func (t *Table) leastOutstanding(q Query, at time.Duration, rng *rand.Rand) (Pick, bool) {
	best, candidates := -1, 0
	for _, i := range t.readyRows {
		if !t.usable(i, q, at) {
			continue
		}
		candidates++
		switch {
		case best < 0 || t.state[i].inFlight < t.state[best].inFlight:
			best = i
			t.ties = append(t.ties[:0], i)
		case t.state[i].inFlight == t.state[best].inFlight:
			t.ties = append(t.ties, i)
		}
	}
	return t.pick(t.drawTie(best, rng), candidates, WhyFewest, at)
}

// drawTie returns one of the tied rows by lot, and best when there is none.
func (t *Table) drawTie(best int, rng *rand.Rand) int {
	if best < 0 || len(t.ties) == 1 {
		return best
	}
	return t.ties[rng.IntN(len(t.ties))]
}
