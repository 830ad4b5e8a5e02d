package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/io/clock"
	"cardamomspool/io/telem"
)

// keyLease holds the lease under which this host accepts keys, and renews it. Without a
// length it always holds. It is safe for concurrent use.
type keyLease struct {
	length  time.Duration
	retry   time.Duration        // The time between two questions without a lease; see minQuestionInterval.
	clock   func() time.Duration // Reads the clock of the lease.
	log     *slog.Logger
	metrics *telem.Registry
	wake    chan struct{} // Holds a value when a question is due before its time.
	first   chan struct{} // Closed when the lease holds for the first time.

	mu     sync.Mutex
	lease  *keys.Lease
	needed bool                // The plan in force has accounts.
	held   bool                // The lease held when it was last looked at.
	known  bool                // It has been held before.
	asked  map[netip.Addr]bool // The hosts that the last question was sent to.
}

const (
	// questionsPerLease is the number of questions in the length of a lease. The lease thus
	// lasts for at least three quarters of its length, less keys.Margin, after the control
	// hosts are lost.
	questionsPerLease = 4
	// minQuestionInterval is the time between two questions of a host that has no lease. A
	// fleet of 119 such hosts asks each control host 476 times a second.
	minQuestionInterval = 250 * time.Millisecond
	// missedInterval is the time between two checks of a host that has no lease for voting
	// hosts that it has begun to follow since the last question. After a loss of power the
	// last host of a majority is often heard just after that.
	missedInterval = 20 * time.Millisecond
	// answerTimeoutDivisor is the part of the lease in which an answer must arrive; a later
	// one would be of little use.
	answerTimeoutDivisor = 2
)

func newKeyLease(length time.Duration, log *slog.Logger, metrics *telem.Registry) *keyLease {
	return &keyLease{
		length: length, retry: minQuestionInterval, clock: clock.SinceBoot, log: log, metrics: metrics,
		wake: make(chan struct{}, 1), first: make(chan struct{}), lease: keys.NewLease(length),
		asked: make(map[netip.Addr]bool),
	}
}

// holds reports whether keys may be accepted now. If not, it has a question sent soon.
func (l *keyLease) holds() bool {
	if l.length == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observe() {
		return true
	}
	l.wakeUp()
	return false
}

// awaitFirst waits until the lease holds for the first time, as awaitAll says, and returns
// the time that it has waited.
func (l *keyLease) awaitFirst(ctx context.Context, timeout time.Duration) time.Duration {
	if l.length == 0 || isClosed(l.first) {
		return 0
	}
	begin := time.Now()
	awaitAll(ctx, timeout, l.first)
	return time.Since(begin)
}

// setPlan takes note of a plan that comes into force.
func (l *keyLease) setPlan(p *plan.Plan) {
	if l.length == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.SetVersion(p.Version)
	l.needed = len(p.Accounts) > 0
	l.observe()
	l.wakeUp()
}

// wakeUp has a question sent before its time.
func (l *keyLease) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default: // One is due already.
	}
}

// answered records the answer of a control host to a question that was sent at asked.
func (l *keyLease) answered(host netip.Addr, asked time.Duration, a keys.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.Answer(host, asked, a)
	l.observe()
}

// observe reports whether the lease holds, and logs and counts a change of that. The
// caller holds mu.
func (l *keyLease) observe() bool {
	now := l.clock()
	holds := l.lease.Holds(now)
	if holds == l.held {
		return holds
	}
	l.held = holds
	end, _ := l.lease.End()
	if holds {
		if !l.known {
			l.known = true
			close(l.first)
		}
		l.log.Info("key lease renewed", "ends_after", (end - now).String())
	} else if l.needed {
		l.metrics.Counter("key_leases_ended").Add(1)
		l.log.Warn("key lease ended", "ended_before", (now - end).String())
	}
	return holds
}

// next returns the time between the last question and the next one, and the time until the
// lease ends. It returns 0 for the first when no question is needed, and for the second
// without a lease.
func (l *keyLease) next() (interval, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	holds := l.observe()
	if holds {
		end, _ := l.lease.End()
		left = max(end-l.clock(), time.Millisecond)
	}
	switch {
	case !l.needed:
		return 0, left
	case !holds:
		return l.retry, 0
	}
	return l.length / questionsPerLease, left
}

// beginQuestion records that a question is sent to all voting hosts.
func (l *keyLease) beginQuestion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.asked)
}

// claim reports whether the last question has not been sent to host yet, and records that
// it is sent now.
func (l *keyLease) claim(host netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	missed := !l.asked[host]
	l.asked[host] = true
	return missed
}

// run sends questions with ask until ctx ends. ask must not block; it sends one question
// to the voting hosts that claim returns true for, and passes on their answers, with the
// time at which it was sent.
func (l *keyLease) run(ctx context.Context, ask func(asked time.Duration)) {
	if l.length == 0 {
		return
	}
	var (
		last    time.Time
		checked time.Time // When missed hosts were looked for last.
		early   bool      // The next question is due retry after the last one.
	)
	for ctx.Err() == nil {
		interval, left := l.next()
		var due, missed, ended <-chan time.Time
		if early && interval > 0 {
			interval = l.retry
		}
		if interval > 0 {
			due = time.After(time.Until(last.Add(interval)))
		}
		if interval > 0 && left == 0 && !last.IsZero() {
			missed = time.After(time.Until(checked.Add(missedInterval)))
		}
		if left > 0 {
			ended = time.After(left)
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
		case <-l.wake:
			early = true
		case <-missed:
			checked = time.Now()
			ask(l.clock())
		case <-due:
			last, early = time.Now(), false
			l.beginQuestion()
			ask(l.clock())
		}
	}
}

// askVoters sends a question to the voting hosts that this host follows and that the last
// one has not been sent to, in parallel.
func (f *fleet) askVoters(ctx context.Context, asked time.Duration) {
	l := f.lease
	epoch, members := f.voterAddresses()
	l.mu.Lock()
	l.lease.SetView(epoch, members)
	l.mu.Unlock()
	f.follower.Confirm(ctx, l.length/answerTimeoutDivisor, l.claim, func(host netip.Addr, a keys.Answer) { l.answered(host, asked, a) })
}
