package entry

import (
	"sync/atomic"
	"time"
)

// ingest estimates how long a message to this host waits behind the bodies
// that its callers are sending.
type ingest struct {
	rate    float64 // Of the host's link, in bytes a second; 0 for one that never fills.
	pending atomic.Int64
}

const (
	// sentAhead is how much of a body a caller's kernel sends before it is
	// read: the largest TCP window without scaling.
	sentAhead = 64 << 10
	// longestIngest bounds the estimate, since a control host may have gone.
	longestIngest = 300 * time.Millisecond
	bytesPerMbit  = 1e6 / 8
)

func newIngest(mbps float64) *ingest {
	return &ingest{rate: mbps * bytesPerMbit}
}

// open counts a body of length bytes, or of an unknown one when it is negative,
// until the function that it returns is called.
func (i *ingest) open(length int64) func() {
	if i.rate == 0 || (length >= 0 && length <= replayLimit) {
		return func() {}
	}
	n := int64(sentAhead)
	if length >= 0 {
		n = min(n, length)
	}
	i.pending.Add(n)
	return func() { i.pending.Add(-n) }
}

// wait returns how long a message waits behind the bodies that are open.
func (i *ingest) wait() time.Duration {
	if i.rate == 0 {
		return 0
	}
	seconds := float64(i.pending.Load()) / i.rate
	return min(time.Duration(seconds*float64(time.Second)), longestIngest)
}
