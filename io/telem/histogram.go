package telem

import (
	"encoding/json"
	"expvar"
	"math/bits"
	"sync/atomic"
	"time"
)

// Histogram counts durations in buckets whose widths grow with the duration. Each
// doubling has eight buckets, so that the relative error of a quantile is at most
// 1/8. Histograms of several processes are merged by adding their buckets. A
// Histogram is safe for concurrent use. The buckets are laid out as in G. Tene,
// HdrHistogram, 2012.
type Histogram struct {
	count   atomic.Int64
	sum     atomic.Int64 // Microseconds.
	buckets [histogramBuckets]atomic.Int64
}

const (
	// subBits is the binary logarithm of the number of buckets per doubling.
	// More buckets take more memory, of which a small entry host has little.
	subBits = 3
	// doublings sets the range to 2^27 microseconds, about two minutes. Longer
	// durations are counted in the last bucket.
	doublings        = 27
	histogramBuckets = (doublings - subBits + 1) << subBits
)

var _ expvar.Var = (*Histogram)(nil)

// Observe records a duration. A negative one counts as 0.
func (h *Histogram) Observe(d time.Duration) {
	us := max(d.Microseconds(), 0)
	h.count.Add(1)
	h.sum.Add(us)
	h.buckets[bucketOf(uint64(us))].Add(1)
}

// bucketOf returns the index of the bucket of a duration in microseconds.
func bucketOf(us uint64) int {
	if us < 1<<subBits {
		return int(us)
	}
	shift := bits.Len64(us) - 1 - subBits
	return min(shift<<subBits+int(us>>shift), histogramBuckets-1)
}

// upperBound returns the exclusive upper bound of bucket i, in microseconds.
func upperBound(i int) int64 {
	if i < 1<<subBits {
		return int64(i) + 1
	}
	shift := i>>subBits - 1
	return int64(i-shift<<subBits+1) << shift
}

// Quantile returns an upper bound of the q-quantile of the observed durations, with
// q from 0 to 1. It returns 0 when no duration was observed.
func (h *Histogram) Quantile(q float64) time.Duration {
	rank := max(int64(q*float64(h.count.Load())+0.5), 1)
	for i := range h.buckets {
		if rank -= h.buckets[i].Load(); rank <= 0 {
			return time.Duration(upperBound(i)) * time.Microsecond
		}
	}
	return 0
}

// String returns the histogram as JSON: the number of durations, their sum, some
// quantiles, and the buckets that are not empty as pairs of their upper bound
// and their count, all in microseconds.
func (h *Histogram) String() string {
	view := struct {
		Count   int64      `json:"count"`
		SumUs   int64      `json:"sum_us"`
		P50Us   int64      `json:"p50_us"`
		P99Us   int64      `json:"p99_us"`
		P999Us  int64      `json:"p999_us"`
		Buckets [][2]int64 `json:"buckets_us"`
	}{
		Count: h.count.Load(), SumUs: h.sum.Load(), P50Us: h.Quantile(0.5).Microseconds(),
		P99Us: h.Quantile(0.99).Microseconds(), P999Us: h.Quantile(0.999).Microseconds(), Buckets: [][2]int64{},
	}
	for i := range h.buckets {
		if n := h.buckets[i].Load(); n > 0 {
			view.Buckets = append(view.Buckets, [2]int64{upperBound(i), n})
		}
	}
	text, err := json.Marshal(view)
	if err != nil {
		return "null" // Numbers can always be encoded.
	}
	return string(text)
}
