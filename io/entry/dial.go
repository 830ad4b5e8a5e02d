package entry

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

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
