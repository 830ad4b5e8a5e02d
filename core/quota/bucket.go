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

// interval is the time whose tokens a full bucket did not take. They pay for calls of
// that time that are reported late. The zero value stands for none.
type interval struct {
	from, until time.Time
}

// maxHole is the time without spilled tokens over which an interval is continued: a
// bucket that is nearly full takes some tokens between those that it spills.
const maxHole = time.Second

// extend adds the time d that ends at now. Earlier time moves on, so that the interval
// has no hole.
func (i *interval) extend(d time.Duration, now time.Time) {
	begin := now.Add(-d)
	if hole := begin.Sub(i.until); i.until.IsZero() || hole > maxHole {
		i.from = begin
	} else {
		i.from = i.from.Add(max(hole, 0))
	}
	i.until = now
}

// pay takes up to n tokens, at rate a second, from the time after since, and returns how
// many there were. The time before it is given up, so that reports of the same time share
// its tokens.
func (i *interval) pay(n, rate float64, since time.Time) float64 {
	if i.from.After(since) {
		since = i.from
	}
	paid := min(rate*i.until.Sub(since).Seconds(), n)
	if paid <= 0 {
		return 0
	}
	i.from = since.Add(time.Duration(paid / rate * float64(time.Second)))
	return paid
}

// refill adds the tokens of the time until now, at rate a second, up to capacity, and
// returns the tokens beyond that. A now before the last one has no effect.
func (b *bucket) refill(rate, capacity float64, now time.Time) (spilled float64) {
	switch elapsed := now.Sub(b.updated); {
	case b.updated.IsZero():
		b.level, b.updated = capacity, now
	case elapsed > 0:
		level := b.level + rate*elapsed.Seconds()
		b.level, b.updated = min(level, capacity), now
		return level - b.level
	}
	return 0
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
