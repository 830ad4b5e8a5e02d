package route

import (
	"math/rand/v2"
	"time"
)

// TwoChoices draws two ready targets at random, possibly the same one twice, and
// picks the one with fewer calls in flight from this entry host. It falls back to
// LeastOutstanding when that target can't accept a call or is out of use.
//
// Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", IEEE TPDS 12(10), 2001.
type TwoChoices struct {
	// Unprotected makes it pick targets that are out of use like any others.
	Unprotected bool
}

var _ Policy = TwoChoices{}

func (TwoChoices) isPolicy() {}

// twoChoices implements TwoChoices. It reports false when no target can accept a
// call.
func (t *Table) twoChoices(p TwoChoices, q Query, at time.Duration, rng *rand.Rand) (Pick, bool) {
	n := len(t.readyRows)
	if n == 0 {
		return Pick{}, false
	}
	first, second := t.readyRows[rng.IntN(n)], t.readyRows[rng.IntN(n)]
	if t.states[second].inFlight < t.states[first].inFlight {
		first = second
	}
	if !t.usable(first, &q, at) || !p.Unprotected && t.states[first].outOfUse(at) {
		return t.leastOutstanding(LeastOutstanding(p), q, at, rng)
	}
	return t.pick(first, n, WhyDrawn, at)
}
