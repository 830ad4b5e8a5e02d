package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
)

func TestSplitterServesBothProtocolsAtOneAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	s := NewSplitter(l)
	ended := make(chan struct{})
	go func() { s.Run(ctx); close(ended) }()
	server := NewServer()
	grpc_health_v1.RegisterHealthServer(server, health.NewServer())
	go server.Serve(s.GRPC())
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })}
	go web.Serve(s.HTTP())

	var conn *grpc.ClientConn
	conn, err = Dial(netip.MustParseAddrPort(l.Addr().String()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = grpc_health_v1.NewHealthClient(conn).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	// A request whose first bytes arrive one by one, and whose method begins like the
	// preface of HTTP/2.
	raw, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer raw.Close()
	for _, b := range []byte("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok") {
		_, err = raw.Write([]byte{b})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	answer, err := io.ReadAll(raw)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer)).To(gomega.HaveSuffix("\r\n\r\nok"))

	silent, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer silent.Close()
	time.Sleep(20 * time.Millisecond) // Until it waits for its first bytes.
	cancel()
	g.Eventually(ended, 5*time.Second).Should(gomega.BeClosed(), "a silent connection does not delay the end")
	server.Stop()
	g.Expect(web.Close()).To(gomega.Succeed())
}
