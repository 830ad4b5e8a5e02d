package route

import (
	"math/rand/v2"
	"time"
)

type (
	// HotCold picks the target with the fewest calls in flight from this entry
	// host, counting one more for a hot target; ties are broken at random. A
	// target is hot while it is suspect, for a time after it reported that it
	// was full, and while it is stalled, that is, has calls in flight but
	// finishes none. While its traffic share is below 1, it also counts as hot
	// with a probability of 1 minus that share, drawn for each choice. Ejected
	// targets are used only when no others are left.
	//
	// A load report only makes a target hot or cold. Entry hosts that ranked
	// targets by the same stale numbers would all send to the same target.
	HotCold struct {
		// PreferOwnDataCentre breaks ties in favour of targets in the data
		// centre of this entry host.
		PreferOwnDataCentre bool
	}

	// heat classifies targets; lower is better. A target that is cold in this
	// sense is in good condition; member.Cold is another thing, a target that
	// is not ready yet.
	heat uint8
)

const (
	cold heat = iota
	hot
	ejected
)

const (
	// stallFactor is the multiple of the mean latency after which a target with
	// calls in flight that finishes none counts as stalled.
	stallFactor = 4
	// minStall is the lower bound of the time after which a target counts as
	// stalled.
	minStall = 5 * time.Millisecond
)

var _ Policy = HotCold{}

func (HotCold) isPolicy() {}

// hotCold implements HotCold. It reports false when there is no candidate.
func (t *Table) hotCold(p HotCold, q Query, at time.Duration, rng *rand.Rand) (Pick, bool) {
	best, candidates := -1, 0
	bestHeat := ejected
	for _, i := range t.readyRows {
		s := &t.states[i]
		if s.shedUntil > at || !t.usable(i, &q, at) {
			continue
		}
		candidates++
		h := t.heat(s, at, rng)
		switch {
		case best < 0 || t.better(p, i, h, best, bestHeat):
			best, bestHeat = i, h
			t.ties = append(t.ties[:0], i)
		case !t.better(p, best, bestHeat, i, h):
			t.ties = append(t.ties, i)
		}
	}
	return t.pick(t.drawTie(best, rng), candidates, bestHeat.why(), at)
}

// better reports whether row i of heat h is a better choice than row j of heat
// k.
func (t *Table) better(p HotCold, i int, h heat, j int, k heat) bool {
	if (h == ejected) != (k == ejected) {
		return k == ejected
	}
	n, m := t.states[i].inFlight+int(h), t.states[j].inFlight+int(k)
	if n != m {
		return n < m
	}
	return p.PreferOwnDataCentre && !t.remote[i] && t.remote[j]
}

// heat returns the heat of a target for one choice. It draws from rng only when
// the traffic share decides.
func (t *Table) heat(s *targetState, at time.Duration, rng *rand.Rand) heat {
	switch {
	case s.ejectedUntil > at:
		return ejected
	case s.suspect || s.fullUntil > at || t.stalled(s, at):
		return hot
	}
	if share := t.trafficShare(s, at); share < 1 && rng.Float64() >= share {
		return hot
	}
	return cold
}

// stalled reports whether a target has calls in flight but has ended none for the
// time that stallFactor and minStall give.
func (t *Table) stalled(s *targetState, at time.Duration) bool {
	if s.inFlight == 0 || t.meanLatency == 0 {
		return false
	}
	return at-s.lastProgressAt > max(stallFactor*time.Duration(t.meanLatency), minStall)
}

// why returns the reason for the choice of a target of heat h.
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
