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
	unused map[net.Conn]time.Time
}

const (
	// UnusedAge is the age at which Shutdown closes a connection without a
	// request; a client that has just connected can still send its request.
	UnusedAge = 250 * time.Millisecond

	sweepInterval = 25 * time.Millisecond
)

// New wraps s, which must not have been started and must have no ConnState
// hook.
func New(s *http.Server) *Server {
	d := &Server{Server: s, unused: make(map[net.Conn]time.Time)}
	s.ConnState = d.track
	return d
}

// track is the ConnState hook: it records when unused connections were opened.
func (d *Server) track(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state == http.StateNew {
		d.unused[c] = time.Now()
		return
	}
	delete(d.unused, c)
}

// Shutdown stops accepting connections, closes those that are older than
// UnusedAge and have carried no request, and returns when all requests have
// ended. When ctx ends first it returns the error of ctx and leaves the open
// requests to Close.
func (d *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.closeUnused(ctx)
	return d.Server.Shutdown(ctx)
}

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

func (d *Server) closeOlder(cutoff time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, since := range d.unused {
		if !since.After(cutoff) {
			c.Close()
			delete(d.unused, c)
		}
	}
}
