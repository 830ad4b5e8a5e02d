package route

import (
	"math/rand/v2"
	"time"
)

type (
	// HotCold picks the target with the fewest calls in flight from this entry
	// host, counting one more for a target that is hot; ties fall by lot. A
	// target is hot while its membership is suspect, for a time after its
	// report said that it was full, while it ends no call although it has
	// some, and by lot while it has less than its full share. Failing targets
	// are used when no others are left.
	//
	// Reports are taken as hot or cold and not as numbers, because entry
	// hosts that rank targets by the same stale numbers all send to the same
	// one.
	HotCold struct {
		// PreferNear breaks ties in favour of this entry's data centre.
		PreferNear bool
	}

	// heat orders targets; lower is better.
	heat uint8
)

const (
	cold heat = iota
	hot
	failing
)

const (
	// stallMeans is the number of mean answer times after which a target
	// that has calls and ends none counts as hot.
	stallMeans = 4
	// leastStall bounds the time above from below.
	leastStall = 5 * time.Millisecond
)

var _ Policy = HotCold{}

func (HotCold) isPolicy() {}

func (t *Table) hotCold(p HotCold, q Query, at time.Duration, rng *rand.Rand) (Pick, bool) {
	best, candidates := -1, 0
	bestHeat := failing
	for _, i := range t.readyRows {
		s := &t.state[i]
		if s.shedUntil > at || !t.usable(i, q, at) {
			continue
		}
		candidates++
		h := t.heat(s, at, rng)
		switch {
		case best < 0 || t.before(p, i, h, best, bestHeat):
			best, bestHeat = i, h
			t.ties = append(t.ties[:0], i)
		case !t.before(p, best, bestHeat, i, h):
			t.ties = append(t.ties, i)
		}
	}
	return t.pick(t.drawTie(best, rng), candidates, bestHeat.why(), at)
}

// before reports whether row i of heat h goes before row j of heat k.
func (t *Table) before(p HotCold, i int, h heat, j int, k heat) bool {
	if (h == failing) != (k == failing) {
		return k == failing
	}
	n, m := t.state[i].inFlight+int(h), t.state[j].inFlight+int(k)
	if n != m {
		return n < m
	}
	return p.PreferNear && !t.remote[i] && t.remote[j]
}

func (t *Table) heat(s *state, at time.Duration, rng *rand.Rand) heat {
	switch {
	case s.failedUntil > at:
		return failing
	case s.suspect || s.fullUntil > at || t.stalled(s, at):
		return hot
	}
	if share := t.share(s, at); share < 1 && rng.Float64() >= share {
		return hot
	}
	return cold
}

func (t *Table) stalled(s *state, at time.Duration) bool {
	if s.inFlight == 0 || t.mean == 0 {
		return false
	}
	return at-s.progress > max(stallMeans*time.Duration(t.mean), leastStall)
}

func (h heat) why() Why {
	switch h {
	case cold:
		return WhyCold
	case hot:
		return WhyAllHot
	default:
		return WhyAllFailing
	}
}
