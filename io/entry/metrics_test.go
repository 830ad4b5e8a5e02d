package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"
)

// TestCallsAreCountedInHistograms checks that the times of a call are counted in
// the histograms of its service, and those of its attempt in the histogram of the
// attempt's result.
func TestCallsAreCountedInHistograms(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) {
		for c.readRequest() != nil {
			c.send(okResponse)
		}
	})
	b := newTestBed(t, nil, target.address)
	c := b.dial(t)
	for range 3 {
		answer, _ := c.call(t, keepAliveGet)
		g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	type family map[string]struct {
		Count int64 `json:"count"`
	}
	var view struct {
		Call     family `json:"call_latency"`
		Decision family `json:"decision_latency"`
		Attempt  family `json:"attempt_latency"`
		Queue    family `json:"queue_time"`
	}
	read := func() int64 {
		w := httptest.NewRecorder()
		b.host.metrics.ServeHTTP(w, nil)
		g.Expect(json.Unmarshal(w.Body.Bytes(), &view)).To(gomega.Succeed(), w.Body.String())
		total := int64(0)
		for _, h := range view.Call {
			total += h.Count
		}
		return total
	}
	// The last call is counted after its response was sent.
	g.Eventually(read).Should(gomega.BeEquivalentTo(3))
	g.Expect(view.Attempt["answered"].Count).To(gomega.BeEquivalentTo(3))
	for _, f := range []family{view.Call, view.Decision, view.Queue} {
		g.Expect(f).To(gomega.HaveLen(1))
		for service, h := range f {
			g.Expect(service).NotTo(gomega.BeEmpty())
			g.Expect(h.Count).To(gomega.BeEquivalentTo(3))
		}
	}
}
