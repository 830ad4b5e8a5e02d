package telem

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestHistogramBuckets checks that each duration lies within its bucket's bounds.
func TestHistogramBuckets(t *testing.T) {
	g := gomega.NewWithT(t)
	for us := uint64(0); us < 1<<doublings; us += 1 + us/13 {
		i := bucketOf(us)
		g.Expect(int64(us)).To(gomega.BeNumerically("<", upperBound(i)), "%d us", us)
		if i > 0 {
			g.Expect(int64(us)).To(gomega.BeNumerically(">=", upperBound(i-1)), "%d us", us)
		}
	}
	g.Expect(bucketOf(1 << 40)).To(gomega.Equal(histogramBuckets - 1))
}

// The bounds leave 1 or 2 us for durations that are not whole microseconds.
func TestQuantileIsAtMostAnEighthTooHigh(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var (
		h    Histogram
		list []time.Duration
	)
	g.Expect(h.Quantile(0.5)).To(gomega.BeZero())
	for range 10_000 {
		d := time.Duration(rng.ExpFloat64() * float64(80*time.Millisecond))
		list = append(list, d)
		h.Observe(d)
	}
	slices.Sort(list)
	for _, q := range []float64{0.01, 0.5, 0.9, 0.99, 0.999} {
		exact := list[int(q*float64(len(list)))-1]
		g.Expect(h.Quantile(q)).To(gomega.BeNumerically(">=", exact-time.Microsecond), "%v", q)
		g.Expect(h.Quantile(q)).To(gomega.BeNumerically("<=", exact+exact/8+2*time.Microsecond), "%v", q)
	}
}

func TestHistogramIsServedAsJSON(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRegistry()
	r.Histogram("call_latency", "photos").Observe(5 * time.Microsecond)
	r.Histogram("call_latency", "photos").Observe(-time.Second)
	r.Histogram("call_latency", "stock").Observe(time.Hour)
	var view struct {
		CallLatency map[string]struct {
			Count   int64      `json:"count"`
			Buckets [][2]int64 `json:"buckets_us"`
		} `json:"call_latency"`
	}
	g.Expect(json.Unmarshal([]byte(r.vars.String()), &view)).To(gomega.Succeed())
	g.Expect(view.CallLatency).To(gomega.HaveLen(2))
	g.Expect(view.CallLatency["photos"].Count).To(gomega.BeEquivalentTo(2))
	g.Expect(view.CallLatency["photos"].Buckets).To(gomega.Equal([][2]int64{{1, 1}, {6, 1}}))
}

func BenchmarkHistogramObserve(b *testing.B) {
	var h Histogram
	b.ReportAllocs()
	for b.Loop() {
		h.Observe(83 * time.Millisecond)
	}
}
