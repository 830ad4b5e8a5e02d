package entry

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestEndedAttemptInterruptsNoCaller aborts the view of an attempt that has ended,
// which happens when the close of the target's connection is detected late. It must not
// interrupt the caller's connection, which may already carry the next request.
func TestEndedAttemptInterruptsNoCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &body{}
	ended, present := b.newView(), b.newView()
	ended.release()
	b.mu.Lock() // As during a Read of the view of the present attempt.
	defer b.mu.Unlock()
	ended.abort()
	g.Expect(b.interrupted.Load()).To(gomega.BeFalse())
	g.Expect(present.closed.Load()).To(gomega.BeFalse())
}
