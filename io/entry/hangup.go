package entry

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hangUpInterval is the time between two looks whether callers have closed their
// connections. It is a fifth of the half second after which a call must reach no target any
// more.
const hangUpInterval = 100 * time.Millisecond

// hungUp reports whether the caller has closed its side of the connection, or the connection
// is reset, even while bytes of the caller wait to be read. net/http finds that out only once
// it has read the body of the request to its end, and not behind a pipelined request.
func (c *callerConn) hungUp() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	if err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, pollErr := unix.Poll(list, 0); pollErr != nil || n == 0 {
			return // Without an answer the caller counts as present.
		}
		closed = list[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}); err != nil {
		return true // This host has closed the connection.
	}
	return closed
}

// checkCaller reports whether the caller has closed the connection. If so, it ends the
// contexts of its requests.
func (c *callerConn) checkCaller() bool {
	if !c.left.Load() {
		if !c.hungUp() {
			return false
		}
		c.left.Store(true)
	}
	c.endRequests()
	return true
}

// checkCaller reports whether the caller has closed its connection; see callerConn.
func (c *call) checkCaller() bool {
	return c.callerConn != nil && c.callerConn.checkCaller()
}

// watchCallers ends the requests of callers that have closed their connections, until ctx
// ends.
func (h *Host) watchCallers(ctx context.Context) {
	ticker := time.NewTicker(hangUpInterval)
	defer ticker.Stop()
	var list []*callerConn
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		list = h.open.appendCallers(list[:0])
		for _, c := range list {
			c.checkCaller()
		}
		clear(list) // Keeps no closed connection in memory.
	}
}
