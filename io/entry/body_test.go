package entry

import (
	"testing"

	"github.com/onsi/gomega"
)

// A connection to a target may be found closed only after its attempt has
// ended. That must not interrupt the caller's connection, on which the next
// request may be under way by then.
func TestEndedAttemptInterruptsNoCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &body{}
	ended, present := b.view(), b.view()
	ended.release()
	b.mu.Lock() // As while present reads.
	defer b.mu.Unlock()
	ended.breakOff()
	g.Expect(b.interrupted.Load()).To(gomega.BeFalse())
	g.Expect(present.closed.Load()).To(gomega.BeFalse())
}
