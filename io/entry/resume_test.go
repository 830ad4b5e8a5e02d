package entry

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/wire"
)

// Guards against a call without an answer at a host that was suspended, or had no processor,
// from before the call's deadline until the time for its answer was over: the caller saw the
// connection end in place of 504. The log blocks for that time, at the last line of the attempt.
func TestCallIsAnsweredByAHostThatResumesLongAfterItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) { c.readRequest(); c.waitClosed() })
	b := newTestBed(t, oneAttempt(deadline), target.address)
	b.logs.setOnWrite(func(line []byte) {
		if bytes.Contains(line, []byte("attempt failed")) {
			time.Sleep(writeGrace + 500*time.Millisecond)
		}
	})
	raw, broken := b.session(t, post)
	g.Expect(broken).To(gomega.BeFalse())
	answer := finalAnswer(raw)
	g.Expect(answer).NotTo(gomega.BeNil(), raw)
	g.Expect(answer.StatusCode).To(gomega.Equal(504))
	g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal(wire.OutcomeUnknown))
}
