package route

import (
	"math/rand/v2"
	"time"
)

// TwoChoices draws two ready targets at random, possibly the same one twice, and
// picks the one with fewer calls in flight from this entry host. It falls back to
// LeastOutstanding when that target can't accept a call.
//
// Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", IEEE TPDS 12(10), 2001.
type TwoChoices struct{}

var _ Policy = TwoChoices{}

func (TwoChoices) isPolicy() {}

// twoChoices implements TwoChoices. It reports false when no target can accept a
// call.
func (t *Table) twoChoices(q Query, at time.Duration, rng *rand.Rand) (Pick, bool) {
	n := len(t.readyRows)
	if n == 0 {
		return Pick{}, false
	}
	first, second := t.readyRows[rng.IntN(n)], t.readyRows[rng.IntN(n)]
	if t.states[second].inFlight < t.states[first].inFlight {
		first = second
	}
	if !t.usable(first, q, at) {
		return t.leastOutstanding(q, at, rng)
	}
	return t.pick(first, n, WhyDrawn, at)
}
