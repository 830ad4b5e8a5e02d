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

// BenchmarkCall measures one call after another through an entry host to a
// target on a bare socket, over kept connections.
func BenchmarkCall(b *testing.B) {
	target := newRawTarget(b, func(c *rawConn) {
		reader := bufio.NewReader(c.TCPConn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			c.say(ok)
		}
	})
	bench := newBench(b, func(doc *spec.Service, cfg *setup.Entry) {
		cfg.DecisionLogOneIn = 0
		doc.Receive.Deadline = strict.Duration(testLimit)
	}, target.address)
	c := bench.dial(b)
	b.ReportAllocs()
	for b.Loop() {
		if answer, _ := c.call(b, keptPost); answer.StatusCode != http.StatusOK {
			b.Fatal(answer.Status)
		}
	}
}
