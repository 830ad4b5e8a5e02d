package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/setup"
)

// readiness returns the status of the readiness endpoint, or 0.
func (b *testBed) readiness() int {
	resp, err := http.Get("http://" + b.host.cfg.AdminAddress.String() + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestStopCompletesOpenCalls stops the host during an upload and with a held call,
// sends another call during the drain delay, and checks that all are answered. It
// logs how long the withdrawal of readiness and the whole stop take.
func TestStopCompletesOpenCalls(t *testing.T) {
	const (
		drain    = 500 * time.Millisecond
		halfBody = 100_000
	)
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) {
		for c.readRequest() != nil {
			c.send(okResponse)
		}
	})
	b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Targets.Slots = 1
		doc.Hold.LongestWait = strict.Duration(testTimeout)
		doc.Receive.Deadline = strict.Duration(testTimeout)
		cfg.DrainDelay = strict.Duration(drain)
	}, target.address)
	idle := b.dial(t)
	idle.call(t, keepAlivePost)
	upload := b.dial(t)
	io.WriteString(upload, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", halfBody))
	g.Eventually(func() int { return len(strings.Join(target.received(), "")) }, testTimeout).Should(gomega.BeNumerically(">", halfBody/2))
	held := b.dial(t)
	io.WriteString(held, keepAlivePost)
	g.Eventually(b.host.openCalls.Load, testTimeout).Should(gomega.BeEquivalentTo(2))

	begin := time.Now()
	b.stop()
	g.Eventually(b.readiness, testTimeout, time.Millisecond).Should(gomega.Equal(http.StatusServiceUnavailable))
	withdrawn := time.Since(begin)
	last := b.dial(t) // The host still accepts connections.
	io.WriteString(last, keepAlivePost)
	time.Sleep(drain)
	g.Consistently(b.done, 200*time.Millisecond).ShouldNot(gomega.Receive())
	io.WriteString(upload, strings.Repeat("x", halfBody))
	for _, c := range []*caller{upload, held, last} {
		answer, body := c.call(t, "")
		g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.Equal("ok"))
	}
	g.Eventually(b.done, testTimeout).Should(gomega.Receive(gomega.BeNil()))
	t.Logf("readiness withdrawn after %s, stopped after %s with a drain delay of %s", withdrawn, time.Since(begin), drain)
	g.Expect(b.logs.String()).To(gomega.ContainSubstring("calls_cut_off=0"))
	_, err := net.Dial("tcp", b.address)
	g.Expect(err).To(gomega.HaveOccurred())
}

// TestDrainingHostClosesCallerConnections checks that responses ask callers to close
// their connection during the drain delay, and not before.
func TestDrainingHostClosesCallerConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) {
		for c.readRequest() != nil {
			c.send(okResponse)
		}
	})
	b := newTestBed(t, func(_ *spec.Service, cfg *setup.Entry) { cfg.DrainDelay = strict.Duration(2 * time.Second) }, target.address)
	c := b.dial(t)
	answer, _ := c.call(t, keepAlivePost)
	g.Expect(answer.Close).To(gomega.BeFalse())
	b.stop()
	g.Eventually(b.host.draining.Load, testTimeout).Should(gomega.BeTrue())
	answer, _ = c.call(t, keepAlivePost)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(answer.Close).To(gomega.BeTrue())
}

// TestStopCutsOffCallsAfterGrace stops the host with a call that outlasts the stop
// grace. It must be cut off with an error for its caller.
func TestStopCutsOffCallsAfterGrace(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) { c.readRequest(); c.waitClosed() })
	b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Receive.Deadline = strict.Duration(time.Minute)
		cfg.StopGrace = strict.Duration(300 * time.Millisecond)
	}, target.address)
	c := b.dial(t)
	io.WriteString(c, keepAlivePost)
	g.Eventually(target.connsWithData, testTimeout).Should(gomega.Equal(1))
	begin := time.Now()
	b.stop()
	_, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(b.done, testTimeout).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", 10*time.Second))
	g.Expect(b.logs.String()).To(gomega.ContainSubstring("calls_cut_off=1"))
}

