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

	"cardamomspool/core/crash"
	"cardamomspool/core/engine"
	"cardamomspool/core/member"
)

type (
	// lostCall is a call whose connection its target closed before a whole answer.
	lostCall struct {
		call        string
		id          crash.ID
		target      member.Key
		incarnation uint64
		address     netip.AddrPort
		method      string
		path        string
		remote      string
		sent        time.Time // When the request began on the connection.
		lost        time.Time // When the connection was found closed.
		// mayBeFull says that the target has reset the connection, and that targets of
		// its service do so when they are full.
		mayBeFull bool
	}

	// lossWatcher finds out whether targets that closed connections during calls have
	// ended. It is safe for concurrent use.
	lossWatcher struct {
		// ended is called with the calls at a target that has ended.
		ended func([]lostCall)
		// dial opens a connection to a target and closes or keeps it.
		dial func(context.Context, netip.AddrPort) error
		// replaced reports whether a later incarnation than the given one, of any target,
		// uses the address.
		replaced func(uint64, netip.AddrPort) bool
		// answered reports whether a target has answered a call since a time.
		answered func(member.Key, time.Time) bool

		mu      sync.Mutex
		watches map[incarnationKey]*lossWatch
	}

	// incarnationKey is one incarnation of a target.
	incarnationKey struct {
		member.Key
		incarnation uint64
	}

	// lossWatch is what is known of a target since it closed a connection.
	lossWatch struct {
		calls []lostCall // Not passed to ended yet.
		ended bool
	}
)

const (
	// endCheckTimeout bounds the opening of a connection that shows whether a target
	// lives: some ten round-trip times.
	endCheckTimeout = 100 * time.Millisecond
	// replacedPeriod and replacedChecks say how often and for how long another
	// incarnation is looked for, when connections show no end: a target may be started
	// again at once.
	replacedPeriod = 500 * time.Millisecond
	replacedChecks = 6
	// maxWatchedLosses bounds the number of targets that are watched at the same time,
	// and the calls of each.
	maxWatchedLosses = 1024
)

// endChecks are the times since a lost connection at which another one is opened. A
// process that ends may close its connections before its listener.
var endChecks = [...]time.Duration{0, 100 * time.Millisecond}

// observe watches the target of a call until it is known whether it has ended, or until
// ctx ends. It does not block.
func (l *lossWatcher) observe(ctx context.Context, c lostCall) {
	key := incarnationKey{c.target, c.incarnation}
	l.mu.Lock()
	watch := l.watches[key]
	switch {
	case watch == nil && len(l.watches) >= maxWatchedLosses || watch != nil && len(watch.calls) >= maxWatchedLosses:
		l.mu.Unlock()
		return
	case watch == nil:
		if l.watches == nil {
			l.watches = make(map[incarnationKey]*lossWatch)
		}
		watch = &lossWatch{}
		l.watches[key] = watch
		go l.run(ctx, key, c.address)
	}
	if watch.ended {
		l.mu.Unlock()
		l.ended([]lostCall{c})
		return
	}
	watch.calls = append(watch.calls, c)
	l.mu.Unlock()
}

// run checks whether a target has ended, passes its calls on if so, and forgets it after
// replacedChecks periods, so that calls whose loss is noticed later are treated alike.
func (l *lossWatcher) run(ctx context.Context, key incarnationKey, address netip.AddrPort) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watches, key)
	}()
	ended := false
	begin := time.Now()
	for _, at := range endChecks {
		if !sleep(ctx, time.Until(begin.Add(at))) {
			return
		}
		if ended = l.refuses(ctx, address); ended {
			l.finish(key)
			break
		}
	}
	for range replacedChecks {
		if !ended && l.replaced(key.incarnation, address) {
			ended = true
			l.finish(key)
		}
		if !ended {
			l.spare(key)
		}
		if !sleep(ctx, replacedPeriod) {
			return
		}
	}
}

// refuses reports whether nothing listens at address.
func (l *lossWatcher) refuses(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	return errors.Is(l.dial(ctx, address), syscall.ECONNREFUSED)
}

// finish passes the calls of a target that has ended on.
func (l *lossWatcher) finish(key incarnationKey) {
	l.mu.Lock()
	watch := l.watches[key]
	calls := watch.calls
	watch.calls, watch.ended = nil, true
	l.mu.Unlock()
	if len(calls) > 0 {
		l.ended(calls)
	}
}

// spare drops the calls that a full target has reset which has answered others since: they are
// not lost with it if it ends later.
func (l *lossWatcher) spare(key incarnationKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	watch := l.watches[key]
	watch.calls = slices.DeleteFunc(watch.calls, func(c lostCall) bool { return c.mayBeFull && l.answered(key.Key, c.lost) })
}

// answeredSince reports whether a target has answered a call of this host since t.
func (f *forwarder) answeredSince(target member.Key, t time.Time) bool {
	return f.activity.evidenceFor(target).Answered.After(t)
}

// observeLoss watches the target of an attempt on conn, which got no whole answer, if the
// target has closed the connection and was not about to leave.
func (f *forwarder) observeLoss(r *http.Request, a *attempt, s engine.Send, conn *targetConn) {
	id, known := a.identify(r)
	if !known || conn.address != s.Address || !conn.wasClosedByTarget() || a.host.hasDeparted(a.call, s) {
		return
	}
	f.losses.observe(f.work, lostCall{
		call: a.name, id: id, target: member.Key{Service: a.service.doc.Name, Target: s.Target},
		incarnation: s.Incarnation, address: s.Address, method: r.Method, path: r.URL.EscapedPath(),
		remote: r.RemoteAddr, sent: conn.began(), lost: time.Now(),
		mayBeFull: a.resetsWhenFull && conn.wasReset(),
	})
}

// dialOnce opens a connection to a target, and keeps it for calls if it stays open.
func (f *forwarder) dialOnce(ctx context.Context, address netip.AddrPort) error {
	conn, err := f.pool.dial(ctx, address)
	if err != nil {
		return err
	}
	go f.settle(f.work, conn)
	return nil
}

// callerAddress returns the address of the caller of a request: the last one that is not
// that of a trusted proxy, or the zero value for one that cannot be parsed.
func callerAddress(r *http.Request, trusted []netip.Prefix) netip.Addr {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	for hops := forwardedFor(r.Header); isTrusted(host, trusted) && len(hops) > 0; hops = hops[:len(hops)-1] {
		host = hops[len(hops)-1]
	}
	address, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{} // A proxy has sent something else; all such callers count as one.
	}
	return address
}

// targetReplaced reports whether another target that was started later, or a later
// incarnation of the same one, is known at address. It returns false when the incarnation is
// not known, which is 0 then.
func (h *Host) targetReplaced(incarnation uint64, address netip.AddrPort) bool {
	if h.fleet != nil {
		return h.fleet.state.Replaced(incarnation, address)
	}
	return slices.ContainsFunc(h.members.all(), func(r member.Record) bool {
		return r.Address == address && incarnation > 0 && r.Incarnation > incarnation && !r.LeaseExpired && r.State < member.Leaving
	})
}
