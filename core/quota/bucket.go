package quota

import (
	"math"
	"time"
)

// bucket is a token bucket. The zero value is one that is full at its first use.
type bucket struct {
	level   float64
	updated time.Time // When level was last brought up to date; zero for a full bucket.
}

// refill adds the tokens of the time until now, at rate a second, up to capacity. A now
// before the last one has no effect.
func (b *bucket) refill(rate, capacity float64, now time.Time) {
	switch elapsed := now.Sub(b.updated); {
	case b.updated.IsZero():
		b.level, b.updated = capacity, now
	case elapsed > 0:
		b.level, b.updated = min(b.level+rate*elapsed.Seconds(), capacity), now
	}
}

// take takes one token. It reports false if there is none.
func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// wait returns the time until the bucket has one token at the given rate, and longest
// if it takes longer than that.
func (b *bucket) wait(rate float64, longest time.Duration) time.Duration {
	seconds := (1 - b.level) / rate
	if math.IsNaN(seconds) || seconds > longest.Seconds() {
		return longest
	}
	return max(time.Duration(seconds*float64(time.Second)), 0)
}

// golden is the fraction of the golden ratio; its multiples spread evenly over an
// interval, however many there are.
const golden = 0.6180339887498949

// spread returns the n-th of a sequence of durations that are spread evenly over a span.
func spread(n uint64, span time.Duration) time.Duration {
	_, fraction := math.Modf(float64(n%(1<<20)) * golden)
	return time.Duration(fraction * float64(span))
}
