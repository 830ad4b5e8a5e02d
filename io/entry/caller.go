package entry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/io/telem"
)

type (
	// callerListener accepts up to limit concurrent connections from callers and
	// answers any further connection with rejectionResponse.
	callerListener struct {
		net.Listener
		limit int64
		// maxHeaderBytes returns the length up to which the header of a request is read.
		maxHeaderBytes func() int
		// refusesHeaders says that a longer header is refused here, as net/http allows more.
		refusesHeaders bool
		open           atomic.Int64
		// lingering counts the connections that lingerClose closes.
		lingering *atomic.Int64
		log       *slog.Logger
		metrics   *telem.Registry
	}

	// callerConn is one connection from a caller.
	callerConn struct {
		net.Conn
		listener       *callerListener // Counts the connection until Close.
		closeOnce      sync.Once
		reachedHandler atomic.Bool // The current request has reached the handler.
		requestStarted atomic.Bool // A byte of the current request has arrived.
		linger         atomic.Bool // The caller may still be sending when its response ends; see lingerClose.
		truncated      atomic.Bool // The response was cut short.
		left           atomic.Bool // The caller has closed its side; see checkCaller.
		// endRequests ends the contexts of the requests. It is set before the first one.
		endRequests context.CancelFunc

		mu          sync.Mutex
		headerBytes []byte // The header of the current request, without its end.
		headerWhole bool   // The end of the header has arrived.
	}

	// wrappingConn is a connection that wraps another, as with TLS.
	wrappingConn interface {
		NetConn() net.Conn
	}

	// callerKey is the context key of the callerConn of a request.
	callerKey struct{}
)

const (
	// maxKeptBytes is the size up to which the memory for the header is kept for the next
	// request of the connection.
	maxKeptBytes = 8 << 10
	// rejectionResponse is sent on a connection beyond the limit.
	rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nSpool-Outcome: not_run\r\nSpool-Reason: too_many_connections\r\n" +
		"Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// headerRejection is sent in answer to a header that is too long.
	headerRejection = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// rejectionTimeout bounds the time to send rejectionResponse or headerRejection.
	rejectionTimeout = time.Second
	// lingerTimeout and lingerBytes bound what is read and discarded from a caller
	// after its last response, before the connection is closed. Closing with
	// unread bytes would reset the connection and destroy the response.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 64 << 20
	// lingerCheckInterval is the time between two looks whether connections linger.
	lingerCheckInterval = 5 * time.Millisecond
)

// Accept returns the next connection within the limit. It has a connection beyond the
// limit answered with rejectionResponse and closed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &callerConn{Conn: conn, listener: l, endRequests: func() {}}, nil
		}
		l.open.Add(-1)
		l.metrics.Counter("callers_turned_away").Add(1)
		l.log.Warn("connection turned away", "remote", conn.RemoteAddr().String(), "limit", l.limit)
		l.lingering.Add(1)
		go func() {
			defer l.lingering.Add(-1)
			rejectConn(conn)
		}()
	}
}

// SetDeadline sets the time at which a pending Accept fails.
func (l *callerListener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.Errorf("listener of type %T has no deadlines", l.Listener)
	}
	return d.SetDeadline(t)
}

// SyscallConn returns the socket that listens.
func (l *callerListener) SyscallConn() (syscall.RawConn, error) {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("listener of type %T has no socket", l.Listener)
	}
	return s.SyscallConn()
}

// rejectConn sends rejectionResponse and closes the connection: with lingerClose, or
// at once if the response could not be sent.
func rejectConn(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(rejectionTimeout)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, rejectionResponse); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		lingerClose(tcp)
	}
}

// Read records the header of the current request, to check it for Content-Length fields and
// for lines continued with leading white space (obs-fold). If the header is too long, it
// refuses the request and returns io.EOF.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	tooLong := !c.record(p[:n])
	c.mu.Unlock()
	// The header of a pipelined request may have been read with the request before it.
	if !tooLong || !c.listener.refusesHeaders || c.reachedHandler.Load() {
		return n, err
	}
	c.linger.Store(true)
	if err = c.Conn.SetWriteDeadline(time.Now().Add(rejectionTimeout)); err == nil {
		_, err = io.WriteString(c.Conn, headerRejection)
	}
	if err != nil {
		return 0, err
	}
	return 0, io.EOF
}

