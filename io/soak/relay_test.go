package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cardamomspool/io/relay"
)

// echo starts a server that echoes all bytes.
func echo(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// relayedEcho returns a relay to an echo server and a connection through it.
func relayedEcho(t *testing.T, g *gomega.WithT) (*disturbedRelay, net.Conn) {
	t.Helper()
	forwarding, err := relay.New(echo(t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r := &disturbedRelay{Relay: forwarding, name: "a>b"}
	go r.Run(t.Context())
	conn, err := net.Dial("tcp", r.Address().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	g.Expect(roundTrip(conn, time.Second)).To(gomega.Succeed())
	return r, conn
}

// roundTrip sends a byte and waits until it is echoed.
func roundTrip(conn net.Conn, limit time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestRelayResetsConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	r, conn := relayedEcho(t, g)
	r.inject(t.Context(), Reset{})
	g.Eventually(func() error { return roundTrip(conn, time.Second) }).Should(gomega.HaveOccurred())
	next, err := net.Dial("tcp", r.Address().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer next.Close()
	g.Expect(roundTrip(next, time.Second)).To(gomega.Succeed())
}

func TestRelayDelaysBothDirections(t *testing.T) {
	g := gomega.NewWithT(t)
	r, conn := relayedEcho(t, g)
	go r.inject(t.Context(), Delay{Latency: 50 * time.Millisecond, For: 10 * time.Second})
	g.Eventually(func() time.Duration {
		begin := time.Now()
		g.Expect(roundTrip(conn, time.Second)).To(gomega.Succeed())
		return time.Since(begin)
	}).Should(gomega.BeNumerically(">=", 100*time.Millisecond))
}

// TestRelayBlocks checks that blocked data is delivered when the block ends, and that a
// block which ends with a reset ends the connection.
func TestRelayBlocks(t *testing.T) {
	for name, row := range map[string]struct {
		fault Block
		want  error
	}{
		"forth":        {Block{Forward: true}, nil},
		"back":         {Block{Backward: true}, nil},
		"then a reset": {Block{Forward: true, Backward: true, Reset: true}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, conn := relayedEcho(t, g)
			row.fault.For = 100 * time.Millisecond
			release := r.Disturb(0, [2]bool{relay.Forward: row.fault.Forward, relay.Backward: row.fault.Backward})
			err := roundTrip(conn, 50*time.Millisecond)
			var timeout net.Error
			g.Expect(err).To(gomega.BeAssignableToTypeOf(&net.OpError{}))
			g.Expect(err).To(gomega.Satisfy(func(err error) bool { timeout, _ = err.(net.Error); return timeout.Timeout() }))
			release()
			if row.want != nil {
				r.inject(t.Context(), row.fault)
			}
			g.Expect(conn.SetDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
			_, err = io.ReadFull(conn, make([]byte, 1))
			if row.want == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				_, err = io.ReadFull(conn, make([]byte, 1))
				g.Expect(err).To(gomega.HaveOccurred())
				// A connection that stays open would end the read by its deadline.
				g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeFalse(), "%v", err)
			}
		})
	}
}

func TestRelayRecordsDisturbances(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := relayedEcho(t, g)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	r.inject(ctx, Delay{For: time.Hour})
	g.Expect(r.disturbances).To(gomega.HaveLen(1))
	g.Expect(overlaps(r.disturbances, begin.Add(-time.Minute), begin.Add(-time.Second))).To(gomega.BeFalse())
	g.Expect(overlaps(r.disturbances, begin.Add(-time.Minute), time.Now())).To(gomega.BeTrue())
	g.Expect(overlaps(r.disturbances, time.Now().Add(2*recoveryTime), time.Now().Add(3*recoveryTime))).To(gomega.BeFalse())
}
