package links

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/io/telem"
)

type (
	// pool holds the idle connections to targets by address. A connection that
	// carries a request is not in the pool; it is only counted in open.
	pool struct {
		transport *http.Transport
		metrics   *telem.Registry
		renewals  renewals
		// Opener opens a connection to a target; tests replace it.
		Opener func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

		mu   sync.Mutex
		idle map[netip.AddrPort][]*Conn // Most recently used last.
		open map[netip.AddrPort]int     // Number of connections, idle and in use.
	}

	// dialed is the value by which dial passes an open connection to dialedConn in a
	// context, under the key dialedKey.
	dialed struct{ conn net.Conn }

	dialedKey struct{}
)

const (
	idleTimeout = 30 * time.Second
	// MaxTrustedSilence is how long after its last received byte an idle
	// connection is assumed to be still known to all stateful devices, such as
	// firewalls, on the path.
	MaxTrustedSilence = time.Second
	reapInterval      = 5 * time.Second
	// MaxResponseHeaderBytes bounds the header of a response.
	MaxResponseHeaderBytes = 64 << 10
	continueTimeout        = time.Second
	minIdleConns           = 4 // Number of idle connections to one target that trim keeps.
)

// errDial says that no connection to a target could be opened. Its text begins the
// errors of pool.dial. Logs have it, so that it keeps the prefix of package entry, as those of
// Conn do.
var errDial = errors.New("entry: no connection to the target")

// newPool returns a pool whose connections are opened from source; see dialFrom.
func newPool(source netip.Addr, metrics *telem.Registry) *pool {
	return &pool{
		transport: &http.Transport{
			DialContext:            dialedConn,
			DisableCompression:     true,
			MaxResponseHeaderBytes: MaxResponseHeaderBytes,
			ExpectContinueTimeout:  continueTimeout,
		},
		metrics: metrics, Opener: dialFrom(source),
		idle: make(map[netip.AddrPort][]*Conn),
		open: make(map[netip.AddrPort]int),
	}
}

// dialedConn is the transport's dialer. It returns the connection in ctx.
func dialedConn(ctx context.Context, _, _ string) (net.Conn, error) {
	d, ok := ctx.Value(dialedKey{}).(dialed)
	if !ok {
		return nil, errDial
	}
	return d.conn, nil
}

// reuse returns an idle connection to address on which bytes were received after
// heardAfter and that is not one of avoid, marked as carrying a request, as beginRequest
// does. It returns nil when there is none.
func (p *pool) reuse(address netip.AddrPort, heardAfter time.Time, avoid []*Conn) *Conn {
	now := time.Now()
	for c := p.takeIdle(address, heardAfter, avoid); c != nil; c = p.takeIdle(address, heardAfter, avoid) {
		if c.beginRequest(now) && c.client.Err() == nil {
			p.metrics.Counter("connections_reused").Add(1)
			return c
		}
		p.Discard(c)
	}
	return nil
}

// takeIdle removes and returns the most recently used idle connection that is not one of
// avoid. It returns nil when there is none, or when that connection has received nothing
// since heardAfter.
func (p *pool) takeIdle(address netip.AddrPort, heardAfter time.Time, avoid []*Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	i := len(list) - 1
	for i >= 0 && slices.Contains(avoid, list[i]) {
		i--
	}
	if i < 0 || list[i].LastReadBefore(heardAfter) {
		return nil // The other connections have been silent for longer.
	}
	c := list[i]
	p.idle[address] = slices.Delete(list, i, i+1)
	return c
}

// trustedSince returns the time after which an idle connection must have been heard from
// at now to carry a call: MaxTrustedSilence ago, unless any idle one may.
func trustedSince(anyIdle bool, now time.Time) time.Time {
	if anyIdle {
		return time.Time{}
	}
	return now.Add(-MaxTrustedSilence)
}

