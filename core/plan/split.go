package plan

import (
	"math/rand/v2"
	"sync"
)

// Splits distributes the calls of routes over their parts by smooth weighted
// round robin, so that the share of each part stays close to its weight over any
// number of calls. Use NewSplits. It is safe for concurrent use.
type Splits struct {
	mu  sync.Mutex
	rng *rand.Rand
	// credits holds the credit of each part, by route. With each call of the
	// route, a part gains its weight; the part that gets the call loses the sum
	// of all weights.
	credits map[*Route][]float64
}

// NewSplits returns a Splits that starts each route at a random point of the
// round robin, drawn from rng, so that hosts that start together do not send to
// the same part first.
func NewSplits(rng *rand.Rand) *Splits {
	return &Splits{rng: rng, credits: make(map[*Route][]float64)}
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
	credit, ok := s.credits[r]
	if !ok {
		credit = s.initialCredits(r, total)
		s.credits[r] = credit
	}
	best := -1
	for i, p := range r.Parts {
		credit[i] += p.Weight
		if p.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	credit[best] -= total
	return r.Parts[best].Service, true
}

// initialCredits returns random credits for the parts of r; total is the sum of
// their weights. One part, chosen with a probability proportional to its weight,
// also gets half of total, so that it tends to be picked first. Pick only compares
// the credits with each other, so they need not sum up to 0.
func (s *Splits) initialCredits(r *Route, total float64) []float64 {
	credit := make([]float64, len(r.Parts))
	x := s.rng.Float64() * total
	for i, p := range r.Parts {
		credit[i] = p.Weight * s.rng.Float64()
		if x >= 0 && x < p.Weight {
			credit[i] += total / 2
		}
		x -= p.Weight
	}
	return credit
}

// Retain discards the credits of all routes except those of p. Routes are compared
// by their addresses.
func (s *Splits) Retain(p *Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[*Route][]float64, len(p.Routes))
	for i := range p.Routes {
		if c, ok := s.credits[&p.Routes[i]]; ok {
			kept[&p.Routes[i]] = c
		}
	}
	s.credits = kept
}
