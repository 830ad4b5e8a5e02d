package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/hedge"
)

const testClass = 7

// observe records n exponential latencies with the given mean.
func observe(l *hedge.Latencies, rng *rand.Rand, mean time.Duration, n int) {
	for range n {
		l.Observe(testClass, time.Duration(rng.ExpFloat64()*float64(mean)))
	}
}

// Guards against quantiles that are wrong for a steady class, or that stay at old values
// after the latencies have changed in either direction. The quantiles of an exponential
// distribution are 1.39 and 3.0 times its mean.
func TestQuantilesFollowTheLatencies(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var l hedge.Latencies
	for _, mean := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 50 * time.Millisecond} {
		observe(&l, rng, mean, 1000)
		usual, late := 0.0, 0.0
		const rounds = 500
		for range rounds {
			observe(&l, rng, mean, 1)
			u, _ := l.Usual(testClass)
			v, _ := l.Late(testClass)
			usual, late = usual+float64(u)/rounds, late+float64(v)/rounds
		}
		g.Expect(usual/float64(mean)).To(gomega.BeNumerically("~", 1.39, 0.2), mean.String())
		g.Expect(late/float64(mean)).To(gomega.BeNumerically("~", 3.0, 0.5), mean.String())
	}
}

// Guards against second attempts by a quantile of a few answers, and by one of another
// class.
func TestQuantilesNeedAnswersOfTheirClass(t *testing.T) {
	g := gomega.NewWithT(t)
	var l hedge.Latencies
	for range 19 {
		l.Observe(testClass, time.Second)
	}
	_, ok := l.Late(testClass)
	g.Expect(ok).To(gomega.BeFalse())
	l.Observe(testClass, time.Second)
	_, ok = l.Late(testClass)
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = l.Usual(testClass + 1)
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against a quantile that falls because the slowest attempts are cancelled and so
// never answered: without the lower bounds the estimate would see only fast answers.
func TestCancelledAttemptsCountAsLowerBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 4))
	var bounded, unbounded hedge.Latencies
	observe(&bounded, rng, 100*time.Millisecond, 1000)
	unboundedRng := rand.New(rand.NewPCG(3, 4))
	observe(&unbounded, unboundedRng, 100*time.Millisecond, 1000)
	const cancelAt = 300 * time.Millisecond
	for range 4000 {
		d := time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond))
		if d < cancelAt {
			bounded.Observe(testClass, d)
			unbounded.Observe(testClass, d)
			continue
		}
		bounded.ObserveAtLeast(testClass, cancelAt)
	}
	with, _ := bounded.Late(testClass)
	without, _ := unbounded.Late(testClass)
	g.Expect(with).To(gomega.BeNumerically(">", without))
	g.Expect(with).To(gomega.BeNumerically(">", 200*time.Millisecond))
}

// Guards against more extra attempts than their share of the calls in any window that ends
// at one.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		window = 10 * time.Second
		share  = 0.05
	)
	rapid.Check(t, func(t *rapid.T) {
		b := hedge.Budget{Window: window, Share: share}
		now := time.Unix(0, 0)
		var calls, extras []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 60).Draw(t, "calls") {
				b.CountCall(now)
				calls = append(calls, now)
			}
			for range rapid.IntRange(0, 20).Draw(t, "asks") {
				if b.HasRoom(now) {
					b.Take(now)
					extras = append(extras, now)
				}
			}
		}
		for _, end := range extras {
			from := end.Add(-window)
			extra, called := countBetween(extras, from, end), countBetween(calls, from, end)
			if float64(extra) > share*float64(called) {
				t.Fatalf("%d extra attempts for %d calls in the window up to %s", extra, called, end)
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

// Guards against a budget that refuses what its share allows, or allows any without one.
func TestBudgetAllowsItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	for _, row := range []struct {
		share float64
		want  int
	}{{0, 0}, {0.05, 50}, {1, 1000}} {
		b := hedge.Budget{Window: 10 * time.Second, Share: row.share}
		for range 1000 {
			b.CountCall(now)
		}
		n := 0
		for b.HasRoom(now) {
			b.Take(now)
			n++
		}
		g.Expect(n).To(gomega.Equal(row.want))
	}
}

// Guards against a probability of missing the aim that is wrong once a call has run longer
// than most, and against one that falls because attempts are cancelled before they miss
// it. In 100 attempts 3 take 2 s and the others up to 400 ms; the aim is 800 ms.
func TestMissingFollowsTheShareOfLongAttempts(t *testing.T) {
	for name, cancelled := range map[string]bool{"answered": false, "cancelled at 500 ms": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			rng := rand.New(rand.NewPCG(5, 6))
			var l hedge.Latencies
			for i := range 5000 {
				d, missed := time.Duration(200+rng.IntN(200))*time.Millisecond, 0.0
				if rng.Float64() < 0.03 {
					d, missed = 2*time.Second, 1
				}
				if cancelled && i > 1000 && missed == 1 {
					l.ObserveAtLeast(testClass, 500*time.Millisecond)
					l.CountAim(testClass, l.Missing(testClass, 500*time.Millisecond))
					continue
				}
				l.Observe(testClass, d)
				l.CountAim(testClass, missed)
			}
			g.Expect(l.Missing(testClass, 100*time.Millisecond)).To(gomega.BeNumerically("~", 0.03, 0.03), "most calls run longer")
			g.Expect(l.Missing(testClass, 500*time.Millisecond)).To(gomega.BeNumerically(">", 0.5), "only long ones do")
		})
	}
}