// dial opens a connection and marks it as carrying a request, as beginRequest does. It
// returns an error if the connection fails or its target has sent bytes already.
func (p *pool) dial(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	var (
		conn net.Conn
		err  error
	)
	if conn, err = p.Opener(ctx, address); err != nil {
		p.metrics.Counter("connections_failed").Add(1)
		return nil, errors.Wrap(err, errDial.Error())
	}
	var raw syscall.RawConn
	if raw, err = socketOf(conn); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, errDial.Error())
	}
	c := &Conn{Conn: conn, raw: raw, address: address, opened: time.Now(), fresh: true, onClean: p.put, onStray: p.countStray, onClose: p.forget}
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	if !c.beginRequest(c.opened) {
		c.Close()
		if c.WasReset() {
			return nil, errors.Wrap(syscall.ECONNRESET, errDial.Error())
		}
		return nil, errors.Wrap(errStray, errDial.Error())
	}
	ctx = context.WithValue(ctx, dialedKey{}, dialed{conn: c})
	if c.client, err = p.transport.NewClientConn(ctx, "http", address.String()); err != nil {
		c.Close()
		return nil, errors.Wrap(err, errDial.Error())
	}
	p.metrics.Counter("connections_opened").Add(1)
	return c, nil
}

// put adds a clean connection to the pool, or closes it if it cannot be reused.
func (p *pool) put(c *Conn) {
	if c.client.Err() != nil || c.client.Available() == 0 {
		p.Discard(c)
		return
	}
	p.mu.Lock()
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

// Discard closes a connection that is not in the pool and reports whether a byte
// of its current request may have reached the target.
func (p *pool) Discard(c *Conn) bool {
	sent := c.seal()
	c.client.Close()
	return sent
}

// forget removes a connection that is closing from the pool and from the count of
// open ones.
func (p *pool) forget(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = slices.DeleteFunc(p.idle[c.address], func(other *Conn) bool { return other == c })
	if len(p.idle[c.address]) == 0 {
		delete(p.idle, c.address)
	}
	if p.open[c.address]--; p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// Trim closes idle connections to address, least recently used first, until at
// most limit are open, in use or idle. It keeps at least minIdleConns idle ones.
func (p *pool) Trim(address netip.AddrPort, limit int) {
	p.mu.Lock()
	list := p.idle[address]
	n := min(p.open[address]-limit, len(list)-minIdleConns)
	if n <= 0 {
		p.mu.Unlock()
		return
	}
	surplus := slices.Clone(list[:n])
	p.idle[address] = slices.Delete(list, 0, n)
	p.mu.Unlock()
	for _, c := range surplus {
		p.Discard(c)
	}
}

// heardSince reports whether an idle connection to address has received bytes at or after
// t.
func (p *pool) heardSince(address netip.AddrPort, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], func(c *Conn) bool { return !c.LastReadBefore(t) })
}

// countStray counts a connection on which a target sent unsolicited bytes.
func (p *pool) countStray(*Conn) {
	p.metrics.Counter("connections_with_stray_bytes").Add(1)
}

// Retire closes all idle connections to address that received nothing since t,
// and returns their number.
func (p *pool) Retire(address netip.AddrPort, t time.Time) int {
	closed := p.remove(address, func(c *Conn) bool { return c.LastReadBefore(t) })
	p.metrics.Counter("connections_retired").Add(int64(closed))
	return closed
}

// remove closes the idle connections to address for which match returns true,
// and returns their number.
func (p *pool) remove(address netip.AddrPort, match func(*Conn) bool) int {
	var removed []*Conn
	p.mu.Lock()
	p.idle[address] = slices.DeleteFunc(p.idle[address], func(c *Conn) bool {
		if !match(c) {
			return false
		}
		removed = append(removed, c)
		return true
	})
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	p.mu.Unlock()
	for _, c := range removed {
		p.Discard(c)
	}
	return len(removed)
}

// Reap closes, every reapInterval, the idle connections that have received nothing
// for idleTimeout. When ctx ends it closes all idle ones and returns.
func (p *pool) Reap(ctx context.Context) {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(func(*Conn) bool { return true })
			return
		case now := <-ticker.C:
			p.sweep(func(c *Conn) bool { return c.LastReadBefore(now.Add(-idleTimeout)) })
			p.renewals.expire(now)
		}
	}
}

// sweep closes all idle connections for which match returns true.
func (p *pool) sweep(match func(*Conn) bool) {
	for _, address := range p.addresses() {
		p.remove(address, match)
	}
}

// addresses returns the addresses that have idle connections.
func (p *pool) addresses() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []netip.AddrPort
	for address := range p.idle {
		list = append(list, address)
	}
	return list
}

// OpenCount returns the number of open connections to all targets.
func (p *pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, count := range p.open {
		n += count
	}
	return n
}
