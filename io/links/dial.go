package links

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
	// DialTimeout bounds the time to open a connection.
	DialTimeout = time.Second
	// Idle connections that a device on the path has dropped end keepAliveCount probes,
	// keepAliveInterval apart, after they have been silent for keepAliveIdle.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxUnackedTime is how long sent bytes may remain unacknowledged by the target's
	// kernel; that of a slow target still acknowledges. It also decides when keep-alive
	// probes give up, whatever their count, so that it is the time that they take.
	maxUnackedTime = keepAliveIdle + keepAliveCount*keepAliveInterval
)

// dialFrom returns a function that opens a TCP connection within DialTimeout, from the
// address source or, if that is the zero value, from one that the system chooses.
func dialFrom(source netip.Addr) func(context.Context, netip.AddrPort) (net.Conn, error) {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	d := net.Dialer{KeepAliveConfig: keepAlive, Timeout: DialTimeout, Control: limitUnacked}
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address.String())
	}
}

// limitUnacked sets TCP_USER_TIMEOUT to maxUnackedTime.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	var optErr error
	set := func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnackedTime.Milliseconds()))
	}
	if err := c.Control(set); err != nil {
		return err
	}
	return optErr
}

// socketOf returns the socket of a TCP connection.
func socketOf(conn net.Conn) (syscall.RawConn, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("entry: connection of type %T has no socket", conn)
	}
	return c.SyscallConn()
}

// hasUnread reports whether a socket has unread bytes, has been closed by the other
// side or has failed. It also detects what a goroutine that waits to read from the
// socket has not been woken up for yet.
func hasUnread(raw syscall.RawConn) bool {
	waiting, _ := peek(raw)
	return waiting
}

// peek implements hasUnread and returns the error of the socket, if it has one, which is
// then gone from the socket.
func peek(raw syscall.RawConn) (bool, error) {
	var err error
	// Control, unlike Read, does not wait for a pending reader.
	if controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); controlErr != nil {
		return true, controlErr
	}
	return !errors.Is(err, unix.EAGAIN), err
}

// readNonBlocking reads from a non-blocking socket. It returns EAGAIN when there
// is nothing to read, and io.EOF when the other side has closed the connection.
func readNonBlocking(fd uintptr, p []byte) (int, error) {
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
