package entry

import (
	"strings"
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

// Guards against an answer that closes the caller's connection although the body was
// read whole, because a target's request reads the buffered body at that moment.
func TestWholeBodyIsCompleteDuringRead(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &body{source: strings.NewReader("x")}
	g.Expect(b.prefetch(1)).To(gomega.Succeed())
	b.mu.Lock() // As bodyView.Read does.
	defer b.mu.Unlock()
	g.Expect(b.complete()).To(gomega.BeTrue())
}

// Guards against the loss of a caller's connection when the connection to a target
// ends while the request reads a body that is buffered whole.
func TestWholeBodyIsNotInterrupted(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &body{source: strings.NewReader("x")}
	g.Expect(b.prefetch(1)).To(gomega.Succeed())
	view := b.newView()
	b.mu.Lock()
	defer b.mu.Unlock()
	view.abort()
	g.Expect(view.closed.Load()).To(gomega.BeTrue())
	g.Expect(b.interrupted.Load()).To(gomega.BeFalse())
}
