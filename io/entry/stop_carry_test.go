package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

// A host that stops completes the call that it carries for another host when it has none of
// its own.
func TestStoppingHostWithoutCallsCompletesCarriedCall(t *testing.T) {
	const work = 1200 * time.Millisecond // Well above idleStopTime.
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) {
		for c.readRequest() != nil {
			time.Sleep(work)
			c.send(okResponse)
		}
	})
	peers := []setup.Peer{{Host: "entry-1", DataCentre: "lab", PeerAddress: freeAddress(t)}, {Host: "entry-2", DataCentre: "lab", PeerAddress: freeAddress(t)}}
	var beds []*testBed
	for _, p := range peers {
		beds = append(beds, newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
			doc.Receive.Deadline = strict.Duration(time.Minute)
			cfg.Host, cfg.PeerAddress, cfg.Entries = p.Host, p.PeerAddress, peers
		}, target.address))
	}
	links := newTargetLinks(t, beds[0].host)
	links.add(target.address)
	links.begin(cutMode{refuses: true})
	c := beds[0].dial(t)
	_, err := io.WriteString(c, keepAlivePost)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(target.connsWithData, testTimeout, time.Millisecond).Should(gomega.Equal(1))
	beds[1].stop()
	g.Consistently(beds[1].done, work/2).ShouldNot(gomega.Receive(), "the process would end")
	answer, body := c.call(t, "")
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("ok"))
	g.Eventually(beds[1].done, testTimeout).Should(gomega.Receive(gomega.BeNil()))
}
