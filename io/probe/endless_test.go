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
		"header": {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 512)},
		"body":   {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
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
