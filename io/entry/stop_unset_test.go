package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

// A host without stop_time accepts the requests that it reads on connections which were
// opened before the stop, whatever their deadlines are.
func TestStopWithoutStopTimeAcceptsCallsOnOpenConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) {
		for c.readRequest() != nil {
			c.send(okResponse)
		}
	})
	b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
		doc.Receive.Deadline = strict.Duration(10 * time.Second)
		cfg.StopGrace = strict.Duration(5 * time.Second)
	}, target.address)
	c := b.dial(t)
	time.Sleep(20 * time.Millisecond) // The host accepts the connection.
	b.stop()
	time.Sleep(100 * time.Millisecond)
	answer, _ := c.call(t, keepAlivePost)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
}
