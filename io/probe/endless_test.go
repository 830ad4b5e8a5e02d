package probe

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/wire"
)

// Guards against probes whose answers have no end.
func TestProbeWithoutEndIsLostEarly(t *testing.T) {
	for name, answer := range map[string]struct{ begin, rest string }{
		"header":                {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 512)},
		"body":                  {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
		"no answer":             {"", strings.Repeat("x", 4096)},
		"status line":           {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
		"header field":          {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4096)},
		"folded header field":   {"HTTP/1.1 200 OK\r\nA: b\r\n", strings.Repeat(" c\r\n", 512)},
		"informational answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 128)},
		"chunks":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("5\r\nabcde\r\n", 512)},
		"chunk size":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
		"chunk extension":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("x", 4096)},
		"trailer":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\nA: ", strings.Repeat("x", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer l.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				for _, err = io.WriteString(conn, answer.begin); err == nil; {
					_, err = io.WriteString(conn, answer.rest)
				}
			}()
			target := member.Record{Address: l.Addr().(*net.TCPAddr).AddrPort()}
			begin := time.Now()
			result, err := HTTP(wire.Spool())(context.Background(), target, "/health")
			g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", probeTimeout), "the probe ends by itself, not by its timeout")
			if name == "header" {
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(result.Result).To(gomega.Equal(route.ProbeLost))
			}
			g.Eventually(ended, 5*time.Second).Should(gomega.BeClosed())
		})
	}
}
