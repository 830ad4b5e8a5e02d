package keys

import (
	"net/netip"
	"slices"
	"time"

	"cardamomspool/core/voter"
)

type (
	// Answer is what a control host says of the plan that it has accepted.
	Answer struct {
		// Epoch is that of the view in which the host votes; 0 when it does not vote.
		Epoch uint64
		// Version is that of the plan that the host has accepted.
		Version uint64
		// Ended is true when the accepted value ends the view.
		Ended bool
	}

	// datedAnswer is an Answer to a question that was sent at asked.
	datedAnswer struct {
		Answer
		asked time.Duration
	}

	// Lease is the time in which a host may accept the keys of the plan that it has in
	// force. It is renewed by answers of control hosts. A majority of one view that has
	// accepted no newer plan, nor a value that ends the view, shows that no newer plan
	// had been acknowledged when the earliest of these questions was sent: a majority
	// accepts a plan before that, and any two majorities share a host. A key that a later
	// plan withdraws is thus not accepted after the length of the lease.
	//
	// All times are readings of one clock, which must go on while the machine is
	// suspended. Use NewLease. It is not safe for concurrent use.
	Lease struct {
		length  time.Duration
		epoch   uint64
		members []netip.Addr
		version uint64
		answers map[netip.Addr]datedAnswer
		granted bool
		end     time.Duration // Valid when granted is set.
	}
)

// Margin is subtracted from the length of a lease, for clocks of different rates and for
// the time between a check of the lease and the arrival of the call at its target.
const Margin = 250 * time.Millisecond

// NewLease returns a lease that is not held yet. length is how long after its withdrawal
// a key may be accepted; it must be above Margin.
func NewLease(length time.Duration) *Lease {
	return &Lease{length: length, answers: make(map[netip.Addr]datedAnswer)}
}

// SetView sets the voting hosts of the newest known view. Answers of an earlier view no
// longer count; a lease that is held stays so.
func (l *Lease) SetView(epoch uint64, members []netip.Addr) {
	if epoch == l.epoch {
		return
	}
	l.epoch, l.members = epoch, slices.Clone(members)
	for host := range l.answers {
		if !slices.Contains(l.members, host) {
			delete(l.answers, host)
		}
	}
	l.renew()
}

// SetVersion sets the version of the plan in force, which must not decrease.
func (l *Lease) SetVersion(version uint64) {
	l.version = version
	l.renew()
}

// Answer records the answer of a control host to a question that was sent at asked. It
// ignores an answer to an earlier question than the last one, and one of a host that is
// not in the view.
func (l *Lease) Answer(host netip.Addr, asked time.Duration, a Answer) {
	if known, ok := l.answers[host]; ok && known.asked > asked || !slices.Contains(l.members, host) {
		return
	}
	l.answers[host] = datedAnswer{Answer: a, asked: asked}
	l.renew()
}

// Holds reports whether keys may be accepted at now.
func (l *Lease) Holds(now time.Duration) bool {
	return l.granted && now < l.end
}

// End returns when the lease ends or has ended, and false if it was never held.
func (l *Lease) End() (time.Duration, bool) {
	return l.end, l.granted
}

// renew extends the lease as far as the answers allow. What they have shown stays true, so
// that the lease never gets shorter.
func (l *Lease) renew() {
	if l.epoch == 0 || l.version == 0 || len(l.members) == 0 {
		return
	}
	var starts []time.Duration
	for _, host := range l.members {
		a, ok := l.answers[host]
		if ok && a.Epoch == l.epoch && !a.Ended && a.Version <= l.version {
			starts = append(starts, a.asked)
		}
	}
	need := voter.Majority(len(l.members))
	if len(starts) < need {
		return
	}
	slices.Sort(starts)
	end := starts[len(starts)-need] + l.length - Margin
	if !l.granted || end > l.end {
		l.granted, l.end = true, end
	}
}
