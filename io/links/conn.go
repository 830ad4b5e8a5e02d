package links

import (
	"io"
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
	// Conn is one connection to a target. Links opens it. It wraps the socket for
	// net/http, counts the bytes sent of the current request, and passes on no
	// byte that cannot belong to the current response.
	Conn struct {
		net.Conn
		raw       syscall.RawConn // The socket of Conn.
		client    *http.ClientConn
		address   netip.AddrPort
		opened    time.Time
		fresh     bool        // No request was sent before the current one.
		onClean   func(*Conn) // Called when the connection is clean after a response.
		onStray   func(*Conn) // Called after unsolicited bytes have closed the connection.
		onClose   func(*Conn) // Called once, when the connection closes.
		onLost    func()      // Called when the connection closes during a request.
		closeOnce sync.Once

		writeMu sync.Mutex // Held while writing to the socket.

		mu               sync.Mutex
		inRequest        bool  // A request is in progress.
		requestStarted   bool  // A byte of the request may have been sent.
		responseComplete bool  // The response is complete and the connection not yet clean.
		awaitingBytes    bool  // net/http has consumed all bytes and waits for more.
		sealed           bool  // No more requests: closed, or about to be.
		closedByTarget   bool  // The target's side has closed or reset the connection.
		resetByTarget    bool  // The target's side has reset the connection.
		refused          bool  // The target has refused a request.
		sentBytes        int64 // Bytes of the request that the kernel accepted.
		requestStart     time.Time
		lastRead         time.Time
		lastWrite        time.Time
	}
)

var (
	_ net.Conn = (*Conn)(nil)

	errSealed = errors.New("entry: connection to the target is closed")
	errStray  = errors.New("entry: the target sent unsolicited bytes")
)

// Address returns the address of the target, or of the carrier that the connection leads to.
func (c *Conn) Address() netip.AddrPort {
	return c.address
}

// Fresh reports whether no request was sent before the current one.
func (c *Conn) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh
}

// RoundTrip sends the current request and returns the header of its response.
func (c *Conn) RoundTrip(r *http.Request) (*http.Response, error) {
	return c.client.RoundTrip(r)
}

// beginRequest marks the connection as carrying a request that begins at now. It
// does not, and returns false, if the connection is sealed or its socket has unread
// bytes, has been closed by the target or has failed.
func (c *Conn) beginRequest(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	if unread, err := peek(c.raw); unread {
		c.recordClose(err)
		return false
	}
	c.inRequest, c.requestStarted, c.responseComplete = true, false, false
	c.sentBytes, c.requestStart = 0, now
	return true
}

// EndResponse ends the request after a complete response. If net/http already waits
// for bytes with an empty buffer, nothing followed the response: the connection is
// clean and EndResponse calls onClean. Otherwise the next Read, which net/http calls
// when its buffer is empty, does.
func (c *Conn) EndResponse() {
	c.mu.Lock()
	c.inRequest, c.fresh, c.onLost = false, false, nil
	c.responseComplete = !c.sealed
	clean := c.claimClean()
	c.mu.Unlock()
	if clean {
		c.onClean(c)
	}
}

// unused reports whether a connection on which no request was sent is still open, and
// its target has sent nothing.
func (c *Conn) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.sealed && !hasUnread(c.raw)
}

// endUnused ends the request of a connection on which none was sent, so that it can be
// used. Its target was heard at now.
func (c *Conn) endUnused(now time.Time) {
	c.mu.Lock()
	c.lastRead = now
	c.mu.Unlock()
	c.EndResponse()
}

// claimClean reports whether the connection has become clean. It returns true at most
// once for each response, so that onClean is called once. The caller holds c.mu.
func (c *Conn) claimClean() bool {
	if !c.responseComplete || !c.awaitingBytes || c.sealed {
		return false
	}
	c.responseComplete = false
	return true
}

