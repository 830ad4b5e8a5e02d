package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/internal/free"
)

type (
	// Relay is a TCP proxy that can delay, block and reset the connections that it
	// forwards. Use New.
	Relay struct {
		to       netip.AddrPort
		listener net.Listener

		mu          sync.Mutex
		connections map[*relayed]bool
		delay       time.Duration          // Before each chunk is forwarded.
		blocked     [2]bool                // By direction.
		cuts        map[netip.Addr]CutMode // The sources that are cut off.
		released    chan struct{}          // Closed and replaced when a disturbance ends.
	}

	// CutMode says what becomes of the open connections of a source that is cut off.
	// New ones are reset in all modes.
	CutMode string

	// relayed is one connection through a relay. Its sides are the connection
	// that the relay accepted and the one that the relay dialled, which are indexed
	// by the direction in which data read from them flows.
	relayed struct {
		sides  [2]*net.TCPConn
		once   sync.Once
		closed chan struct{}
	}
)

// The directions of a relay: from the process that dialled the relay to the process
// that the relay dialled, and back.
const (
	Forward  = 0
	Backward = 1
)

// The modes of cuts.
const (
	// CutHangs means that open connections are silent, and reset at the end.
	CutHangs CutMode = "hang"
	// CutResets means that open connections are reset.
	CutResets CutMode = "reset"
	// CutRefuses means that open connections live on.
	CutRefuses CutMode = "refuse"
)

const (
	dialTimeout = time.Second
	chunkBytes  = 16 << 10
)

// New returns a relay that listens on a free address and forwards connections
// to the address to.
func New(to netip.AddrPort) (*Relay, error) {
	address, err := free.Address()
	if err != nil {
		return nil, err
	}
	r := &Relay{to: to, connections: make(map[*relayed]bool), cuts: make(map[netip.Addr]CutMode), released: make(chan struct{})}
	if r.listener, err = net.Listen("tcp", address.String()); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	return r, nil
}

// Address returns the address at which the relay accepts connections.
func (r *Relay) Address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run accepts and forwards connections until ctx ends, and then resets them.
func (r *Relay) Run(ctx context.Context) {
	defer r.Reset()
	stop := context.AfterFunc(ctx, func() { r.listener.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			r.Reset()
			return // The listener is closed with ctx.
		}
		group.Go(func() { r.handle(conn.(*net.TCPConn)) })
	}
}

// handle forwards one connection. When the destination can not be reached it resets
// the connection, as a host does whose process has just died.
func (r *Relay) handle(conn *net.TCPConn) {
	p := &relayed{closed: make(chan struct{})}
	p.sides[Forward] = conn
	defer p.reset()
	if r.isCut(p.source()) {
		return // Before the relay has dialled, so that the host sees it soon.
	}
	other, err := net.DialTimeout("tcp", r.to.String(), dialTimeout)
	if err != nil {
		return
	}
	p.sides[Backward] = other.(*net.TCPConn)
	r.mu.Lock()
	_, cut := r.cuts[p.source()]
	r.connections[p] = !cut
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.connections, p)
	}()
	if cut {
		return
	}
	var group sync.WaitGroup
	for direction := range p.sides {
		group.Go(func() { r.copyDirection(p, direction) })
	}
	group.Wait()
}

// copyDirection copies the data of one direction until its end, and then ends it
// towards the receiver too. If that fails, or the data can not be sent, it resets the
// connection.
func (r *Relay) copyDirection(p *relayed, direction int) {
	from, to := p.sides[direction], p.sides[1-direction]
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if !r.awaitUnblocked(p, direction) {
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

// awaitUnblocked waits until the direction is not blocked, and then for the delay. It
// reports false if the connection ends first.
func (r *Relay) awaitUnblocked(p *relayed, direction int) bool {
	for {
		r.mu.Lock()
		blocked, delay, released := r.blocked[direction] || r.cuts[p.source()] == CutHangs, r.delay, r.released
		r.mu.Unlock()
		if !blocked {
			time.Sleep(delay)
			return true
		}
		select {
		case <-released:
		case <-p.closed:
			return false
		}
	}
}

// reset closes both sides so that the processes at their other ends see a reset.
func (p *relayed) reset() {
	p.once.Do(func() {
		close(p.closed)
		for _, conn := range p.sides {
			if conn == nil {
				continue
			}
			if err := conn.SetLinger(0); err != nil {
				continue // The connection is closed already.
			}
			conn.Close()
		}
	})
}

// Reset starts to reset all current connections and does not wait for the resets.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.connections {
		go p.reset()
	}
}

// Disturb sets the delay and the blocked directions, and returns a function that
// removes the delay and unblocks both directions.
func (r *Relay) Disturb(delay time.Duration, blocked [2]bool) func() {
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

// BeginCut cuts off the connections that come from source.
func (r *Relay) BeginCut(source netip.Addr, mode CutMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[source] = mode
	if mode == CutResets {
		r.resetFrom(source)
	}
}

// isCut reports whether source is cut off.
func (r *Relay) isCut(source netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, cut := r.cuts[source]
	return cut
}

// EndCut ends the cut of source. Connections that were silent are reset.
func (r *Relay) EndCut(source netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cuts[source] == CutHangs {
		r.resetFrom(source)
	}
	delete(r.cuts, source)
}

// resetFrom starts to reset the connections that come from source. The caller holds mu.
func (r *Relay) resetFrom(source netip.Addr) {
	for p := range r.connections {
		if p.source() == source {
			go p.reset()
		}
	}
}

// source returns the address that the connection comes from.
func (p *relayed) source() netip.Addr {
	return p.sides[Forward].RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
}
