package quota

import (
	"math"
	"time"
)

// window counts events in a sliding window of one length, to a tenth of it.
type window struct {
	counts [windowParts]int32
	part   int64 // Number of the current part of the window since the epoch of time.
}

// windowParts is the number of parts of a window.
const windowParts = 10

// add counts n events at now; n may be negative.
func (w *window) add(n int32, length time.Duration, now time.Time) {
	w.advance(length, now)
	w.counts[w.part%windowParts] += n
}

// sum returns the number of events in the window that ends at now.
func (w *window) sum(length time.Duration, now time.Time) int {
	w.advance(length, now)
	n := 0
	for _, c := range w.counts {
		n += int(c)
	}
	return max(n, 0)
}

// advance clears the parts that have left the window.
func (w *window) advance(length time.Duration, now time.Time) {
	part := now.UnixNano() / max(int64(length)/windowParts, 1)
	if part-w.part >= windowParts {
		clear(w.counts[:])
		w.part = part
	}
	for w.part < part {
		w.part++
		w.counts[w.part%windowParts] = 0
	}
}

// pace is the recent number of events a second, in which an event loses all but 1/e of its
// weight in the time memory.
type pace struct {
	memory  time.Duration
	events  float64
	updated time.Time
}

const (
	// paceMemory is long enough for several calls of an account at its rate, and shorter than
	// the time in which an account at 7.5 times its usual rate uses up a burst of a second.
	paceMemory = 250 * time.Millisecond
	// usualMemory is several windows, so that one of many calls is seen as such.
	usualMemory = 30 * time.Second
)

// add counts n events at now and returns the number of events a second.
func (p *pace) add(n float64, now time.Time) float64 {
	p.rate(now)
	p.events = max(p.events+n, 0)
	return p.events / p.memory.Seconds()
}

// rate returns the number of events a second.
func (p *pace) rate(now time.Time) float64 {
	if d := now.Sub(p.updated); d > 0 {
		p.events *= math.Exp(-d.Seconds() / p.memory.Seconds())
		p.updated = now
	}
	return p.events / p.memory.Seconds()
}
