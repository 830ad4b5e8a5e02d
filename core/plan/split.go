package plan

import (
	"math/rand/v2"
	"sync"
)

// Splits shares the calls of routes out over their parts so that the share of
// each part stays close to its weight over any number of calls, by smooth
// weighted round robin. Use NewSplits. It may be used by many goroutines.
type Splits struct {
	mu      sync.Mutex
	rng     *rand.Rand
	credits map[*Route][]float64
}

// NewSplits returns Splits that begin each route at a random point drawn from
// rng, so that hosts that start together do not send to the same part first.
func NewSplits(rng *rand.Rand) *Splits {
	return &Splits{rng: rng, credits: make(map[*Route][]float64)}
}

// Pick returns the service that takes the next call of r, and false when no
// part has a weight above 0.
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
		credit = s.begin(r, total)
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

// begin returns credits that sum up to 0, as after a random number of calls.
func (s *Splits) begin(r *Route, total float64) []float64 {
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

// Keep forgets all routes but those of p.
func (s *Splits) Keep(p *Plan) {
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
