package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/links"
	"cardamomspool/io/setup"
)

// A call for which no connection to its target has been opened has not run. A stop must
// refuse it, as a call that is held.
func TestStopRefusesCallThatHasNoConnection(t *testing.T) {
	const grace = 600 * time.Millisecond // Less than links.DialTimeout.
	g := gomega.NewWithT(t)
	g.Expect(grace).To(gomega.BeNumerically("<", links.DialTimeout))
	target := newRawTarget(t, func(c *rawConn) { c.readRequest(); c.waitClosed() })
	b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Receive.Deadline = strict.Duration(time.Minute)
		doc.Hold.LongestWait = strict.Duration(time.Minute)
		cfg.StopGrace = strict.Duration(grace)
	}, target.address)
	l := newTargetLinks(t, b.host)
	l.add(target.address)
	l.begin(cutMode{})
	c := b.dial(t)
	_, err := io.WriteString(c, keepAlivePost)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(b.host.openCalls.Load, testTimeout, time.Millisecond).Should(gomega.BeEquivalentTo(1))
	time.Sleep(20 * time.Millisecond) // The scheduler decides.
	b.stop()
	answer, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal(wire.OutcomeNotRun))
	g.Eventually(b.done, testTimeout).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(target.connsWithData()).To(gomega.BeZero())
}
