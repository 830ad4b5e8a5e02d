package admit

import "time"

// Budget bounds the attempts beyond the first of each call in any window of
// time: at most Ratio of the calls of the window and Slack more. Set the
// fields before use; a zero Window allows everything.
type Budget struct {
	// Window is the time that the bound holds for.
	Window time.Duration
	// Ratio is the share of the calls that may be repeated.
	Ratio float64
	// Slack is the number of repeats that need no calls.
	Slack float64

	epoch   time.Time
	current int64
	calls   [budgetBuckets + 1]int
	repeats [budgetBuckets + 1]int
}

// budgetBuckets is the number of parts that a window is counted in. One more
// is kept, so that what is counted spans at least a window.
const budgetBuckets = 20

// Call counts a call.
func (b *Budget) Call(now time.Time) {
	if b.Window > 0 {
		b.calls[b.advance(now)]++
	}
}

// Repeat counts one more attempt and reports true if the budget allows it.
func (b *Budget) Repeat(now time.Time) bool {
	if b.Window <= 0 {
		return true
	}
	i := b.advance(now)
	calls, repeats := 0, 0
	for k := range b.calls {
		calls += b.calls[k]
		repeats += b.repeats[k]
	}
	if float64(repeats+1) > b.Ratio*float64(calls)+b.Slack {
		return false
	}
	b.repeats[i]++
	return true
}

// Spent returns the repeats that count at now.
func (b *Budget) Spent(now time.Time) int {
	if b.Window <= 0 {
		return 0
	}
	b.advance(now)
	n := 0
	for _, r := range b.repeats {
		n += r
	}
	return n
}

// advance clears the buckets whose time is over and returns the current one.
func (b *Budget) advance(now time.Time) int {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	n := int64(len(b.calls))
	bucket := int64(now.Sub(b.epoch) / (b.Window / budgetBuckets))
	for k := max(b.current+1, bucket-n+1); k <= bucket; k++ {
		b.calls[k%n], b.repeats[k%n] = 0, 0
	}
	b.current = max(b.current, bucket)
	return int(b.current % n)
}