// record records bytes of the current request up to the end of its header, and reports false
// if the header is too long. The caller holds mu.
func (c *callerConn) record(p []byte) bool {
	if c.headerWhole {
		return true
	}
	const longestEnd = len("\r\n\r\n")
	from := max(len(c.headerBytes)-longestEnd+1, 0)
	limit := c.listener.maxHeaderBytes()
	c.headerBytes = append(c.headerBytes, p[:min(len(p), max(limit-len(c.headerBytes), 0))]...)
	first := -1
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if i := bytes.Index(c.headerBytes[from:], []byte(end)); i >= 0 && (first < 0 || from+i < first) {
			first = from + i
		}
	}
	if first >= 0 {
		c.headerBytes, c.headerWhole = c.headerBytes[:first], true
	}
	return c.headerWhole || len(c.headerBytes) < limit
}

// Close closes the connection and lets the listener accept another. It lingers, as
// lingerClose does, if the caller may still be sending and the response is whole.
func (c *callerConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.listener.open.Add(-1)
		c.endRequests()
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Load() && !c.truncated.Load() {
			c.listener.lingering.Add(1)
			go func() {
				defer c.listener.lingering.Add(-1)
				lingerClose(tcp)
			}()
			return
		}
		err = c.Conn.Close()
	})
	return err
}

// lingerClose closes the sending side, discards what the caller still sends up
// to lingerTimeout and lingerBytes, and closes the connection.
func lingerClose(conn *net.TCPConn) {
	defer conn.Close()
	if conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil || conn.CloseWrite() != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, conn, lingerBytes); err != nil {
		return // The caller has closed the connection, or lingerTimeout has passed.
	}
}

// resetRequest forgets the current request, before the next one arrives.
func (c *callerConn) resetRequest() {
	c.reachedHandler.Store(false)
	c.requestStarted.Store(false)
	c.mu.Lock()
	if c.headerWhole = false; cap(c.headerBytes) > maxKeptBytes {
		c.headerBytes = nil
	}
	c.headerBytes = c.headerBytes[:0]
	c.mu.Unlock()
}

// mayHaveContentLength reports whether the current request has a Content-Length
// field, or its header was not recorded whole.
func (c *callerConn) mayHaveContentLength() bool {
	header, whole := c.header()
	return !whole || bytes.Contains(bytes.ToLower(header), []byte("\ncontent-length"))
}

// hasFoldedLine reports whether a line of the current header begins with a space
// or tab.
func (c *callerConn) hasFoldedLine() bool {
	header, _ := c.header()
	return bytes.Contains(header, []byte("\n ")) || bytes.Contains(header, []byte("\n\t"))
}

// header returns the recorded header of the current request and whether it is
// complete. The bytes are valid until the next request.
func (c *callerConn) header() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headerBytes, c.headerWhole
}

// forceReset makes Close send a TCP reset, so that a caller does not accept a
// response delimited by the end of the connection as complete.
func (c *callerConn) forceReset() {
	c.truncated.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return // The connection is already closed.
		}
	}
}

// callerOf returns the connection of a request from its context, or nil.
func callerOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerKey{}).(*callerConn)
	return c
}

// withCaller is the ConnContext hook. It adds the callerConn of conn to ctx, which the
// callerConn can end.
func withCaller(ctx context.Context, conn net.Conn) context.Context {
	c := unwrapCaller(conn)
	if c == nil {
		return ctx
	}
	ctx, c.endRequests = context.WithCancel(ctx)
	return context.WithValue(ctx, callerKey{}, c)
}

// unwrapCaller returns the callerConn that conn is or wraps; nil if there is none.
func unwrapCaller(conn net.Conn) *callerConn {
	for {
		switch c := conn.(type) {
		case *callerConn:
			return c
		case wrappingConn:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// recordedConn returns the connection that recorded the header of r, or nil with
// TLS, where only encrypted bytes are recorded.
func recordedConn(r *http.Request) *callerConn {
	if r.TLS != nil {
		return nil
	}
	return callerOf(r.Context())
}

// trackState is the ConnState hook. It follows the requests of a connection, and
// counts and logs those that net/http refused without calling the handler.
func (l *callerListener) trackState(conn net.Conn, state http.ConnState) {
	c := unwrapCaller(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.requestStarted.Store(true)
	case http.StateIdle:
		c.resetRequest()
	case http.StateClosed:
		if c.requestStarted.Load() && !c.reachedHandler.Load() {
			l.metrics.Counter("requests_not_readable").Add(1)
			l.log.Warn("request refused", "remote", conn.RemoteAddr().String(), "reason", "not_readable")
		}
	}
}
