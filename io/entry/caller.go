package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cardamomspool/io/telem"
)

type (
	// callerListener accepts the connections of callers, up to a limit.
	callerListener struct {
		net.Listener
		limit   int64
		open    atomic.Int64
		log     *slog.Logger
		metrics *telem.Set
	}

	// callerConn is one connection of a caller.
	callerConn struct {
		net.Conn
		listener *callerListener
		closing  sync.Once
		routed   atomic.Bool // The present request has reached the handler.
		began    atomic.Bool // A byte of the present request has arrived.
		linger   atomic.Bool // The caller may still be sending when it is answered.
		cut      atomic.Bool // The answer broke off.

		mu   sync.Mutex
		head []byte // The first bytes of the present request.
	}

	callerKey struct{}
)

const (
	// maxRecorded bounds the part of a request that is kept to check its
	// length fields.
	maxRecorded = 8 << 10
	turnAway    = "HTTP/1.1 503 Service Unavailable\r\nSpool-Outcome: not_run\r\nSpool-Reason: too_many_connections\r\n" +
		"Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	turnAwayTimeout = time.Second
	// lingerTimeout and lingerBytes bound what is read from a caller after its
	// last answer, so that the close does not destroy the answer.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 64 << 20
)

// Accept returns the next connection. One beyond the limit is told that
// nothing was run, and closed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &callerConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.metrics.Count("callers_turned_away").Add(1)
		l.log.Warn("connection turned away", "remote", conn.RemoteAddr().String(), "limit", l.limit)
		go turnAwayConn(conn)
	}
}

func turnAwayConn(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(turnAwayTimeout)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, turnAway); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		lingerOn(tcp)
	}
}

// Read records the head of the present request.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if room := maxRecorded - len(c.head); room > 0 {
		c.head = append(c.head, p[:min(n, room)]...)
	}
	c.mu.Unlock()
	return n, err
}

// Close closes the connection and makes room for another.
func (c *callerConn) Close() error {
	var err error
	c.closing.Do(func() {
		c.listener.open.Add(-1)
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Load() && !c.cut.Load() {
			go lingerOn(tcp)
			return
		}
		err = c.Conn.Close()
	})
	return err
}

// lingerOn ends the sending side, reads on for a while, and closes.
func lingerOn(conn *net.TCPConn) {
	defer conn.Close()
	if conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil || conn.CloseWrite() != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, conn, lingerBytes); err != nil {
		return // The caller has ended, or its time is up.
	}
}

// next prepares for the next request on the connection.
func (c *callerConn) next() {
	c.routed.Store(false)
	c.began.Store(false)
	c.mu.Lock()
	c.head = c.head[:0]
	c.mu.Unlock()
}

// lengthsClash reports whether the present request has a Content-Length, or
// whether its header was too long to tell.
func (c *callerConn) lengthsClash() bool {
	header, whole := c.header()
	return !whole || bytes.Contains(bytes.ToLower(header), []byte("\ncontent-length"))
}

// folded reports whether a line of the present header begins with a blank.
func (c *callerConn) folded() bool {
	header, _ := c.header()
	return bytes.Contains(header, []byte("\n ")) || bytes.Contains(header, []byte("\n\t"))
}

// header returns the recorded header of the present request and whether it was
// recorded whole. It stays valid until the next request.
func (c *callerConn) header() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if header, _, found := bytes.Cut(c.head, []byte(end)); found {
			return header, true
		}
	}
	return c.head, false
}

// reset makes the close of the connection visible as a reset, so that an
// answer that ends with the connection is not taken for whole.
func (c *callerConn) reset() {
	c.cut.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return // The connection has gone.
		}
	}
}

// callerOf returns the connection that a request came on, or nil.
func callerOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerKey{}).(*callerConn)
	return c
}

func withCaller(ctx context.Context, conn net.Conn) context.Context {
	if c := unwrapCaller(conn); c != nil {
		return context.WithValue(ctx, callerKey{}, c)
	}
	return ctx
}

func unwrapCaller(conn net.Conn) *callerConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*callerConn)
	return c
}

// recorded returns the connection whose recorded header can be looked into, or
// nil. What callers with TLS send is not recorded in the clear.
func recorded(r *http.Request) *callerConn {
	if r.TLS != nil {
		return nil
	}
	return callerOf(r.Context())
}

// noteState logs requests that the HTTP library refused by itself.
func (l *callerListener) noteState(conn net.Conn, state http.ConnState) {
	c := unwrapCaller(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.began.Store(true)
	case http.StateIdle:
		c.next()
	case http.StateClosed:
		if c.began.Load() && !c.routed.Load() {
			l.metrics.Count("requests_not_readable").Add(1)
			l.log.Warn("request refused", "remote", conn.RemoteAddr().String(), "reason", "not_readable")
		}
	}
}
