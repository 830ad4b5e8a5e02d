package links

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/reach"
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
	// Patience is how long a call waits for a connection over this host's own link
	// before it is carried: some ten round-trip times, and a tenth of the time after
	// which a lost SYN is sent again.
	Patience = 100 * time.Millisecond
	// settleTime is how long a connection that checks a link must stay open: one that a
	// device on the path accepts and drops does not show that the link works.
	settleTime = 50 * time.Millisecond
)

// errLinkLost says that no connection was opened, since the link to the target is lost. Its
// text is in logs.
var errLinkLost = errors.New("entry: the link to the target is lost")

func newWays(dataCentre string) *ways {
	return &ways{
		links: reach.NewLinks(), carriers: reach.NewCarriers(dataCentre),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), needed: make(chan struct{}, 1),
	}
}

// Heard records that a target at address has answered over this host's own link.
func (w *ways) Heard(address netip.AddrPort, now time.Time) {
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

// Lost reports whether the link to address is lost.
func (w *ways) Lost(address netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.Lost(address)
}

func (w *ways) lostLinks() []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.AppendLost(nil)
}

// CutOff reports whether this host is cut off; see reach.Links.CutOff.
func (w *ways) CutOff() bool {
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

// AddCarriers adds the carriers of a new list, see reach.Carriers.Update.
func (w *ways) AddCarriers(list []reach.Carrier) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carriers.Update(list, time.Now())
}

func (w *ways) hasCarriers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.carriers.Len() > 0
}

// BeginCarry returns the carrier to which an attempt is offered next; see reach.Carriers.Begin.
func (w *ways) BeginCarry(target netip.AddrPort, tried []netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.carriers.Begin(target, tried, now, w.rng)
}

// EndCarry records what became of that; see reach.Carriers.End.
func (w *ways) EndCarry(carrier, target netip.AddrPort, carriage reach.Carriage, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carriers.End(carrier, target, carriage, now)
}

func (w *ways) avoidCarrier(carrier netip.AddrPort, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carriers.Avoid(carrier, now)
}

// Connect returns a connection to a target over this host's own link, marked as carrying
// a request, as beginRequest does. It returns an error when the link is lost, and ErrRefusing
// when the target refuses calls so often that too many were opened.
func (l *Links) Connect(ctx context.Context, address netip.AddrPort, n Need) (*Conn, error) {
	now := time.Now()
	way := l.ways.way(address)
	heardAfter := trustedSince(n.AnyIdle, now)
	if way.HeardAfter.After(heardAfter) {
		heardAfter = way.HeardAfter
	}
	var conn *Conn
	if !n.Fresh {
		conn = l.reuse(address, heardAfter, n.Avoid)
	}
	if !way.Dial {
		// Also if an open connection serves: the next call may need another one.
		l.Check(address, now)
	}
	switch {
	case conn != nil:
		return conn, nil
	case !way.Dial:
		return nil, errLinkLost
	case !l.mayDial(address, n.Fresh, now):
		return nil, ErrRefusing
	}
	return l.dialLink(ctx, address, n)
}

// dialLink opens a connection to a target within the patience of the call, and records
// whether the link works.
func (l *Links) dialLink(ctx context.Context, address netip.AddrPort, n Need) (*Conn, error) {
	patience := DialTimeout
	if n.CarriedIn || l.ways.hasCarriers() {
		patience = Patience + l.queueDelay()
	}
	dialCtx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if n.Until != nil {
		defer context.AfterFunc(n.Until, cancel)()
	}
	conn, err := l.dial(dialCtx, address)
	switch {
	case err == nil:
		l.ways.opened(address, time.Now())
	case n.ResetsWhenFull && errors.Is(err, syscall.ECONNRESET):
		// The link works: the target is full.
	case ctx.Err() == nil:
		l.recordDialFailure(address, err)
	}
	return conn, err
}

// recordDialFailure records that the link to address is lost if err, with which a
// connection could not be opened, comes from the network.
func (l *Links) recordDialFailure(address netip.AddrPort, err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	silent := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
	var timeout interface{ Timeout() bool }
	if silent = silent || errors.As(err, &timeout) && timeout.Timeout(); !refused && !silent {
		return
	}
	wasLost := l.Lost(address)
	l.ways.lose(address, refused, time.Now())
	if !wasLost {
		l.metrics.Counter("links_lost").Add(1)
		l.log.Info("link to target lost", "address", address.String(), "refused", refused, "cut_off", l.CutOff(), "error", err)
	}
}

// Check opens a connection to a target whose link is lost, unless that was done a
// short time ago, and does not wait for it. If the connection stays open, the link works
// and the connection is kept for calls.
func (l *Links) Check(address netip.AddrPort, now time.Time) {
	if !l.ways.claimCheck(address, now) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.work, DialTimeout)
		defer cancel()
		conn, err := l.dial(ctx, address)
		if err != nil {
			l.recordDialFailure(address, err)
			return
		}
		l.settle(ctx, conn)
	}()
}

// settle puts a new connection into the pool if it stays open for settleTime, and records
// that its link works.
func (l *Links) settle(ctx context.Context, conn *Conn) {
	select {
	case <-ctx.Done():
	case <-time.After(settleTime):
	}
	if ctx.Err() != nil || !conn.unused() {
		l.Discard(conn)
		return
	}
	now := time.Now()
	l.ways.opened(conn.Address(), now)
	l.metrics.Counter("links_restored").Add(1)
	l.log.Info("link to target restored", "address", conn.Address().String())
	conn.endUnused(now)
	for _, address := range l.ways.lostLinks() {
		l.Check(address, now) // They may have been lost for the same reason.
	}
}

// LostDuring reports whether an attempt on conn got no response because this host has lost
// its link to the target, and not because of the target. A link that was not known to be lost
// is tried, unless the call has ended or another connection was heard since it began.
func (l *Links) LostDuring(ctx context.Context, conn *Conn, n Need) bool {
	address := conn.Address()
	if l.Lost(address) {
		return true
	}
	if ctx.Err() != nil || !l.ways.hasCarriers() || l.heardSince(address, conn.Began()) {
		return false
	}
	another, err := l.dialLink(ctx, address, n)
	if err != nil {
		return l.Lost(address)
	}
	go l.settle(l.work, another)
	return false
}

// LostInSilence reports whether conn is silent because this host has lost its link to
// the target. If conn leads to a carrier, the carrier is avoided.
func (l *Links) LostInSilence(conn *Conn, target netip.AddrPort, n Need) bool {
	if conn.Address() != target {
		l.ways.avoidCarrier(conn.Address(), time.Now())
		return false
	}
	return l.LostDuring(l.work, conn, n)
}
