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

	ring Ring // Of calls and retries.
}

// CountCall counts a call that arrives at now.
func (b *Budget) CountCall(now time.Time) {
	if b.Window > 0 {
		b.ring.First[b.ring.Advance(b.Window, now)]++
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
	b.ring.Second[b.ring.Advance(b.Window, now)]++
	return true
}

// HasRoom reports whether the budget allows a retry at now, without counting it.
func (b *Budget) HasRoom(now time.Time) bool {
	return b.Window <= 0 || b.hasRoom(now, 1)
}

// hasRoom reports whether the given share of the budget allows a retry at now. The Window
// must be above 0.
func (b *Budget) hasRoom(now time.Time, share float64) bool {
	b.ring.Advance(b.Window, now)
	calls, retries := 0, 0
	for k := range b.ring.First {
		calls += b.ring.First[k]
		retries += b.ring.Second[k]
	}
	return float64(retries+1) <= share*(b.Ratio*float64(calls)+b.Slack)
}

// Retries returns the number of retries that count against the budget at now:
// those of the last Window and of up to one bucket more.
func (b *Budget) Retries(now time.Time) int {
	if b.Window <= 0 {
		return 0
	}
	b.ring.Advance(b.Window, now)
	n := 0
	for _, r := range b.ring.Second {
		n += r
	}
	return n
}
