package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/wire"
	"cardamomspool/internal/granted"
)

// stalledPost is an upload whose caller stops in the middle and keeps the
// connection open.
var stalledPost = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 100000)

// TestStalledUploadIsAnsweredAtOnce has a caller stop within its upload while the
// target waits for the rest, resets the connection, responds or refuses.
func TestStalledUploadIsAnsweredAtOnce(t *testing.T) {
	rows := []struct {
		name            string
		script          func(*rawConn)
		limit           time.Duration // The call must end sooner, in granted time.
		status          int
		outcome, reason string
	}{
		{"target waits", func(c *rawConn) { c.readRequest() }, 2 * time.Second, 504, "unknown", "deadline"},
		{"target resets", func(c *rawConn) { c.readHeader(); time.Sleep(50 * time.Millisecond); c.reset() }, deadline, 502, "unknown", "target_failed"},
		{"target answers", func(c *rawConn) {
			c.readHeader()
			c.send("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			c.waitClosed()
		}, deadline, 413, "", ""},
		{"target refuses", func(c *rawConn) {
			c.readHeader()
			c.send("HTTP/1.1 503 Full\r\nSpool-Outcome: not_run\r\nContent-Length: 0\r\n\r\n")
			c.waitClosed()
		}, deadline, 503, "not_run", "targets_refuse"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			configure := oneAttempt(longDeadline)
			if row.reason == "deadline" {
				configure = shortDeadline
			}
			b := newTestBed(t, configure, newRawTarget(t, row.script).address)
			begin := granted.Now()
			raw, broken := b.session(t, stalledPost)
			g.Expect(granted.Now() - begin).To(gomega.BeNumerically("<", row.limit))
			g.Expect(broken).To(gomega.BeFalse())
			answer := firstAnswer(raw)
			g.Expect(answer).NotTo(gomega.BeNil(), raw)
			g.Expect(answer.StatusCode).To(gomega.Equal(row.status))
			g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal(row.outcome))
			g.Expect(answer.Header.Get(wire.HeaderReason)).To(gomega.Equal(row.reason))
		})
	}
}
