package admit

import "time"

// Ring counts two kinds of events in the buckets of a sliding window, a twentieth of its
// length each, and one bucket more, so that the counts cover at least a whole window. Times
// must not decrease from call to call. The zero value is empty.
type Ring struct {
	// First and Second hold the counts of the last buckets; bucket k is at index k modulo
	// the length.
	First, Second [ringBuckets + 1]int

	// epoch is the start of bucket 0, and current the number of the current bucket.
	epoch   time.Time
	current int64
}

// ringBuckets is the number of buckets per window.
const ringBuckets = 20

// Advance clears the buckets that have left a window of the given length, above 0, and
// returns the index of the bucket of now. The oldest bucket is at the next index.
func (r *Ring) Advance(length time.Duration, now time.Time) int {
	if r.epoch.IsZero() {
		r.epoch = now
	}
	n := int64(len(r.First))
	bucket := int64(now.Sub(r.epoch) / max(length/ringBuckets, 1))
	for k := max(r.current+1, bucket-n+1); k <= bucket; k++ {
		r.First[k%n], r.Second[k%n] = 0, 0
	}
	r.current = max(r.current, bucket)
	return int(r.current % n)
}