// TestHeldCallIsRefusedDuringStop stops the host while a call is held behind one
// that its target never answers. The host must answer the held call that it did not
// run.
func TestHeldCallIsRefusedDuringStop(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) { c.readRequest(); c.waitClosed() })
	b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Targets.Slots = 1
		doc.Receive.Deadline = strict.Duration(time.Minute)
		doc.Hold.LongestWait = strict.Duration(500 * time.Millisecond)
		cfg.StopGrace = strict.Duration(3 * time.Second)
	}, target.address)
	io.WriteString(b.dial(t), keepAlivePost)
	g.Eventually(target.connsWithData, testTimeout).Should(gomega.Equal(1))
	held := b.dial(t)
	io.WriteString(held, keepAlivePost)
	g.Eventually(b.host.openCalls.Load, testTimeout).Should(gomega.BeEquivalentTo(2))
	b.stop()
	answer, _ := held.call(t, "")
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal("not_run"))
	g.Expect(target.connsWithData()).To(gomega.Equal(1))
	g.Eventually(b.done, testTimeout).Should(gomega.Receive(gomega.BeNil()))
}

// Callers send on kept connections, in pieces as over a narrow link, around the end of
// the drain delay, in steps of 2 ms. The host must answer each request of which it has
// had the time to read the first piece.
func TestStopAnswersRequestsThatArriveAsTheDrainEnds(t *testing.T) {
	const (
		drain   = 400 * time.Millisecond
		callers = 80
		step    = 2 * time.Millisecond
		lead    = callers / 2 * step // From the first request to the end of the drain.
		pause   = 20 * time.Millisecond
		// readTime is far more than the host needs to read bytes that have arrived.
		readTime = 200 * time.Millisecond
	)
	for _, pieces := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d pieces", pieces), func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := newRawTarget(t, func(c *rawConn) {
				for c.readRequest() != nil {
					c.send(okResponse)
				}
			})
			b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
				cfg.DrainDelay = strict.Duration(drain)
				doc.Targets.Slots, doc.Targets.Connections = callers, callers
			}, target.address)
			conns := make([]*caller, callers)
			for i := range conns {
				conns[i] = b.dial(t)
				conns[i].call(t, keepAlivePost)
			}
			b.stop()
			stopped := time.Now()
			var (
				group          sync.WaitGroup
				answered, lost atomic.Int64
			)
			for i, c := range conns {
				group.Go(func() {
					time.Sleep(time.Until(stopped.Add(drain - lead + time.Duration(i)*step)))
					begin := time.Now()
					for p := range pieces {
						if p > 0 {
							time.Sleep(pause)
						}
						part := keepAlivePost[p*len(keepAlivePost)/pieces : (p+1)*len(keepAlivePost)/pieces]
						if _, err := io.WriteString(c, part); err != nil {
							return // The connection was closed before.
						}
					}
					answer, err := http.ReadResponse(c.reader, nil)
					switch {
					case err == nil && answer.StatusCode == http.StatusOK:
						answered.Add(1)
					case time.Since(begin) > readTime:
						lost.Add(1)
					}
				})
			}
			group.Wait()
			t.Logf("%d of %d answered", answered.Load(), callers)
			g.Expect(lost.Load()).To(gomega.BeZero())
			// Requests that begin 20 ms or more before the end of the drain must be
			// answered, which leaves ten steps.
			g.Expect(answered.Load()).To(gomega.BeNumerically(">=", callers/2-10))
			g.Eventually(b.done, testTimeout).Should(gomega.Receive(gomega.BeNil()))
			g.Expect(b.logs.String()).To(gomega.ContainSubstring("requests_unanswered=0"))
		})
	}
}

// The log must name each call that a stop cuts off, with its target or that it was at none.
// A call that is held is answered before that.
func TestStopNamesCallsThatItCutsOff(t *testing.T) {
	const grace = 2 * time.Second
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) { c.readRequest(); c.waitClosed() })
	b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Targets.Slots = 1
		doc.Receive.Deadline = strict.Duration(time.Minute)
		doc.Hold.LongestWait = strict.Duration(time.Minute)
		cfg.StopGrace = strict.Duration(grace)
	}, target.address)
	io.WriteString(b.dial(t), keepAlivePost)
	g.Eventually(target.connsWithData, testTimeout).Should(gomega.Equal(1))
	io.WriteString(b.dial(t), "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	g.Eventually(b.host.openCalls.Load, testTimeout).Should(gomega.BeEquivalentTo(2))
	held := b.dial(t)
	io.WriteString(held, keepAlivePost)
	g.Eventually(b.host.openCalls.Load, testTimeout).Should(gomega.BeEquivalentTo(3))
	time.Sleep(20 * time.Millisecond) // The scheduler decides to hold the last call.
	b.stop()
	answer, _ := held.call(t, "")
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal(wire.OutcomeNotRun))
	g.Expect(answer.Header.Get(wire.HeaderReason)).To(gomega.Equal("stopping"))
	g.Expect(answer.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(answer.Close).To(gomega.BeTrue())
	g.Eventually(b.done, testTimeout).Should(gomega.Receive(gomega.BeNil()))
	lines := regexp.MustCompile(`msg="call cut off by stop".*`).FindAllString(b.logs.String(), -1)
	g.Expect(lines).To(gomega.HaveLen(2))
	g.Expect(lines[0]).To(gomega.MatchRegexp(`held=false target=a call=entry-1-\S+-1 service=s after_stop=\S+s arrived_after_stop=-\S+s deadline_left=5\d\.\S+s carried_in=false`))
	g.Expect(lines[1]).To(gomega.MatchRegexp(`held=true call=entry-1-\S+-2 `))
	g.Expect(b.host.metrics.Counter("calls_cut_by_stop").Value()).To(gomega.BeEquivalentTo(2))
	g.Expect(b.host.metrics.Histogram("time_after_stop", "cut_off").Quantile(0.5)).To(gomega.BeNumerically(">=", grace))
}