// seal closes the connection and reports whether a byte of the current request
// may have reached the target. No byte is sent afterwards.
func (c *Conn) seal() bool {
	c.mu.Lock()
	c.sealed, c.responseComplete = true, false
	c.mu.Unlock()
	c.Close()
	c.writeMu.Lock() // Waits for a write in progress.
	defer c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentBytes > 0
}

// Write sends bytes of the current request. It returns errSealed on a sealed
// connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.requestStarted = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.sentBytes += int64(n)
	c.lastWrite = time.Now()
	c.recordClose(err)
	c.mu.Unlock()
	return n, err
}

// Read returns bytes of the current response. Bytes that arrive without a request
// in progress, or before its first byte was sent, are unsolicited: Read then closes
// the connection and returns errStray.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.awaitingBytes = true
	clean := c.claimClean()
	c.mu.Unlock()
	if clean {
		c.onClean(c)
	}
	var (
		n     int
		stray bool
		err   error
	)
	if readErr := c.raw.Read(func(fd uintptr) bool {
		// Bytes are taken from the socket under the lock, so that beginRequest
		// sees either the bytes in the socket or a sealed connection.
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.sealed {
			err = errSealed
			return true
		}
		if n, err = readNonBlocking(fd, p); errors.Is(err, unix.EAGAIN) {
			return false
		}
		stray = c.recordRead(n, err)
		return true
	}); readErr != nil {
		c.mu.Lock()
		c.recordRead(0, readErr)
		c.mu.Unlock()
		return 0, readErr
	}
	if !stray {
		return n, err
	}
	c.Close()
	c.onStray(c)
	return 0, errStray
}

// recordRead records the result of a read and reports whether its bytes are
// unsolicited. It seals the connection after unsolicited bytes or an error. The
// caller holds c.mu.
func (c *Conn) recordRead(n int, err error) bool {
	c.awaitingBytes = false
	stray := n > 0 && (!c.inRequest || !c.requestStarted) && !c.sealed
	if n > 0 {
		c.lastRead = time.Now()
	}
	c.recordClose(err)
	if err != nil || stray {
		c.sealed = true
	}
	return stray
}

// recordClose records that the target's side has closed the connection if err, from the
// socket, says so. The caller holds c.mu.
func (c *Conn) recordClose(err error) {
	closed := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	c.closedByTarget = c.closedByTarget || closed && !c.sealed
	c.resetByTarget = c.resetByTarget || errors.Is(err, syscall.ECONNRESET) && !c.sealed
}

// WasClosedByTarget reports whether the target's side closed the connection before this
// host did.
func (c *Conn) WasClosedByTarget() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedByTarget
}

// WasReset reports whether the target's side reset the connection, before this host closed it
// and before a byte of the response to the current request.
func (c *Conn) WasReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resetByTarget && !c.lastRead.After(c.requestStart)
}

// SetOnLost sets the function that is called when the connection closes before
// the current request has ended.
func (c *Conn) SetOnLost(onLost func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onLost = onLost
}

// Close closes the socket. It calls onLost if a request is in progress, and onClose
// the first time.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.sealed = true
	onLost := c.onLost
	c.onLost = nil
	c.mu.Unlock()
	if onLost != nil {
		onLost()
	}
	c.closeOnce.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

// LastProgress returns when a byte of the current request was last written, or
// when the request began if none was. It reports false when no request is in
// progress or the target has sent at least one byte of its response.
func (c *Conn) LastProgress() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inRequest || c.lastRead.After(c.requestStart) {
		return time.Time{}, false
	}
	if c.lastWrite.After(c.requestStart) {
		return c.lastWrite, true
	}
	return c.requestStart, true
}

// Began returns when the current request, or the last one, began.
func (c *Conn) Began() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestStart
}

// WrittenAt returns when a byte of the current request was last written; zero for not yet.
func (c *Conn) WrittenAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastWrite.Before(c.requestStart) {
		return time.Time{}
	}
	return c.lastWrite
}

// LastReadBefore reports whether no byte was received at or after t.
func (c *Conn) LastReadBefore(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead.Before(t)
}
