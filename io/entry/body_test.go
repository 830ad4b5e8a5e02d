package entry

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestEndedAttemptInterruptsNoCaller guards against a close of the target's
// connection that is detected after its attempt has ended. It must not interrupt
// the caller's connection, which may already carry the next request.
func TestEndedAttemptInterruptsNoCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &body{}
	ended, present := b.newView(), b.newView()
	ended.release()
	b.mu.Lock() // As during a Read of the current view.
	defer b.mu.Unlock()
	ended.abort()
	g.Expect(b.interrupted.Load()).To(gomega.BeFalse())
	g.Expect(present.closed.Load()).To(gomega.BeFalse())
}
