package signs

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/crash"
	"cardamomspool/core/member"
)

type (
	// LostCall is a call whose connection its target closed before a whole answer.
	LostCall struct {
		Call        string
		ID          crash.ID
		Target      member.Key
		Incarnation uint64
		Address     netip.AddrPort
		Method      string
		Path        string
		Remote      string
		Sent        time.Time // When the request began on the connection.
		Lost        time.Time // When the connection was found closed.
		// MayBeFull says that the target has reset the connection, and that targets of
		// its service do so when they are full.
		MayBeFull bool
	}

	// Losses finds out whether targets that closed connections during calls have
	// ended. It is safe for concurrent use. Use NewLosses.
	Losses struct {
		checks LossChecks

		mu      sync.Mutex
		watches map[incarnationKey]*lossWatch
	}

	// LossChecks are the functions of the host that Losses calls.
	LossChecks struct {
		// Ended is called with the calls at a target that has ended.
		Ended func([]LostCall)
		// Dial opens a connection to a target and closes or keeps it.
		Dial func(context.Context, netip.AddrPort) error
		// Replaced reports whether a later incarnation than the given one, of any target,
		// uses the address.
		Replaced func(uint64, netip.AddrPort) bool
		// Answered reports whether a target has answered a call since a time.
		Answered func(member.Key, time.Time) bool
	}

	// incarnationKey is one incarnation of a target.
	incarnationKey struct {
		member.Key
		incarnation uint64
	}

	// lossWatch is what is known of a target since it closed a connection.
	lossWatch struct {
		calls []LostCall // Not passed to LossChecks.Ended yet.
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

// NewLosses returns Losses that call the functions of checks.
func NewLosses(checks LossChecks) *Losses {
	return &Losses{checks: checks}
}

// Observe watches the target of a call until it is known whether it has ended, or until
// ctx ends. It does not block.
func (l *Losses) Observe(ctx context.Context, c LostCall) {
	key := incarnationKey{c.Target, c.Incarnation}
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
		go l.run(ctx, key, c.Address)
	}
	if watch.ended {
		l.mu.Unlock()
		l.checks.Ended([]LostCall{c})
		return
	}
	watch.calls = append(watch.calls, c)
	l.mu.Unlock()
}

// run checks whether a target has ended, passes its calls on if so, and forgets it after
// replacedChecks periods, so that calls whose loss is noticed later are treated alike.
func (l *Losses) run(ctx context.Context, key incarnationKey, address netip.AddrPort) {
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
		if !ended && l.checks.Replaced(key.incarnation, address) {
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
func (l *Losses) refuses(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	return errors.Is(l.checks.Dial(ctx, address), syscall.ECONNREFUSED)
}

// finish passes the calls of a target that has ended on.
func (l *Losses) finish(key incarnationKey) {
	l.mu.Lock()
	watch := l.watches[key]
	calls := watch.calls
	watch.calls, watch.ended = nil, true
	l.mu.Unlock()
	if len(calls) > 0 {
		l.checks.Ended(calls)
	}
}

// spare drops the calls that a full target has reset which has answered others since: they are
// not lost with it if it ends later.
func (l *Losses) spare(key incarnationKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	watch := l.watches[key]
	watch.calls = slices.DeleteFunc(watch.calls, func(c LostCall) bool { return c.MayBeFull && l.checks.Answered(key.Key, c.Lost) })
}

// sleep waits for d and reports false when ctx has ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
