package entry

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
	// pool keeps idle connections to targets, by address. A connection that
	// is in use is never in the pool.
	pool struct {
		transport *http.Transport
		metrics   *telem.Set

		mu   sync.Mutex
		idle map[netip.AddrPort][]*link // The one used last stands last.
		open map[netip.AddrPort]int
	}

	dialed struct{ conn net.Conn }

	dialedKey struct{}
)

const (
	idleTimeout = 30 * time.Second
	// trustAge is how long after its last byte an idle connection is still
	// taken to be known to everything between the two ends.
	trustAge         = time.Second
	reapInterval     = 5 * time.Second
	maxAnswerHeaders = 64 << 10
	continueTimeout  = time.Second
	leastIdle        = 4
)

// errDial reports that no connection to a target could be opened.
var errDial = errors.New("entry: no connection to the target")

func newPool(metrics *telem.Set) *pool {
	return &pool{
		transport: &http.Transport{
			DialContext:            takeDialed,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeaders,
			ExpectContinueTimeout:  continueTimeout,
		},
		metrics: metrics,
		idle:    make(map[netip.AddrPort][]*link),
		open:    make(map[netip.AddrPort]int),
	}
}

// takeDialed hands the library the connection that link wraps.
func takeDialed(ctx context.Context, _, _ string) (net.Conn, error) {
	d, ok := ctx.Value(dialedKey{}).(dialed)
	if !ok {
		return nil, errDial
	}
	return d.conn, nil
}

// get returns a connection to address on which a request has begun. With
// trusted set it is one that was heard from within trustAge, or a new one.
func (p *pool) get(ctx context.Context, address netip.AddrPort, trusted bool) (*link, error) {
	now := time.Now()
	for l := p.take(address, trusted, now); l != nil; l = p.take(address, trusted, now) {
		if l.begin(now) && l.client.Err() == nil {
			p.metrics.Count("connections_reused").Add(1)
			return l, nil
		}
		p.discard(l)
	}
	return p.dial(ctx, address)
}

func (p *pool) take(address netip.AddrPort, trusted bool, now time.Time) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	if trusted && l.heardBefore(now.Add(-trustAge)) {
		return nil // The others were heard from even earlier.
	}
	p.idle[address] = list[:len(list)-1]
	return l
}

func (p *pool) dial(ctx context.Context, address netip.AddrPort) (*link, error) {
	var (
		conn net.Conn
		err  error
	)
	if conn, err = dialTarget(ctx, address); err != nil {
		p.metrics.Count("connections_failed").Add(1)
		return nil, errors.Wrap(err, errDial.Error())
	}
	var raw syscall.RawConn
	if raw, err = socketOf(conn); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, errDial.Error())
	}
	l := &link{Conn: conn, raw: raw, address: address, opened: time.Now(), fresh: true, onClean: p.put, onStray: p.stray, onClose: p.closed}
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	if !l.begin(l.opened) {
		l.Close()
		return nil, errors.Wrap(errStray, errDial.Error())
	}
	ctx = context.WithValue(ctx, dialedKey{}, dialed{conn: l})
	if l.client, err = p.transport.NewClientConn(ctx, "http", address.String()); err != nil {
		l.Close()
		return nil, errors.Wrap(err, errDial.Error())
	}
	p.metrics.Count("connections_opened").Add(1)
	return l, nil
}

// put takes a clean connection back.
func (p *pool) put(l *link) {
	if l.client.Err() != nil || l.client.Available() == 0 {
		p.discard(l)
		return
	}
	p.mu.Lock()
	p.idle[l.address] = append(p.idle[l.address], l)
	p.mu.Unlock()
}

// discard closes a connection that is not in the pool and reports whether a
// byte of its present request can have reached the target.
func (p *pool) discard(l *link) bool {
	sent := l.seal()
	l.client.Close()
	return sent
}

// closed forgets a connection whose socket is being closed.
func (p *pool) closed(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[l.address] = slices.DeleteFunc(p.idle[l.address], func(other *link) bool { return other == l })
	if len(p.idle[l.address]) == 0 {
		delete(p.idle, l.address)
	}
	if p.open[l.address]--; p.open[l.address] <= 0 {
		delete(p.open, l.address)
	}
}

// trim closes idle connections to address, the longest unused first, until at
// most limit are open, but leaves leastIdle.
func (p *pool) trim(address netip.AddrPort, limit int) {
	p.mu.Lock()
	list := p.idle[address]
	n := min(p.open[address]-limit, len(list)-leastIdle)
	if n <= 0 {
		p.mu.Unlock()
		return
	}
	surplus := slices.Clone(list[:n])
	p.idle[address] = slices.Delete(list, 0, n)
	p.mu.Unlock()
	for _, l := range surplus {
		p.discard(l)
	}
}

// stray notes a target that sent bytes outside of an answer.
func (p *pool) stray(*link) {
	p.metrics.Count("connections_with_stray_bytes").Add(1)
}

// retire closes all idle connections to address that were not heard from
// since t, and returns their number.
func (p *pool) retire(address netip.AddrPort, t time.Time) int {
	old := p.remove(address, func(l *link) bool { return l.heardBefore(t) })
	p.metrics.Count("connections_retired").Add(int64(old))
	return old
}

func (p *pool) remove(address netip.AddrPort, which func(*link) bool) int {
	var old []*link
	p.mu.Lock()
	p.idle[address] = slices.DeleteFunc(p.idle[address], func(l *link) bool {
		if !which(l) {
			return false
		}
		old = append(old, l)
		return true
	})
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	p.mu.Unlock()
	for _, l := range old {
		p.discard(l)
	}
	return len(old)
}

// reap closes connections that were idle for too long until ctx ends; then it
// closes all idle ones.
func (p *pool) reap(ctx context.Context) {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(func(*link) bool { return true })
			return
		case now := <-ticker.C:
			p.sweep(func(l *link) bool { return l.heardBefore(now.Add(-idleTimeout)) })
		}
	}
}

func (p *pool) sweep(which func(*link) bool) {
	for _, address := range p.addresses() {
		p.remove(address, which)
	}
}

func (p *pool) addresses() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []netip.AddrPort
	for address := range p.idle {
		list = append(list, address)
	}
	return list
}

// openCount returns the number of open connections to all targets.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, count := range p.open {
		n += count
	}
	return n
}
