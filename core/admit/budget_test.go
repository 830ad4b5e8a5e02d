package admit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/admit"
)

// In no window are there more repeats than the budget allows for its calls.
// A window of the users slides; calls of the one before it count as well.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		window = 10 * time.Second
		ratio  = 0.2
		slack  = 20
	)
	rapid.Check(t, func(t *rapid.T) {
		b := admit.Budget{Window: window, Ratio: ratio, Slack: slack}
		now := time.Unix(0, 0)
		var calls, repeats []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 40).Draw(t, "calls") {
				b.Call(now)
				calls = append(calls, now)
			}
			for range rapid.IntRange(0, 40).Draw(t, "repeats") {
				if b.Repeat(now) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			begin := end.Add(-window)
			spent, earned := within(repeats, begin, end), within(calls, begin.Add(-window), end)
			if float64(spent) > ratio*float64(earned)+slack {
				t.Fatalf("%d repeats for %d calls in the window up to %s", spent, earned, end)
			}
		}
	})
}

func within(times []time.Time, begin, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(begin) && !at.After(end) {
			n++
		}
	}
	return n
}

func TestBudgetGrowsBackAfterTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	b := admit.Budget{Window: 10 * time.Second, Slack: 1}
	g.Expect(b.Repeat(now)).To(gomega.BeTrue())
	g.Expect(b.Repeat(now.Add(9 * time.Second))).To(gomega.BeFalse())
	g.Expect(b.Repeat(now.Add(11 * time.Second))).To(gomega.BeTrue())
	g.Expect(b.Repeat(now.Add(time.Hour))).To(gomega.BeTrue())
	g.Expect(b.Spent(now.Add(time.Hour))).To(gomega.Equal(1))
}

func BenchmarkBudgetRepeat(b *testing.B) {
	budget := admit.Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.Call(now)
		budget.Repeat(now)
	}
}
