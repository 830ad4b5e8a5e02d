package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/grpc/connectivity"

	"cardamomspool/io/peer"
)

// lateListener accepts each connection only after a delay, as a busy process does, and
// counts the accepted connections.
type lateListener struct {
	net.Listener
	delay    time.Duration
	accepted atomic.Int64
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
		time.Sleep(l.delay)
	}
	return c, err
}

// When hundreds of hosts connect to a control host at the same time, it answers some of
// them late. Each host must wait for its one connection: attempts that are given up and
// repeated are new work for a host that has too much of it.
func TestDialWaitsForBusyHost(t *testing.T) {
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := &lateListener{Listener: inner, delay: time.Second}
	server := peer.NewServer()
	go server.Serve(l)
	defer server.Stop()
	conn, err := peer.Dial(l.Addr().(*net.TCPAddr).AddrPort())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	conn.Connect()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		g.Expect(conn.WaitForStateChange(ctx, state)).To(gomega.BeTrue(), "not connected, %d connections opened", l.accepted.Load())
	}
	g.Expect(l.accepted.Load()).To(gomega.BeEquivalentTo(1))
}
