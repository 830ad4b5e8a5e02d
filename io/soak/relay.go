package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type (
	// relay carries the connections from one party to another and disturbs
	// them on demand.
	relay struct {
		name     string
		to       netip.AddrPort
		listener net.Listener

		mu       sync.Mutex
		pairs    map[*relayPair]bool
		delay    time.Duration // Added to each piece that passes.
		blocked  [2]bool       // By direction: nothing passes.
		released chan struct{} // Closed when blocked or pairs change.
		hurt     []span
	}

	// relayPair is one connection through a relay: the side that dialled the
	// relay, and the relay's own connection.
	relayPair struct {
		sides [2]*net.TCPConn
		once  sync.Once
		ended chan struct{}
	}
)

// The directions of a relay.
const (
	forth = 0
	back  = 1
)

const (
	relayDialTimeout = time.Second
	relayPiece       = 16 << 10
)

// newRelay listens on an address of its own and carries what comes to to.
func newRelay(name string, to netip.AddrPort) (*relay, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	r := &relay{name: name, to: to, pairs: make(map[*relayPair]bool), released: make(chan struct{})}
	if r.listener, err = net.Listen("tcp", address.String()); err != nil {
		return nil, errors.Wrap(err, "soak: relay")
	}
	return r, nil
}

func (r *relay) address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// run carries connections until ctx ends.
func (r *relay) run(ctx context.Context) {
	defer r.reset()
	stop := context.AfterFunc(ctx, func() { r.listener.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			r.reset()
			return // The listener is closed with ctx.
		}
		group.Go(func() { r.carry(conn.(*net.TCPConn)) })
	}
}

// carry connects to the other party. A connection that can not be made is
// reset, as by a host that has just lost its process.
func (r *relay) carry(conn *net.TCPConn) {
	p := &relayPair{ended: make(chan struct{})}
	p.sides[forth] = conn
	defer p.reset()
	other, err := net.DialTimeout("tcp", r.to.String(), relayDialTimeout)
	if err != nil {
		return
	}
	p.sides[back] = other.(*net.TCPConn)
	r.mu.Lock()
	r.pairs[p] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pairs, p)
	}()
	var group sync.WaitGroup
	for direction := range p.sides {
		group.Go(func() { r.pump(p, direction) })
	}
	group.Wait()
}

// pump copies one direction until its end, which it hands on.
func (r *relay) pump(p *relayPair, direction int) {
	from, to := p.sides[direction], p.sides[1-direction]
	buffer := make([]byte, relayPiece)
	for {
		n, err := from.Read(buffer)
		if !r.pass(p, direction) {
			p.reset()
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				p.reset()
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, net.ErrClosed) || to.CloseWrite() != nil {
			p.reset()
		}
		return
	}
}

// pass waits until a piece may go on and reports false when the connection
// ends first.
func (r *relay) pass(p *relayPair, direction int) bool {
	for {
		r.mu.Lock()
		blocked, delay, released := r.blocked[direction], r.delay, r.released
		r.mu.Unlock()
		if !blocked {
			time.Sleep(delay)
			return true
		}
		select {
		case <-released:
		case <-p.ended:
			return false
		}
	}
}

// reset closes both sides so that their peers see a reset.
func (p *relayPair) reset() {
	p.once.Do(func() {
		close(p.ended)
		for _, conn := range p.sides {
			if conn == nil {
				continue
			}
			if err := conn.SetLinger(0); err != nil {
				continue // It has gone.
			}
			conn.Close()
		}
	})
}

// reset breaks all present connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		go p.reset()
	}
}

// disturb changes what passes and returns a function that lets everything pass
// again.
func (r *relay) disturb(delay time.Duration, blocked [2]bool) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay, r.blocked = delay, blocked
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.delay, r.blocked = 0, [2]bool{}
		close(r.released)
		r.released = make(chan struct{})
	}
}
