package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

// A target that leaves waits for an answer until another entry host knows. A host that stops
// meanwhile must answer it, if its grace allows that.
func TestStopAnswersTargetThatLeaves(t *testing.T) {
	const grace = 5 * time.Second
	g := gomega.NewWithT(t)
	b := newTestBed(t, func(_ *spec.Service, cfg *setup.Entry) {
		cfg.Entries = append(cfg.Entries, setup.Peer{Host: "entry-2", DataCentre: "lab", PeerAddress: freeAddress(t)}) // Not running.
		cfg.StopGrace = strict.Duration(grace)
	})
	announce := func(state string) (int, error) {
		body := `{"service":"s","target":"t","address":"127.0.0.1:9000","data_centre":"lab","state":"` + state + `","incarnation":5,"slots":3}`
		resp, err := http.Post("http://"+b.host.cfg.AnnounceAddress.String()+"/v1/announce", "application/json", strings.NewReader(body))
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	status, err := announce("ready")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	time.AfterFunc(50*time.Millisecond, b.stop)
	status, err = announce("leaving") // No other host acknowledges it, which is known after a second.
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
}
