package plan

import (
	"math/rand/v2"
	"slices"
	"sync"
)

type (
	// Splits distributes the calls of routes over their parts by smooth weighted
	// round robin, so that the share of each part stays close to its weight over any
	// number of calls, whatever else changes in the plan meanwhile. Use NewSplits. It is safe
	// for concurrent use.
	Splits struct {
		mu     sync.Mutex
		rng    *rand.Rand
		states map[splitKey]*split
	}

	// splitKey names a route over the versions of the plan.
	splitKey struct{ host, prefix string }

	// split is the state of the round robin of a route.
	split struct {
		parts []Part
		// credits holds the credit of each part. With each call of the route, a part gains
		// its weight; the part that gets the call loses the sum of all weights.
		credits []float64
	}
)

// maxFirstStep bounds the number of calls by which a new round robin is ahead at random. It is
// several times the period of weights in percent.
const maxFirstStep = 1000

// NewSplits returns a Splits that starts each route at a random point of the
// round robin, drawn from rng, so that hosts that start together do not send to
// the same part first.
func NewSplits(rng *rand.Rand) *Splits {
	return &Splits{rng: rng, states: make(map[splitKey]*split)}
}

// Pick returns the name of the service for the next call of r: that of the part
// with the highest credit. It reports false when no part has a weight above 0.
func (s *Splits) Pick(r *Route) (string, bool) {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	switch {
	case total <= 0:
		return "", false
	case len(r.Parts) == 1:
		return r.Parts[0].Service, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[keyOf(r)]
	if state == nil || !slices.Equal(state.parts, r.Parts) {
		state = newSplit(r.Parts, total, s.rng.IntN(maxFirstStep))
		s.states[keyOf(r)] = state
	}
	return r.Parts[state.next(total)].Service, true
}

func keyOf(r *Route) splitKey {
	return splitKey{host: r.Host, prefix: r.PathPrefix}
}

// newSplit returns the state of a round robin after the given number of calls. With a random
// number, each part comes first with a probability proportional to its weight. total is the
// sum of the weights.
func newSplit(parts []Part, total float64, calls int) *split {
	v := &split{parts: slices.Clone(parts), credits: make([]float64, len(parts))}
	for range calls {
		v.next(total)
	}
	return v
}

// next returns the index of the part that gets the next call.
func (v *split) next(total float64) int {
	best := -1
	for i, p := range v.parts {
		v.credits[i] += p.Weight
		if p.Weight > 0 && (best < 0 || v.credits[i] > v.credits[best]) {
			best = i
		}
	}
	v.credits[best] -= total
	return best
}

// Retain discards the states of all routes except those of p.
func (s *Splits) Retain(p *Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[splitKey]*split, len(s.states))
	for i := range p.Routes {
		key := keyOf(&p.Routes[i])
		if state, ok := s.states[key]; ok {
			kept[key] = state
		}
	}
	s.states = kept
}
