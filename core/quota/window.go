package quota

import "time"

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
