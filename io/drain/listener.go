package drain

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

type (
	// listener makes a conn of each connection that it accepts.
	listener struct {
		net.Listener
		server  *Server
		secured bool         // Whether connections begin with a TLS handshake.
		last    atomic.Int64 // When accepting ends at the latest, in nanoseconds since 1970; 0 while it goes on.
	}

	// deadliner is a listener whose Accept can be bounded in time.
	deadliner interface {
		SetDeadline(t time.Time) error
	}
)

const (
	// acceptPause is the time without a new connection after which a listener that ends
	// is closed.
	acceptPause = 10 * time.Millisecond

	// acceptTime bounds the time for which a listener that ends goes on accepting the
	// connections that the kernel has established, while others are opened. Callers that
	// connect later are refused by the kernel.
	acceptTime = UnusedAge
)

// Accept returns the next connection as a conn, which the server tracks. Once the
// listener ends, Accept returns the connections that the kernel has established, and
// then net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		last := l.last.Load()
		switch {
		case err == nil:
			if last != 0 {
				l.extend(time.Unix(0, last))
			}
			c := &conn{Conn: inner, since: time.Now(), secured: l.secured}
			l.server.add(c)
			return c, nil
		case last == 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case time.Now().UnixNano() < last && l.pending():
			// The process got no processor time before the deadline.
			l.acceptUntil(time.Unix(0, last))
		default:
			// A listener that has been closed before accepts nothing either.
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
}

// pending reports whether a connection waits to be accepted. It returns false for a
// listener that does not tell.
func (l *listener) pending() bool {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false // The listener is closed.
	}
	n := 0
	controlErr := raw.Control(func(fd uintptr) {
		for {
			n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
			if !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return controlErr == nil && err == nil && n > 0
}

// end makes Accept return net.ErrClosed after the connections that wait to be accepted.
func (l *listener) end() {
	last := time.Now().Add(acceptTime)
	l.last.Store(last.UnixNano())
	l.extend(last)
}

// extend lets Accept wait for acceptPause, and not beyond last.
func (l *listener) extend(last time.Time) {
	next := time.Now().Add(acceptPause)
	if next.After(last) {
		next = last
	}
	l.acceptUntil(next)
}

// acceptUntil lets Accept wait until t. A listener that has no deadlines is closed.
func (l *listener) acceptUntil(t time.Time) {
	if d, ok := l.Listener.(deadliner); !ok || d.SetDeadline(t) != nil {
		// A listener that has been closed before accepts nothing either.
		_ = l.Close()
	}
}
