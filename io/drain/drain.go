package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server whose Shutdown does not wait for unused
// connections. Use New.
type Server struct {
	*http.Server

	mu        sync.Mutex
	unused    map[net.Conn]time.Time // When each connection without a request was opened.
	listeners []net.Listener
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
// must not be set yet.
func New(s *http.Server) *Server {
	d := &Server{Server: s, unused: make(map[net.Conn]time.Time)}
	s.ConnState = d.track
	return d
}

// track is the ConnState hook: it adds a connection to unused when it is opened, and
// removes it when a request begins or the connection closes.
func (d *Server) track(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state == http.StateNew {
		d.unused[c] = time.Now()
		return
	}
	delete(d.unused, c)
}

// Serve accepts connections on l and serves them, as http.Server.Serve does. It always
// returns an error, http.ErrServerClosed once Shutdown was called.
func (d *Server) Serve(l net.Listener) error {
	return d.serve(l, func() error { return d.Server.Serve(l) })
}

// ServeTLS is like Serve, for TLS connections.
func (d *Server) ServeTLS(l net.Listener, certFile, keyFile string) error {
	return d.serve(l, func() error { return d.Server.ServeTLS(l, certFile, keyFile) })
}

// serve calls run, which serves l, and registers l for Shutdown.
func (d *Server) serve(l net.Listener, run func() error) error {
	d.mu.Lock()
	if d.stopping {
		d.mu.Unlock()
		return http.ErrServerClosed
	}
	d.listeners = append(d.listeners, l)
	d.mu.Unlock()
	err := run()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown stops accepting connections and returns when all requests have ended. A
// connection without a request may carry one until it is UnusedAge old, since
// http.Server answers no request that it reads after its own Shutdown. When ctx ends
// first, Shutdown returns the error of ctx; the open requests go on until they end or
// Close is called.
func (d *Server) Shutdown(ctx context.Context) error {
	d.closeListeners()
	d.awaitUnused(ctx)
	return d.Server.Shutdown(ctx)
}

// closeListeners ends Serve and ServeTLS.
func (d *Server) closeListeners() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	for _, l := range d.listeners {
		// A listener that has been closed before accepts nothing either.
		_ = l.Close()
	}
}

// awaitUnused closes connections without a request, once they are UnusedAge old, until
// there are none or ctx ends.
func (d *Server) awaitUnused(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for d.closeOlder(time.Now().Add(-UnusedAge)) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// closeOlder closes the connections without a request that were opened at cutoff or
// earlier, and returns the number of the others.
func (d *Server) closeOlder(cutoff time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, opened := range d.unused {
		if !opened.After(cutoff) {
			c.Close()
			delete(d.unused, c)
		}
	}
	return len(d.unused)
}
