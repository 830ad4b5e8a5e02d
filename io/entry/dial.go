package entry

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// unackedLimit is how long sent bytes may stay without the receiving
	// kernel's acknowledgement. A slow target's kernel still acknowledges.
	unackedLimit = 10 * time.Second
)

// keepAlive finds idle connections that the path has lost track of.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// dialTarget opens a TCP connection to a target within dialTimeout.
func dialTarget(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacked}
	return d.DialContext(ctx, "tcp", address.String())
}

func limitUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	set := func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	}
	if err := c.Control(set); err != nil {
		return err
	}
	return failed
}

// unread reports whether bytes, an end or a reset wait in the socket of a
// connection to a target. A reader that waits for them may not have run yet.
func unread(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	var (
		raw syscall.RawConn
		err error
	)
	if raw, err = tcp.SyscallConn(); err != nil {
		return true
	}
	waiting := false
	look := func(fd uintptr) {
		var b [1]byte
		_, _, failed := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = !errors.Is(failed, unix.EAGAIN)
	}
	// Control, unlike Read, does not wait for the reader.
	if err = raw.Control(look); err != nil {
		return true
	}
	return waiting
}
