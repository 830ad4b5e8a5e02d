package route

import (
	"math/rand/v2"
	"time"
)

type (
	// HotCold picks the cold target with the fewest calls in flight from this
	// entry host; ties fall by lot. A target is hot for a time after its
	// report said that it was full, while it ends no call although it has
	// some, and by lot while it has less than its full share. A target that
	// sheds is left alone for a growing time. Hot targets are used when no
	// other is left, and failing ones when none but those are left.
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
		if s.shedUntil > at || s.inFlight >= max(int(s.window), 1) || !t.usable(i, q, at) {
			continue
		}
		candidates++
		h := t.heat(s, at, rng)
		switch {
		case best < 0 || h < bestHeat || h == bestHeat && t.before(p, i, best):
			best, bestHeat = i, h
			t.ties = append(t.ties[:0], i)
		case h == bestHeat && !t.before(p, best, i):
			t.ties = append(t.ties, i)
		}
	}
	return t.pick(t.drawTie(best, rng), candidates, bestHeat.why(), at)
}

// before reports whether row i goes before row j of the same heat.
func (t *Table) before(p HotCold, i, j int) bool {
	if t.state[i].inFlight != t.state[j].inFlight {
		return t.state[i].inFlight < t.state[j].inFlight
	}
	return p.PreferNear && !t.remote[i] && t.remote[j]
}

func (t *Table) heat(s *state, at time.Duration, rng *rand.Rand) heat {
	switch {
	case s.failedUntil > at:
		return failing
	case s.fullUntil > at || t.stalled(s, at):
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
