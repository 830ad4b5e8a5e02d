package drain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server whose Shutdown answers every request of which bytes have
// been read, and does not wait for connections without a request. Use New.
type Server struct {
	*http.Server

	mu        sync.Mutex
	conns     map[*conn]struct{} // Open connections, without those that speak HTTP/2.
	listeners []*listener
	accepting int  // Number of listeners that are served.
	stopping  bool // Shutdown was called.
}

const (
	// UnusedAge is the age, counted from its opening, at which Shutdown closes a
	// connection that has carried no request. A client that has just connected
	// can thus still send its request, and is answered although its bytes wait on
	// a full network link.
	UnusedAge = time.Second

	// sweepInterval is the time between two searches for connections to close.
	sweepInterval = 25 * time.Millisecond
)

// New wraps s, which must not have been started. It sets the ConnState hook of s, which
// must not be set yet, and wraps its handler.
func New(s *http.Server) *Server {
	d := &Server{Server: s, conns: make(map[*conn]struct{})}
	s.ConnState = d.track
	handler := s.Handler
	if handler == nil {
		handler = http.DefaultServeMux
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.ending() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return d
}

// add tracks a connection that was accepted.
func (d *Server) add(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
}

// track is the ConnState hook. It follows the requests of a connection.
func (d *Server) track(c net.Conn, state http.ConnState) {
	inner, http2 := unwrap(c)
	if inner == nil {
		return
	}
	switch {
	case http2 || state == http.StateClosed || state == http.StateHijacked:
		// http.Server.Shutdown tells the clients of HTTP/2 to send no further requests.
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.conns, inner)
	case state == http.StateActive:
		inner.start()
	case state == http.StateIdle:
		inner.finish()
	}
}

// unwrap returns the conn in c, and whether HTTP/2 is spoken on it.
func unwrap(c net.Conn) (inner *conn, http2 bool) {
	if t, ok := c.(*tls.Conn); ok {
		http2 = t.ConnectionState().NegotiatedProtocol == "h2"
		c = t.NetConn()
	}
	inner, _ = c.(*conn)
	return inner, http2
}

// Serve accepts connections on l and serves them, as http.Server.Serve does. It always
// returns an error, http.ErrServerClosed once Shutdown was called.
func (d *Server) Serve(l net.Listener) error {
	return d.serve(&listener{Listener: l, server: d}, d.Server.Serve)
}

// ServeTLS is like Serve, for TLS connections.
func (d *Server) ServeTLS(l net.Listener, certFile, keyFile string) error {
	return d.serve(&listener{Listener: l, server: d, secured: true}, func(l net.Listener) error {
		return d.Server.ServeTLS(l, certFile, keyFile)
	})
}

// serve calls run, which serves l, and registers l for Shutdown.
func (d *Server) serve(l *listener, run func(net.Listener) error) error {
	d.mu.Lock()
	if d.stopping {
		d.mu.Unlock()
		return http.ErrServerClosed
	}
	d.listeners = append(d.listeners, l)
	d.accepting++
	d.mu.Unlock()
	err := run(l)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepting--
	if d.stopping {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown stops accepting connections and returns when all requests have ended.
// Connections that the kernel has established are still accepted. A connection without
// a request may carry one until it is UnusedAge old; one whose last request has ended is
// closed unless bytes of another request have arrived. When ctx ends first, Shutdown
// returns the error of ctx; the open requests go on until they end or Close is called.
//
// http.Server.Shutdown alone closes connections on which the header of a request is
// still being read, and answers no request that it reads later.
func (d *Server) Shutdown(ctx context.Context) error {
	d.endListeners()
	d.awaitConns(ctx)
	return d.Server.Shutdown(ctx)
}

// ending reports whether Shutdown was called.
func (d *Server) ending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// endListeners ends Serve and ServeTLS.
func (d *Server) endListeners() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	for _, l := range d.listeners {
		l.end()
	}
}

// awaitConns ends the connections that carry no request, until there are none and all
// listeners have ended, or ctx ends.
func (d *Server) awaitConns(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for !d.endConns(time.Now().Add(-UnusedAge)) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// endConns ends the connections that carry no request, those without any before only if
// they were opened at cutoff or earlier. It reports whether nothing is open any more.
func (d *Server) endConns(cutoff time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.end(cutoff)
	}
	return len(d.conns) == 0 && d.accepting == 0
}

// Unanswered returns the number of connections on which a request has begun that was
// not answered. After Shutdown has returned an error, those are the requests that Close
// cuts off.
func (d *Server) Unanswered() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for c := range d.conns {
		if c.begun() {
			n++
		}
	}
	return n
}
