package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/wire"
)

// Guards against uploads in chunks that are denied since their header is long, and against
// ambiguous headers that are accepted since what is ambiguous comes late.
func TestLongHeadersAreCheckedWhole(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: h\r\n"
	long := strings.Repeat("X-Long: "+strings.Repeat("a", 1000)+"\r\n", 24)
	body := "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	for name, row := range map[string]struct {
		request string
		status  int
	}{
		"in chunks":                     {head + long + body, http.StatusOK},
		"in chunks, with words of it":   {head + "X-A: content-length\r\n" + long + body, http.StatusOK},
		"with a length and chunks":      {head + long + "Content-Length: 1\r\n" + body, http.StatusBadRequest},
		"with a folded line at its end": {head + long + "X-A: 1\r\n folded\r\n" + body, http.StatusBadRequest},
		"with a folded line, no body":   {"GET /x HTTP/1.1\r\nHost: h\r\n" + long + "X-A: 1\r\n folded\r\n\r\n", http.StatusBadRequest},
		"longer than allowed":           {head + long + long + body, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			target := newRawTarget(t, respondWith(okResponse))
			b := newTestBed(t, nil, target.address)
			raw, _ := b.session(t, strings.Replace(row.request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
			g.Expect(finalAnswer(raw).StatusCode).To(gomega.Equal(row.status), raw)
			if row.status == http.StatusBadRequest {
				g.Expect(finalAnswer(raw).Header.Get(wire.HeaderReason)).To(gomega.Equal(reasonBadRequest))
			}
			if row.status != http.StatusOK {
				g.Expect(target.connsWithData()).To(gomega.BeZero())
			}
		})
	}
}

// Guards against a header whose end is not found since it comes in several reads.
func TestHeaderIsRecordedOverReads(t *testing.T) {
	const header, rest = "GET / HTTP/1.1\r\nA: b", "\r\n\r\nbody\r\n\r\n"
	for cut := range len(header + rest) {
		g := gomega.NewWithT(t)
		c := &callerConn{listener: &callerListener{maxHeaderBytes: func() int { return 100 }}}
		c.record([]byte((header + rest)[:cut]))
		c.record([]byte((header + rest)[cut:]))
		got, whole := c.header()
		g.Expect(string(got)).To(gomega.Equal(header))
		g.Expect(whole).To(gomega.BeTrue())
	}
}
