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

	mu     sync.Mutex
	unused map[net.Conn]time.Time // When each connection without a request was opened.
}

const (
	// UnusedAge is the age, counted from its opening, at which Shutdown closes a
	// connection that has carried no request. A client that has just connected
	// can thus still send its request.
	UnusedAge = 250 * time.Millisecond

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

// Shutdown stops accepting connections, closes each connection that has carried no
// request once it is UnusedAge old, and returns when all requests have ended. When
// ctx ends first it returns the error of ctx; the open requests go on until they
// end or Close is called.
func (d *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.closeUnused(ctx)
	return d.Server.Shutdown(ctx)
}

// closeUnused closes connections without a request, once they are UnusedAge old,
// until ctx ends.
func (d *Server) closeUnused(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		d.closeOlder(time.Now().Add(-UnusedAge))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// closeOlder closes the connections without a request that were opened at cutoff or
// earlier.
func (d *Server) closeOlder(cutoff time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, opened := range d.unused {
		if !opened.After(cutoff) {
			c.Close()
			delete(d.unused, c)
		}
	}
}
