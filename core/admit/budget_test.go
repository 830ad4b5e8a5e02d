package admit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/admit"
)

// TestBudgetHoldsInEveryWindow checks that every window that ends at a retry holds
// at most slack retries plus ratio times the calls of that window and of the one
// before it. Users check with a sliding window that counts the calls of the
// previous window as well.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		window = 10 * time.Second
		ratio  = 0.2
		slack  = 20
	)
	rapid.Check(t, func(t *rapid.T) {
		b := admit.Budget{Window: window, Ratio: ratio, Slack: slack}
		now := time.Unix(0, 0)
		var calls, retries []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 40).Draw(t, "calls") {
				b.CountCall(now)
				calls = append(calls, now)
			}
			for range rapid.IntRange(0, 40).Draw(t, "repeats") {
				if b.AllowRetry(now) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			from := end.Add(-window)
			retried, called := countBetween(retries, from, end), countBetween(calls, from.Add(-window), end)
			if float64(retried) > ratio*float64(called)+slack {
				t.Fatalf("%d retries for %d calls in the window up to %s", retried, called, end)
			}
		}
	})
}

// countBetween returns how many of times are after from and not after to.
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

func TestBudgetRecoversAfterTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	b := admit.Budget{Window: 10 * time.Second, Slack: 1}
	g.Expect(b.AllowRetry(now)).To(gomega.BeTrue())
	g.Expect(b.AllowRetry(now.Add(9 * time.Second))).To(gomega.BeFalse())
	g.Expect(b.AllowRetry(now.Add(11 * time.Second))).To(gomega.BeTrue())
	g.Expect(b.AllowRetry(now.Add(time.Hour))).To(gomega.BeTrue())
	g.Expect(b.Retries(now.Add(time.Hour))).To(gomega.Equal(1))
}

func BenchmarkBudgetAllowRetry(b *testing.B) {
	budget := admit.Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.CountCall(now)
		budget.AllowRetry(now)
	}
}

// Guards against a division by zero for windows shorter than a nanosecond a bucket.
func TestBudgetWithTinyWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	for window := time.Duration(1); window < 50; window++ {
		b := admit.Budget{Window: window, Slack: 1}
		b.CountCall(now)
		if !b.AllowRetry(now) || b.AllowRetry(now) {
			t.Fatalf("window %s: want one retry", window)
		}
		if !b.AllowRetry(now.Add(time.Second)) {
			t.Fatalf("window %s: want a retry after the window", window)
		}
	}
}
