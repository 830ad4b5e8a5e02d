package entry

import (
	"sync/atomic"
	"time"
)

// uploadBacklog estimates how long a message to this host is queued behind the
// bodies that callers are sending over the same network link.
type uploadBacklog struct {
	bytesPerSecond float64 // Rate of the host's network link; 0 if uploads cannot saturate it.
	pendingBytes   atomic.Int64
}

const (
	// maxUnreadBytes is how much of a body a caller's kernel sends before this
	// host reads it: the largest TCP window without scaling.
	maxUnreadBytes = 64 << 10
	// maxQueueDelay bounds the estimate, since the control host may have failed.
	maxQueueDelay = 300 * time.Millisecond
	bytesPerMbit  = 1e6 / 8
)

func newUploadBacklog(mbps float64) *uploadBacklog {
	return &uploadBacklog{bytesPerSecond: mbps * bytesPerMbit}
}

// addUpload counts a body until the returned function is called. A negative
// length means that it is unknown. Bodies of at most maxReplayBytes don't count.
func (i *uploadBacklog) addUpload(length int64) func() {
	if i.bytesPerSecond == 0 || (length >= 0 && length <= maxReplayBytes) {
		return func() {}
	}
	n := int64(maxUnreadBytes)
	if length >= 0 {
		n = min(n, length)
	}
	i.pendingBytes.Add(n)
	return func() { i.pendingBytes.Add(-n) }
}

// queueDelay returns the estimated delay of a message behind the counted bodies.
func (i *uploadBacklog) queueDelay() time.Duration {
	if i.bytesPerSecond == 0 {
		return 0
	}
	seconds := float64(i.pendingBytes.Load()) / i.bytesPerSecond
	return min(time.Duration(seconds*float64(time.Second)), maxQueueDelay)
}
