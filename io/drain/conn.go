package drain

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type (
	// conn is a connection that can be ended without losing a request of which bytes
	// have arrived.
	conn struct {
		net.Conn

		mu       sync.Mutex
		phase    phase
		since    time.Time // When phase began.
		deadline time.Time // The read deadline set by the server, zero for none.
		secured  bool      // Whether the first bytes are a TLS handshake.
		ending   bool      // No byte of another request is awaited.
		lastRead bool      // The read that finds bytes which have already arrived has begun.
	}

	// phase is the state of a connection between its requests.
	phase int
)

const (
	unused  phase = iota // No byte of a request has been read.
	idle                 // The last request has ended and no byte of the next has been read.
	started              // A byte of a request has been read, or its handler runs.
)

// lastReadTime is the time in which the last read of an ending connection returns the
// bytes that the kernel holds. Reads return those at once; the time only has to lie
// ahead when the read begins.
const lastReadTime = 5 * time.Millisecond

// expired is a read deadline that interrupts a pending read.
var expired = time.Unix(1, 0)

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Read reads from the connection. If the connection is ending and no bytes have
// arrived, Read returns io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.received()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if again, ended := c.interrupted(); ended {
			return 0, io.EOF
		} else if !again {
			return n, err
		}
	}
}

// interrupted is called after a read that ended at its deadline. It reports whether to
// read again, or whether the connection ends.
func (c *conn) interrupted() (again, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.ending:
		return false, false
	case c.lastRead:
		return false, true
	}
	c.lastRead = true
	return c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil, false
}

// received records that bytes were read.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.secured || c.phase != unused {
		c.goOn()
	}
}

// start records that the server has read the header of a request.
func (c *conn) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goOn()
}

// goOn records that a request has begun; a connection that was ending goes on. mu must
// be held.
func (c *conn) goOn() {
	c.phase = started
	if c.ending {
		c.ending, c.lastRead = false, false
		// Fails only on a closed connection, whose next read fails too.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// finish records that a request has ended.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = idle, time.Now()
}

// end makes the server close the connection, unless bytes of a request have arrived.
// Connections that have carried no request are ended once they were opened before
// cutoff.
func (c *conn) end(cutoff time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.phase == started || c.phase == unused && c.since.After(cutoff) {
		return
	}
	c.ending = true
	// Fails only on a connection that is closed already.
	_ = c.Conn.SetReadDeadline(expired)
}

// SetReadDeadline sets the deadline of reads. On a connection that is ending it takes
// effect if the connection goes on.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// begun reports whether a request has begun that is not answered.
func (c *conn) begun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == started
}
