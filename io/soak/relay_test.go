package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// echo answers each byte with itself.
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

// relayed returns a relay to an echo and a connection through it.
func relayed(t *testing.T, g *gomega.WithT) (*relay, net.Conn) {
	t.Helper()
	r, err := newRelay("a>b", echo(t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go r.run(t.Context())
	conn, err := net.Dial("tcp", r.address().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	g.Expect(ask(conn, time.Second)).To(gomega.Succeed())
	return r, conn
}

// ask sends a byte and waits for it to come back.
func ask(conn net.Conn, limit time.Duration) error {
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
	r, conn := relayed(t, g)
	r.suffer(t.Context(), Reset{})
	g.Eventually(func() error { return ask(conn, time.Second) }).Should(gomega.HaveOccurred())
	next, err := net.Dial("tcp", r.address().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer next.Close()
	g.Expect(ask(next, time.Second)).To(gomega.Succeed())
}

func TestRelayDelaysBothDirections(t *testing.T) {
	g := gomega.NewWithT(t)
	r, conn := relayed(t, g)
	go r.suffer(t.Context(), Delay{By: 50 * time.Millisecond, For: 10 * time.Second})
	g.Eventually(func() time.Duration {
		begin := time.Now()
		g.Expect(ask(conn, time.Second)).To(gomega.Succeed())
		return time.Since(begin)
	}).Should(gomega.BeNumerically(">=", 100*time.Millisecond))
}

// What is blocked arrives when the block ends, or is lost with a reset.
func TestRelayBlocks(t *testing.T) {
	for name, row := range map[string]struct {
		fault Block
		want  error
	}{
		"forth":        {Block{Forth: true}, nil},
		"back":         {Block{Back: true}, nil},
		"then a reset": {Block{Forth: true, Back: true, Reset: true}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, conn := relayed(t, g)
			row.fault.For = 100 * time.Millisecond
			release := r.disturb(0, [2]bool{forth: row.fault.Forth, back: row.fault.Back})
			err := ask(conn, 50*time.Millisecond)
			var timeout net.Error
			g.Expect(err).To(gomega.BeAssignableToTypeOf(&net.OpError{}))
			g.Expect(err).To(gomega.Satisfy(func(err error) bool { timeout, _ = err.(net.Error); return timeout.Timeout() }))
			release()
			if row.want != nil {
				r.suffer(t.Context(), row.fault)
			}
			g.Expect(conn.SetDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
			_, err = io.ReadFull(conn, make([]byte, 1))
			if row.want == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				_, err = io.ReadFull(conn, make([]byte, 1))
				g.Expect(err).To(gomega.HaveOccurred())
			}
		})
	}
}

func TestRelayRemembersWhenItWasDisturbed(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := relayed(t, g)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	r.suffer(ctx, Delay{For: time.Hour})
	g.Expect(r.hurt).To(gomega.HaveLen(1))
	g.Expect(covers(r.hurt, begin.Add(-time.Minute), begin.Add(-time.Second))).To(gomega.BeFalse())
	g.Expect(covers(r.hurt, begin.Add(-time.Minute), time.Now())).To(gomega.BeTrue())
	g.Expect(covers(r.hurt, time.Now().Add(2*aftermath), time.Now().Add(3*aftermath))).To(gomega.BeFalse())
}