// A host that stops completes the calls that it carries for another host, beside one of its
// own that outlasts the stop, and carries no further ones.
func TestStoppingHostCompletesCarriedCalls(t *testing.T) {
	const work = 800 * time.Millisecond
	g := gomega.NewWithT(t)
	var begun sync.Map // The paths of the requests that the target got.
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun.Store(r.URL.Path, true)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(map[string]time.Duration{"/carried": work, "/own": time.Minute}[r.URL.Path]):
			io.WriteString(w, "ok")
		}
	}))
	t.Cleanup(target.Close)
	reached := func(path string) func() bool {
		return func() bool {
			_, ok := begun.Load(path)
			return ok
		}
	}
	address := target.Listener.Addr().(*net.TCPAddr).AddrPort()
	peers := []setup.Peer{{Host: "entry-1", DataCentre: "lab", PeerAddress: freeAddress(t)}, {Host: "entry-2", DataCentre: "lab", PeerAddress: freeAddress(t)}}
	var beds []*testBed
	for _, p := range peers {
		beds = append(beds, newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
			doc.Receive.Deadline = strict.Duration(time.Minute)
			doc.Hold.LongestWait = strict.Duration(time.Second)
			cfg.Host, cfg.PeerAddress, cfg.Entries = p.Host, p.PeerAddress, peers
			cfg.DrainDelay, cfg.StopGrace = strict.Duration(work/2), strict.Duration(2*work)
		}, address))
	}
	links := newTargetLinks(t, beds[0].host)
	links.add(address)
	links.begin(cutMode{refuses: true})
	request := func(path string) string { return strings.Replace(keepAlivePost, "/x", path, 1) }

	carried, own := beds[0].dial(t), beds[1].dial(t)
	io.WriteString(own, request("/own"))
	io.WriteString(carried, request("/carried"))
	g.Eventually(reached("/own"), testTimeout, time.Millisecond).Should(gomega.BeTrue())
	g.Eventually(reached("/carried"), testTimeout, time.Millisecond).Should(gomega.BeTrue())
	beds[1].stop()
	g.Eventually(beds[1].host.draining.Load, testTimeout, time.Millisecond).Should(gomega.BeTrue())
	answer, _ := beds[0].dial(t).call(t, request("/late"))
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal(wire.OutcomeNotRun))
	answer, body := carried.call(t, "")
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("ok"))
	g.Eventually(beds[1].done, testTimeout).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(reached("/late")()).To(gomega.BeFalse())
	lines := regexp.MustCompile(`msg="call cut off by stop".*`).FindAllString(beds[1].logs.String(), -1)
	g.Expect(lines).To(gomega.HaveLen(1))
	g.Expect(lines[0]).To(gomega.ContainSubstring("carried_in=false"))
}

// Guards against an answer that is lost because the process of a stopping host ends, which
// resets the connections of callers that are still sending.
func TestStopAwaitsCallersThatStillSend(t *testing.T) {
	const drain = 200 * time.Millisecond
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) { c.readRequest(); c.waitClosed() })
	b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Receive.Deadline = strict.Duration(time.Minute)
		cfg.DrainDelay, cfg.StopTime = strict.Duration(drain), strict.Duration(testTimeout)
	}, target.address)
	c := b.dial(t)
	io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n")
	b.stop()
	time.Sleep(drain + 100*time.Millisecond)
	io.WriteString(c, "\r\nx")
	answer, _ := c.call(t, "")
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header.Get(wire.HeaderReason)).To(gomega.Equal("stopping"))
	g.Consistently(b.done, lingerTimeout/2).ShouldNot(gomega.Receive())
	c.Close()
	g.Eventually(b.done, lingerTimeout).Should(gomega.Receive(gomega.BeNil()))
}
