package hedge

import "time"

// Budget limits the extra attempts in a sliding window to Share times the calls in it. At
// every extra attempt, those in the window that ends with it are at most Share times the
// calls in the same window: counts are kept in buckets, and the oldest bucket, of which
// only a part lies in the window, counts for the extra attempts and not for the calls. Set
// the fields before use; a Share or Window of 0 allows no extra attempts. Times must not
// decrease from call to call.
type Budget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Share is the number of extra attempts allowed per call, 0.05 for one in 20.
	Share float64

	// epoch is the start of bucket 0, and current the number of the current bucket.
	epoch   time.Time
	current int64
	// calls and extras hold the counts of the last buckets; bucket k is at index k
	// modulo the length.
	calls  [buckets + 1]int
	extras [buckets + 1]int
}

// buckets is the number of buckets per window. One more is kept, so that the counts of
// extra attempts cover at least a whole window.
const buckets = 20

// CountCall counts a call that arrives at now.
func (b *Budget) CountCall(now time.Time) {
	if b.Window > 0 {
		b.calls[b.advance(now)]++
	}
}

// HasRoom reports whether the budget allows an extra attempt at now.
func (b *Budget) HasRoom(now time.Time) bool {
	if b.Window <= 0 || b.Share <= 0 {
		return false
	}
	oldest := (b.advance(now) + 1) % len(b.calls)
	calls, extras := 0, 0
	for k := range b.calls {
		extras += b.extras[k]
		if k != oldest {
			calls += b.calls[k]
		}
	}
	return float64(extras+1) <= b.Share*float64(calls)
}

// Take counts an extra attempt at now, which HasRoom has allowed.
func (b *Budget) Take(now time.Time) {
	if b.Window > 0 {
		b.extras[b.advance(now)]++
	}
}

// advance clears the buckets that have left the window and returns the index of the bucket
// of now.
func (b *Budget) advance(now time.Time) int {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	n := int64(len(b.calls))
	bucket := int64(now.Sub(b.epoch) / max(b.Window/buckets, 1))
	for k := max(b.current+1, bucket-n+1); k <= bucket; k++ {
		b.calls[k%n], b.extras[k%n] = 0, 0
	}
	b.current = max(b.current, bucket)
	return int(b.current % n)
}
