package entry

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

type (
	// link is one connection to a target. It stands between the HTTP library
	// and the socket, counts what was sent of the present request, and lets
	// no byte through that can not belong to the present answer.
	link struct {
		net.Conn
		raw     syscall.RawConn // Of the same socket.
		client  *http.ClientConn
		address netip.AddrPort
		opened  time.Time
		fresh   bool // No request was sent before the present one.
		onClean func(*link)
		onStray func(*link)
		onClose func(*link)
		onLost  func() // Called when the link closes during a request.
		closing sync.Once

		writing sync.Mutex // Held during a write to the socket.

		mu       sync.Mutex
		busy     bool // A request is under way.
		started  bool // A byte of the request may have left.
		ended    bool // The answer is whole and the link is not yet clean.
		reading  bool // The library waits for bytes with an empty buffer.
		sealed   bool
		accepted int64 // Bytes of the request that the kernel took.
		begun    time.Time
		heard    time.Time
		wrote    time.Time
	}
)

var (
	_ net.Conn = (*link)(nil)

	errSealed = errors.New("entry: connection to the target is given up")
	errStray  = errors.New("entry: the target sent bytes that belong to no request")
)

// begin starts a request. It reports false when the link can not be used, or
// when bytes wait in the socket that belong to no request.
func (l *link) begin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sealed || unread(l.raw) {
		return false
	}
	l.busy, l.started, l.ended = true, false, false
	l.accepted, l.begun = 0, now
	return true
}

// end reports that the answer was whole. The link is clean, and onClean is
// called, as soon as the library waits for bytes with an empty buffer, which
// shows that nothing came after the answer.
func (l *link) end() {
	l.mu.Lock()
	l.busy, l.fresh, l.onLost = false, false, nil
	l.ended = !l.sealed
	clean := l.takeClean()
	l.mu.Unlock()
	if clean {
		l.onClean(l)
	}
}

func (l *link) takeClean() bool {
	if !l.ended || !l.reading || l.sealed {
		return false
	}
	l.ended = false
	return true
}

// seal closes the link and reports whether a byte of the present request can
// have reached the target. No byte leaves afterwards.
func (l *link) seal() bool {
	l.mu.Lock()
	l.sealed, l.ended = true, false
	l.mu.Unlock()
	l.Close()
	l.writing.Lock() // A write that was under way has returned.
	defer l.writing.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted > 0
}

// Write sends bytes of the present request.
func (l *link) Write(p []byte) (int, error) {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.mu.Lock()
	if l.sealed {
		l.mu.Unlock()
		return 0, errSealed
	}
	l.started = true
	l.mu.Unlock()
	n, err := l.Conn.Write(p)
	l.mu.Lock()
	l.accepted += int64(n)
	l.wrote = time.Now()
	l.mu.Unlock()
	return n, err
}

// Read hands on bytes of the present answer. Bytes that arrive before a
// request has begun to leave belong to none: the link is closed.
func (l *link) Read(p []byte) (int, error) {
	l.mu.Lock()
	l.reading = true
	clean := l.takeClean()
	l.mu.Unlock()
	if clean {
		l.onClean(l)
	}
	var (
		n     int
		stray bool
		err   error
	)
	if failed := l.raw.Read(func(fd uintptr) bool {
		// Bytes leave the socket under the lock: a request that begins finds
		// them in the socket, or the link sealed.
		l.mu.Lock()
		defer l.mu.Unlock()
		if n, err = receive(fd, p); errors.Is(err, unix.EAGAIN) {
			return false
		}
		stray = l.received(n, err)
		return true
	}); failed != nil {
		l.mu.Lock()
		l.received(0, failed)
		l.mu.Unlock()
		return 0, failed
	}
	if !stray {
		return n, err
	}
	l.Close()
	l.onStray(l)
	return 0, errStray
}

// received notes the result of a read and reports whether its bytes belong to
// no request. The caller holds l.mu.
func (l *link) received(n int, err error) bool {
	l.reading = false
	stray := n > 0 && (!l.busy || !l.started) && !l.sealed
	if n > 0 {
		l.heard = time.Now()
	}
	if err != nil || stray {
		l.sealed = true
	}
	return stray
}

// carry sets what is called when the link closes before the present request
// has ended.
func (l *link) carry(onLost func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onLost = onLost
}

// Close closes the socket.
func (l *link) Close() error {
	l.mu.Lock()
	l.sealed = true
	onLost := l.onLost
	l.onLost = nil
	l.mu.Unlock()
	if onLost != nil {
		onLost()
	}
	l.closing.Do(func() { l.onClose(l) })
	return l.Conn.Close()
}

// silentSince returns the last time that the present request went forward,
// and false when the target has answered with at least one byte.
func (l *link) silentSince() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.busy || l.heard.After(l.begun) {
		return time.Time{}, false
	}
	if l.wrote.After(l.begun) {
		return l.wrote, true
	}
	return l.begun, true
}

// heardBefore reports whether the last byte from the target is older than t.
func (l *link) heardBefore(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard.Before(t)
}
