package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/engine"
	"cardamomspool/core/reach"
	"cardamomspool/io/links"
)

// ways holds what this host knows about its ways to targets. It is safe for concurrent
// use.
type ways struct {
	mu       sync.Mutex
	links    *reach.Links
	carriers *reach.Carriers
	rng      *rand.Rand
	// needed is sent to, if it has room, when a link is lost, so that the list of
	// carriers is renewed.
	needed chan struct{}
}

const (
	// linkPatience is how long a call waits for a connection over this host's own link
	// before it is carried: some ten round-trip times, and a tenth of the time after
	// which a lost SYN is sent again.
	linkPatience = 100 * time.Millisecond
	// settleTime is how long a connection that checks a link must stay open: one that a
	// device on the path accepts and drops does not show that the link works.
	settleTime = 50 * time.Millisecond
)

// errLinkLost says that no connection was opened, since the link to the target is lost.
var errLinkLost = errors.New("entry: the link to the target is lost")

func newWays(dataCentre string) *ways {
	return &ways{
		links: reach.NewLinks(), carriers: reach.NewCarriers(dataCentre),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), needed: make(chan struct{}, 1),
	}
}

func (w *ways) heard(address netip.AddrPort, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links.Heard(address, now)
}

func (w *ways) opened(address netip.AddrPort, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links.Opened(address, now)
}

// lose records that no connection to address could be opened, and asks for a new list of
// carriers.
func (w *ways) lose(address netip.AddrPort, refused bool, now time.Time) {
	w.mu.Lock()
	w.links.Lose(address, refused, now)
	w.mu.Unlock()
	select {
	case w.needed <- struct{}{}:
	default: // It is already asked for.
	}
}

func (w *ways) lost(address netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.Lost(address)
}

func (w *ways) lostLinks() []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.AppendLost(nil)
}

func (w *ways) cutOff() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.CutOff()
}

func (w *ways) claimCheck(address netip.AddrPort, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.ClaimCheck(address, now)
}

// way returns how a call may be sent over the link to address. Without carriers a lost
// link is tried like a sound one.
func (w *ways) way(address netip.AddrPort) reach.Way {
	w.mu.Lock()
	defer w.mu.Unlock()
	way := w.links.Way(address)
	way.Dial = way.Dial || w.carriers.Len() == 0
	return way
}

// addCarriers adds the carriers of a new list, see reach.Carriers.Update.
func (w *ways) addCarriers(list []reach.Carrier) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carriers.Update(list, time.Now())
}

func (w *ways) hasCarriers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.carriers.Len() > 0
}

func (w *ways) beginCarry(target netip.AddrPort, tried []netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.carriers.Begin(target, tried, now, w.rng)
}

func (w *ways) endCarry(carrier, target netip.AddrPort, carriage reach.Carriage, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carriers.End(carrier, target, carriage, now)
}

func (w *ways) avoidCarrier(carrier netip.AddrPort, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carriers.Avoid(carrier, now)
}

// connect returns a connection to a target over this host's own link, marked as carrying
// a request, as beginRequest does. It returns an error when the link is lost.
func (f *forwarder) connect(ctx context.Context, a *attempt, address netip.AddrPort) (*links.Conn, error) {
	now := time.Now()
	way := f.ways.way(address)
	heardAfter := links.TrustedSince(a.class.Idempotent, now)
	if way.HeardAfter.After(heardAfter) {
		heardAfter = way.HeardAfter
	}
	conn := f.pool.Reuse(address, heardAfter)
	if !way.Dial {
		// Also if an open connection serves: the next call may need another one.
		f.checkLink(address, now)
	}
	switch {
	case conn != nil:
		return conn, nil
	case !way.Dial:
		return nil, errLinkLost
	}
	return f.dialLink(ctx, a, address)
}

// dialLink opens a connection to a target within the patience of the call, and records
// whether the link works.
func (f *forwarder) dialLink(ctx context.Context, a *attempt, address netip.AddrPort) (*links.Conn, error) {
	patience := links.DialTimeout
	if a.carriedIn || f.ways.hasCarriers() {
		patience = linkPatience + a.host.uploads.queueDelay()
	}
	dialCtx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	conn, err := f.pool.Dial(dialCtx, address)
	switch {
	case err == nil:
		f.ways.opened(address, time.Now())
	case a.resetsWhenFull && errors.Is(err, syscall.ECONNRESET):
		// The link works: the target is full.
	case ctx.Err() == nil:
		f.recordDialFailure(address, err)
	}
	return conn, err
}

// recordDialFailure records that the link to address is lost if err, with which a
// connection could not be opened, comes from the network.
func (f *forwarder) recordDialFailure(address netip.AddrPort, err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	silent := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
	var timeout interface{ Timeout() bool }
	if silent = silent || errors.As(err, &timeout) && timeout.Timeout(); !refused && !silent {
		return
	}
	wasLost := f.ways.lost(address)
	f.ways.lose(address, refused, time.Now())
	if !wasLost {
		f.metrics.Counter("links_lost").Add(1)
		f.log.Info("link to target lost", "address", address.String(), "refused", refused, "cut_off", f.ways.cutOff(), "error", err)
	}
}

// checkLink opens a connection to a target whose link is lost, unless that was done a
// short time ago, and does not wait for it. If the connection stays open, the link works
// and the connection is kept for calls.
func (f *forwarder) checkLink(address netip.AddrPort, now time.Time) {
	if !f.ways.claimCheck(address, now) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.work, links.DialTimeout)
		defer cancel()
		conn, err := f.pool.Dial(ctx, address)
		if err != nil {
			f.recordDialFailure(address, err)
			return
		}
		f.settle(ctx, conn)
	}()
}

// settle puts a new connection into the pool if it stays open for settleTime, and records
// that its link works.
func (f *forwarder) settle(ctx context.Context, conn *links.Conn) {
	select {
	case <-ctx.Done():
	case <-time.After(settleTime):
	}
	if ctx.Err() != nil || !conn.Unused() {
		f.pool.Discard(conn)
		return
	}
	now := time.Now()
	f.ways.opened(conn.Address(), now)
	f.metrics.Counter("links_restored").Add(1)
	f.log.Info("link to target restored", "address", conn.Address().String())
	conn.EndUnused(now)
	for _, address := range f.ways.lostLinks() {
		f.checkLink(address, now) // They may have been lost for the same reason.
	}
}

// linkLost reports whether an attempt on conn got no response because this host has lost
// its link to the target, and not because of the target. A link that was not known to be lost
// is tried, unless the call has ended or another connection was heard since it began.
func (f *forwarder) linkLost(ctx context.Context, conn *links.Conn, a *attempt) bool {
	address := conn.Address()
	if f.ways.lost(address) {
		return true
	}
	if ctx.Err() != nil || !f.ways.hasCarriers() || f.pool.HeardSince(address, conn.Began()) {
		return false
	}
	another, err := f.dialLink(ctx, a, address)
	if err != nil {
		return f.ways.lost(address)
	}
	go f.settle(f.work, another)
	return false
}

// silentLinkLost reports whether conn is silent because this host has lost its link to
// the target. If conn leads to a carrier, the carrier is avoided.
func (f *forwarder) silentLinkLost(conn *links.Conn, a *attempt, s engine.Send) bool {
	if conn.Address() != s.Address {
		f.ways.avoidCarrier(conn.Address(), time.Now())
		return false
	}
	return f.linkLost(f.work, conn, a)
}
