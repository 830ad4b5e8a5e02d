package links

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// renewals bounds the new connections to each target that are opened because it has refused
// calls, and not for lack of an idle one. An answer to a call that was not refused pays for
// one, so that only targets that refuse most calls reach the bound. It is safe for concurrent
// use. The zero value is ready to use.
type renewals struct {
	mu sync.Mutex
	// paid holds, by target, the time at which the renewals so far, each of which takes
	// renewalInterval, will be paid for.
	paid map[netip.AddrPort]time.Time
}

const (
	// renewalInterval is the time that pays for a renewal. The port of a closed connection
	// stays in use for a minute, and the system has 28,000 ports for one target.
	renewalInterval = 5 * time.Millisecond
	// maxUnpaid is the time by which renewals may be ahead.
	maxUnpaid = time.Second
)

// ErrRefusing says that no connection was opened, since the target refuses calls so often that
// too many were. Its text is in logs.
var ErrRefusing = errors.New("entry: too many connections for a target that refuses calls")

// count records a renewal of a connection to address.
func (r *renewals) count(address netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paid == nil {
		r.paid = make(map[netip.AddrPort]time.Time)
	}
	begin := r.paid[address]
	if begin.Before(now) {
		begin = now
	}
	r.paid[address] = begin.Add(renewalInterval)
}

// pay records an answer of the target at address that is no refusal.
func (r *renewals) pay(address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if paid, ok := r.paid[address]; ok {
		r.paid[address] = paid.Add(-renewalInterval)
	}
}

// exceeded reports whether too many connections to address were renewed.
func (r *renewals) exceeded(address netip.AddrPort, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paid[address].Sub(now) > maxUnpaid
}

// expire forgets the targets whose renewals are paid for.
func (r *renewals) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, paid := range r.paid {
		if paid.Before(now) {
			delete(r.paid, address)
		}
	}
}

// mayDial reports whether a connection to address may be opened, as far as the refusals of the
// target go. A fresh one counts as a renewal.
func (p *pool) mayDial(address netip.AddrPort, fresh bool, now time.Time) bool {
	if p.renewals.exceeded(address, now) {
		p.metrics.Counter("attempts_without_connection").Add(1)
		return false
	}
	if fresh {
		p.renewals.count(address, now)
	}
	return true
}

// NoteRefusal records that the target has refused the current request of c, and whether the
// response named the request. If not, c must carry no other request, since the target may
// write the refusal again.
func (p *pool) NoteRefusal(c *Conn, named bool) {
	c.mu.Lock()
	c.refused = true
	c.mu.Unlock()
	if !named {
		p.metrics.Counter("refusals_unnamed").Add(1)
		p.renewals.count(c.address, time.Now())
	}
}

// NoteAnswer records that the target at address has answered a call and not refused it.
func (p *pool) NoteAnswer(address netip.AddrPort) {
	p.renewals.pay(address)
}

// Refused reports whether the target has refused an earlier request.
func (c *Conn) Refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}
