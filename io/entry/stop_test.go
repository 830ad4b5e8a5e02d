package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/setup"
)

// readiness returns the status of the readiness endpoint, or 0.
func (b *bench) readiness() int {
	resp, err := http.Get("http://" + b.host.cfg.AdminAddress.String() + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestStopCutsOffNothing stops the host during an upload and with a held
// call, takes calls until the drain delay ends, and measures the drain.
func TestStopCutsOffNothing(t *testing.T) {
	const (
		drain = 500 * time.Millisecond
		part  = 100_000
	)
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) {
		for c.request() != nil {
			c.say(ok)
		}
	})
	b := newBench(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Targets.Slots = 1
		doc.Hold.LongestWait = strict.Duration(testLimit)
		doc.Receive.Deadline = strict.Duration(testLimit)
		cfg.DrainDelay = strict.Duration(drain)
	}, target.address)
	kept := b.dial(t)
	kept.call(t, keptPost)
	upload := b.dial(t)
	io.WriteString(upload, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", part))
	g.Eventually(func() int { return len(strings.Join(target.received(), "")) }, testLimit).Should(gomega.BeNumerically(">", part/2))
	held := b.dial(t)
	io.WriteString(held, keptPost)
	g.Eventually(b.host.openCalls.Load, testLimit).Should(gomega.BeEquivalentTo(2))

	begin := time.Now()
	b.stop()
	g.Eventually(b.readiness, testLimit, time.Millisecond).Should(gomega.Equal(http.StatusServiceUnavailable))
	withdrawn := time.Since(begin)
	last := b.dial(t) // The listener is still open.
	io.WriteString(last, keptPost)
	time.Sleep(drain)
	g.Consistently(b.done, 200*time.Millisecond).ShouldNot(gomega.Receive())
	io.WriteString(upload, strings.Repeat("x", part))
	for _, c := range []*caller{upload, held, last} {
		answer, body := c.call(t, "")
		g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.Equal("ok"))
	}
	g.Eventually(b.done, testLimit).Should(gomega.Receive(gomega.BeNil()))
	t.Logf("readiness withdrawn after %s, stopped after %s with a drain delay of %s", withdrawn, time.Since(begin), drain)
	g.Expect(b.logs.String()).To(gomega.ContainSubstring("calls_cut_off=0"))
	_, err := net.Dial("tcp", b.address)
	g.Expect(err).To(gomega.HaveOccurred())
}

func TestDrainingHostAsksCallersToLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) {
		for c.request() != nil {
			c.say(ok)
		}
	})
	b := newBench(t, func(_ *spec.Service, cfg *setup.Entry) { cfg.DrainDelay = strict.Duration(2 * time.Second) }, target.address)
	c := b.dial(t)
	answer, _ := c.call(t, keptPost)
	g.Expect(answer.Close).To(gomega.BeFalse())
	b.stop()
	g.Eventually(b.host.draining.Load, testLimit).Should(gomega.BeTrue())
	answer, _ = c.call(t, keptPost)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(answer.Close).To(gomega.BeTrue())
}

// TestGraceEndsTheStop has a call that outlasts the operators' bound: it is
// cut off and its caller sees that.
func TestGraceEndsTheStop(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) { c.request(); c.untilClosed() })
	b := newBench(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Receive.Deadline = strict.Duration(time.Minute)
		cfg.StopGrace = strict.Duration(300 * time.Millisecond)
	}, target.address)
	c := b.dial(t)
	io.WriteString(c, keptPost)
	g.Eventually(target.reached, testLimit).Should(gomega.Equal(1))
	begin := time.Now()
	b.stop()
	_, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(b.done, testLimit).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", 10*time.Second))
	g.Expect(b.logs.String()).To(gomega.ContainSubstring("calls_cut_off=1"))
}

// TestHeldCallIsRefusedTruthfullyDuringAStop holds a call behind one that its
// target never answers: it is told that it did not run.
func TestHeldCallIsRefusedTruthfullyDuringAStop(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) { c.request(); c.untilClosed() })
	b := newBench(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Targets.Slots = 1
		doc.Receive.Deadline = strict.Duration(time.Minute)
		doc.Hold.LongestWait = strict.Duration(500 * time.Millisecond)
		cfg.StopGrace = strict.Duration(3 * time.Second)
	}, target.address)
	io.WriteString(b.dial(t), keptPost)
	g.Eventually(target.reached, testLimit).Should(gomega.Equal(1))
	held := b.dial(t)
	io.WriteString(held, keptPost)
	g.Eventually(b.host.openCalls.Load, testLimit).Should(gomega.BeEquivalentTo(2))
	b.stop()
	answer, _ := held.call(t, "")
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal("not_run"))
	g.Expect(target.reached()).To(gomega.Equal(1))
	g.Eventually(b.done, testLimit).Should(gomega.Receive(gomega.BeNil()))
}
