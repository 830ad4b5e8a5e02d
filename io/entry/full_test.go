package entry

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
	"cardamomspool/io/setup"
)

// Guards against a target that is taken for a failing one since it resets connections when it
// is full, and against callers who are told that a call that it has reset did not run.
func TestTargetThatResetsWhenFullIsLearnt(t *testing.T) {
	g := gomega.NewWithT(t)
	var running atomic.Int64
	target := newRawTarget(t, func(c *rawConn) {
		for c.readRequest() != nil {
			if running.Add(1) > 1 { // Full with one call, though the document allows two.
				running.Add(-1)
				c.reset()
				return
			}
			time.Sleep(60 * time.Millisecond)
			running.Add(-1)
			c.send(okResponse)
		}
	})
	b := newTestBed(t, func(doc *spec.Service, _ *setup.Entry) {
		doc.Retry.Attempts, doc.Targets.Slots = 1, 2
	}, target.address)
	var statuses map[int]int
	round := func(request string) {
		var (
			group sync.WaitGroup
			mu    sync.Mutex
		)
		statuses = make(map[int]int)
		for range 2 {
			group.Go(func() {
				raw, _ := b.session(t, request)
				answer := finalAnswer(raw)
				if answer.StatusCode == http.StatusBadGateway {
					g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal("unknown"))
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[answer.StatusCode]++
			})
		}
		group.Wait()
	}
	const learnt = "targets reset connections when full"
	for range 10 {
		round(get)
		g.Expect(statuses).To(gomega.Equal(map[int]int{200: 1, 502: 1}), b.logs.String())
		if strings.Contains(b.logs.String(), learnt) {
			break
		}
	}
	g.Expect(b.logs.String()).To(gomega.ContainSubstring(learnt))
	// The engine may learn it just after the callers of a round have their answers.
	failures := b.host.metrics.Counter("connections_reset").Value() - b.host.metrics.Counter("resets_when_full").Value()
	g.Expect(failures).To(gomega.BeNumerically(">=", 3), "resets that teach it count as failures")
	round(get)
	before := b.host.forwarder.activity.evidenceFor(member.Key{Service: "s", Target: "a"}).Failed
	opened := b.host.metrics.Counter("connections_opened").Value()
	time.Sleep(100 * time.Millisecond) // The pause of the target is over.
	round(post)
	g.Expect(statuses).To(gomega.Equal(map[int]int{200: 1, 502: 1}), "not repeated, %s", b.logs.String())
	g.Expect(b.host.metrics.Counter("resets_when_full").Value()).To(gomega.BeNumerically(">=", 1))
	after := b.host.forwarder.activity.evidenceFor(member.Key{Service: "s", Target: "a"}).Failed
	g.Expect(after).To(gomega.Equal(before), "not suspected")
	g.Expect(b.host.metrics.Counter("connections_opened").Value()-opened).To(gomega.BeNumerically("<=", 3), "connections are kept")
	g.Expect(b.host.links.Lost(target.address)).To(gomega.BeFalse())
}

// Guards against resets that control hosts do not learn of, since another entry host has carried
// the call.
func TestResetThroughACarrierIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) { c.readRequest(); c.reset() })
	p := testPlan()
	p.Routes[0].Attempts = 1
	report := rosterTarget("t", target.address, member.Ready)
	control := newPlannedControl(t, p, report)
	control.state.UpdateTargets(true, report)
	h, url := newFleetHost(t, control.address)
	newFleetHost(t, control.address)
	g.Eventually(func() int { return len(listEntries(h)) }, testTimeout, time.Millisecond).Should(gomega.Equal(1))
	h.links.AddCarriers(listEntries(h))
	links := newTargetLinks(t, h)
	links.add(target.address)
	links.begin(cutMode{refuses: true})
	g.Expect(callRoute(t, http.MethodGet, url, nil)).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(h.metrics.Counter("calls_carried_out").Value()).To(gomega.BeEquivalentTo(1))
	g.Expect(h.metrics.Counter("connections_reset").Value()).To(gomega.BeEquivalentTo(1))
}
