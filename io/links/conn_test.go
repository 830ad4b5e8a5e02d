package links

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/io/telem"
)

const stray = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"

// TestBytesStayInSocketWhileConnIsLocked locks a new connection while a reader
// waits for bytes. Arriving bytes must stay in the socket until the reader holds
// the lock; otherwise a request that begins meanwhile would not detect them.
func TestBytesStayInSocketWhileConnIsLocked(t *testing.T) {
	g := gomega.NewWithT(t)
	targetSide := make(chan net.Conn, 1)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer target.Close()
	go func() {
		if c, err := target.Accept(); err == nil {
			targetSide <- c
		}
	}()
	p := newPool(netip.Addr{}, telem.NewRegistry())
	conn, err := p.dial(t.Context(), netip.MustParseAddrPort(target.Addr().String()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer p.Discard(conn)
	c := <-targetSide
	defer c.Close()
	reading := func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.awaitingBytes
	}
	g.Eventually(reading, time.Second).Should(gomega.BeTrue())
	time.Sleep(5 * time.Millisecond) // The reader reaches the system call.
	conn.mu.Lock()
	io.WriteString(c, stray)
	time.Sleep(20 * time.Millisecond) // The reader wakes up.
	inSocket := hasUnread(conn.raw)
	conn.mu.Unlock()
	g.Expect(inSocket).To(gomega.BeTrue())
	g.Expect(conn.beginRequest(time.Now())).To(gomega.BeFalse())
}

// TestUnreadBytesAreDetectedBeforeRequest has the other side send bytes, close or
// reset an idle connection, whose socket is not read.
func TestUnreadBytesAreDetectedBeforeRequest(t *testing.T) {
	for name, row := range map[string]struct {
		act  func(*net.TCPConn)
		want bool
	}{
		"nothing":     {func(*net.TCPConn) {}, false},
		"stray bytes": {func(c *net.TCPConn) { io.WriteString(c, stray) }, true},
		"end":         {func(c *net.TCPConn) { c.CloseWrite() }, true},
		"reset":       {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer l.Close()
			local, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer local.Close()
			remote, err := l.Accept()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer remote.Close()
			raw, err := socketOf(local)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			row.act(remote.(*net.TCPConn))
			g.Eventually(func() bool { return hasUnread(raw) }, time.Second).Should(gomega.Equal(row.want))
			g.Consistently(func() bool { return hasUnread(raw) }, 20*time.Millisecond).Should(gomega.Equal(row.want))
		})
	}
}
