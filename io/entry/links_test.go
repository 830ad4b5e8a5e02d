package entry

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"

	"cardamomspool/io/links"
)

type (
	// cutMode says what a cut does to a host's links to the targets.
	cutMode struct {
		name    string
		resets  bool // Open connections are reset.
		hangs   bool // Open connections are silent.
		mutes   bool // Open connections carry requests, but no answers.
		refuses bool // New connections are refused at once; otherwise they hang.
	}

	// targetLinks are the links of one host to all targets. A cut affects only this
	// host.
	targetLinks struct {
		t testing.TB

		mu     sync.Mutex
		relays map[netip.AddrPort]net.Listener // By the target's address.
		pairs  []linkPair
		cut    *cutMode      // nil while the links work.
		healed chan struct{} // Closed when the cut ends.
	}

	// linkPair is a connection through a relay: the side of the host and the side of
	// the target.
	linkPair struct{ host, target *net.TCPConn }
)

// cutModes are the ways in which links to targets are lost.
var cutModes = []cutMode{
	{name: "hang", hangs: true},
	{name: "reset", resets: true, refuses: true},
	{name: "reset and hang", resets: true},
	{name: "live on", refuses: true},
	{name: "live on and hang"},
	{name: "hang and refuse", hangs: true, refuses: true},
	{name: "one way", mutes: true},
}

// newTargetLinks puts links that can be cut between h and all targets.
func newTargetLinks(t testing.TB, h *Host) *targetLinks {
	l := &targetLinks{t: t, relays: make(map[netip.AddrPort]net.Listener), healed: make(chan struct{})}
	connect := h.links.Opener
	h.links.Opener = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return l.connect(ctx, address, connect)
	}
	t.Cleanup(l.close)
	return l
}

// connect opens a connection to a target through the relay of its address, by means of
// open. Connections to hosts of the system are not cut.
func (l *targetLinks) connect(ctx context.Context, address netip.AddrPort, open func(context.Context, netip.AddrPort) (net.Conn, error)) (net.Conn, error) {
	l.mu.Lock()
	relay, ok := l.relays[address]
	cut, healed := l.cut, l.healed
	l.mu.Unlock()
	switch {
	case !ok:
		return open(ctx, address)
	case cut != nil && cut.refuses:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case cut != nil:
		ctx, cancel := context.WithTimeout(ctx, links.DialTimeout)
		defer cancel()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-healed:
		}
	}
	return open(ctx, relay.Addr().(*net.TCPAddr).AddrPort())
}

// add starts the relay to the target at address.
func (l *targetLinks) add(address netip.AddrPort) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.t.Fatal(err)
	}
	l.mu.Lock()
	l.relays[address] = listener
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target, err := net.Dial("tcp", address.String())
			if err != nil {
				conn.Close()
				continue
			}
			p := linkPair{host: conn.(*net.TCPConn), target: target.(*net.TCPConn)}
			l.mu.Lock()
			l.pairs = append(l.pairs, p)
			l.mu.Unlock()
			go l.copy(p.target, p.host, false)
			go l.copy(p.host, p.target, true)
		}
	}()
}

// copy copies from one side of a connection to the other, answers if answers is true. While
// the connection is cut and silent it holds what it has read.
func (l *targetLinks) copy(to, from *net.TCPConn, answers bool) {
	defer to.CloseWrite()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.mu.Lock()
			cut, healed := l.cut, l.healed
			l.mu.Unlock()
			if cut != nil && (cut.hangs || cut.mutes && answers) {
				<-healed
			}
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				to.SetLinger(0)
				to.Close()
			}
			return
		}
	}
}

// begin cuts the links of the host.
func (l *targetLinks) begin(mode cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = &mode
	if !mode.resets {
		return
	}
	for _, p := range l.pairs {
		p.host.SetLinger(0)
		p.host.Close()
		p.target.SetLinger(0)
		p.target.Close()
	}
	l.pairs = nil
}

// end restores the links. What a silent connection held is lost: it is reset.
func (l *targetLinks) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut != nil && (l.cut.hangs || l.cut.mutes) {
		for _, p := range l.pairs {
			p.host.SetLinger(0)
			p.host.Close()
			p.target.SetLinger(0)
			p.target.Close()
		}
		l.pairs = nil
	}
	l.cut = nil
	close(l.healed)
	l.healed = make(chan struct{})
}

func (l *targetLinks) close() {
	l.end()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.relays {
		r.Close()
	}
	for _, p := range l.pairs {
		p.host.Close()
		p.target.Close()
	}
}
