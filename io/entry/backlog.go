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
	// maxUnreadBytes is the number of bytes of a body that a caller is assumed to
	// send before this host reads them: the largest TCP window without scaling.
	maxUnreadBytes = 64 << 10
	// maxQueueDelay bounds the estimated delay, for which a call waits in addition to
	// decisionTimeout: a decision may be missing because the control host has failed
	// rather than because of uploads.
	maxQueueDelay = 300 * time.Millisecond
	bytesPerMbit  = 1e6 / 8
)

// newUploadBacklog returns a backlog for a network link of mbps megabits per
// second; with 0 the delay is always 0.
func newUploadBacklog(mbps float64) *uploadBacklog {
	return &uploadBacklog{bytesPerSecond: mbps * bytesPerMbit}
}

// addUpload counts a body of length bytes until the returned function is called. It
// counts at most maxUnreadBytes of the body, and as many if the length is negative
// (unknown). Bodies of at most maxReplayBytes don't count.
func (b *uploadBacklog) addUpload(length int64) func() {
	if b.bytesPerSecond == 0 || (length >= 0 && length <= maxReplayBytes) {
		return func() {}
	}
	n := int64(maxUnreadBytes)
	if length >= 0 {
		n = min(n, length)
	}
	b.pendingBytes.Add(n)
	return func() { b.pendingBytes.Add(-n) }
}

// queueDelay returns the estimated time that a message to this host waits behind the
// request bodies counted by addUpload, at most maxQueueDelay.
func (b *uploadBacklog) queueDelay() time.Duration {
	if b.bytesPerSecond == 0 {
		return 0
	}
	seconds := float64(b.pendingBytes.Load()) / b.bytesPerSecond
	return min(time.Duration(seconds*float64(time.Second)), maxQueueDelay)
}
