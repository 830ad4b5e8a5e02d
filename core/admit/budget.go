package admit

import "time"

// Budget limits the retries in a sliding window to Ratio times its calls plus
// Slack. The window is up to one bucket (a twentieth) longer than Window, because
// counts are kept in buckets. Set the fields before use; a Window of 0 allows every
// retry. Times must not decrease from call to call.
type Budget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed per call, 0.1 for one in ten.
	Ratio float64
	// Slack is the number of retries allowed in addition, even without any calls.
	Slack float64

	// epoch is the start of bucket 0, and currentBucket the number of the current
	// bucket.
	epoch         time.Time
	currentBucket int64
	// calls and retries hold the counts of the last buckets; bucket k is at index
	// k modulo the length.
	calls   [budgetBuckets + 1]int
	retries [budgetBuckets + 1]int
}

// budgetBuckets is the number of buckets per window. One more bucket is kept,
// so that the counts always cover at least a whole window.
const budgetBuckets = 20

// CountCall counts a call that arrives at now.
func (b *Budget) CountCall(now time.Time) {
	if b.Window > 0 {
		b.calls[b.advance(now)]++
	}
}

// AllowRetry reports whether the budget allows a retry at now, and counts it if
// so.
func (b *Budget) AllowRetry(now time.Time) bool {
	return b.AllowRetryWithin(now, 1)
}

// AllowRetryWithin is AllowRetry for a retry that may use only the given share of the
// budget, from 0 to 1.
func (b *Budget) AllowRetryWithin(now time.Time, share float64) bool {
	if b.Window <= 0 {
		return true
	}
	if !b.hasRoom(now, share) {
		return false
	}
	b.retries[b.advance(now)]++
	return true
}

// HasRoom reports whether the budget allows a retry at now, without counting it.
func (b *Budget) HasRoom(now time.Time) bool {
	return b.Window <= 0 || b.hasRoom(now, 1)
}

// hasRoom reports whether the given share of the budget allows a retry at now. The Window
// must be above 0.
func (b *Budget) hasRoom(now time.Time, share float64) bool {
	b.advance(now)
	calls, retries := 0, 0
	for k := range b.calls {
		calls += b.calls[k]
		retries += b.retries[k]
	}
	return float64(retries+1) <= share*(b.Ratio*float64(calls)+b.Slack)
}

// Retries returns the number of retries that count against the budget at now:
// those of the last Window and of up to one bucket more.
func (b *Budget) Retries(now time.Time) int {
	if b.Window <= 0 {
		return 0
	}
	b.advance(now)
	n := 0
	for _, r := range b.retries {
		n += r
	}
	return n
}

// advance clears the buckets that have left the window and returns the index of
// the bucket of now.
func (b *Budget) advance(now time.Time) int {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	n := int64(len(b.calls))
	bucket := int64(now.Sub(b.epoch) / max(b.Window/budgetBuckets, 1))
	for k := max(b.currentBucket+1, bucket-n+1); k <= bucket; k++ {
		b.calls[k%n], b.retries[k%n] = 0, 0
	}
	b.currentBucket = max(b.currentBucket, bucket)
	return int(b.currentBucket % n)
}
