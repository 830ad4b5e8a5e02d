package entry

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
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

// socketOf returns the socket of a TCP connection.
func socketOf(conn net.Conn) (syscall.RawConn, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("entry: connection of type %T has no socket", conn)
	}
	return c.SyscallConn()
}

// unread reports whether bytes, an end or a reset wait in the socket of a
// connection to a target. A reader that waits for them may not have run yet.
func unread(raw syscall.RawConn) bool {
	waiting := false
	look := func(fd uintptr) {
		var b [1]byte
		_, _, failed := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = !errors.Is(failed, unix.EAGAIN)
	}
	// Control, unlike Read, does not wait for the reader.
	if err := raw.Control(look); err != nil {
		return true
	}
	return waiting
}

// receive reads from a socket that does not block. It returns EAGAIN when
// nothing waits, and io.EOF at the end.
func receive(fd uintptr, p []byte) (int, error) {
	for {
		n, err := unix.Read(int(fd), p)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}
