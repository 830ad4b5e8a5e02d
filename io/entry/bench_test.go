package entry

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

// BenchmarkCall measures sequential calls through an entry host to a rawTarget over
// keep-alive connections.
func BenchmarkCall(b *testing.B) {
	target := newRawTarget(b, func(c *rawConn) {
		reader := bufio.NewReader(c.TCPConn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			c.send(okResponse)
		}
	})
	bench := newTestBed(b, func(doc *spec.Service, cfg *setup.Entry) {
		cfg.DecisionLogOneIn = 0
		doc.Receive.Deadline = strict.Duration(testTimeout)
	}, target.address)
	c := bench.dial(b)
	b.ReportAllocs()
	for b.Loop() {
		if answer, _ := c.call(b, keepAlivePost); answer.StatusCode != http.StatusOK {
			b.Fatal(answer.Status)
		}
	}
}
