package entry

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/links"
	"cardamomspool/io/setup"
)

// Guards against carried calls that are given up, by the carrier or by the host that has sent
// them there, while their target is at work on them.
func TestCarriedCallAtAWorkingTargetIsNotGivenUpAsSilent(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	var (
		busy      atomic.Bool
		runs, cut atomic.Int64
	)
	target := workingTarget(t, 1200*time.Millisecond, &busy, &runs, &cut)
	peers := []setup.Peer{{Host: "entry-1", DataCentre: "lab", PeerAddress: freeAddress(t)}, {Host: "entry-2", DataCentre: "lab", PeerAddress: freeAddress(t)}}
	var beds []*testBed
	for _, p := range peers {
		beds = append(beds, newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
			doc.Retry.Attempts = 1
			doc.Receive.Deadline = strict.Duration(4 * time.Second)
			cfg.Host, cfg.PeerAddress, cfg.Entries = p.Host, p.PeerAddress, peers
		}, target.address))
	}
	relays := newTargetLinks(t, beds[0].host)
	relays.add(target.address)
	relays.begin(cutMode{refuses: true})
	for _, b := range beds { // Opens the connections to the carrier and to the target.
		answer, _ := b.dial(t).call(t, keepAliveGet)
		g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	time.Sleep(links.MaxTrustedSilence + 100*time.Millisecond)
	busy.Store(true)
	answer, _ := beds[0].dial(t).call(t, keepAliveGet)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(runs.Load()).To(gomega.BeEquivalentTo(1))
	g.Expect(cut.Load()).To(gomega.BeZero())
	g.Expect(beds[0].host.metrics.Counter("calls_carried_out").Value()).To(gomega.BeNumerically(">=", 2))
}
