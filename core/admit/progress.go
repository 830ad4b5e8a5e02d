package admit

import (
	"math"
	"time"
)

type (
	// Busy describes the load of a service at one moment, for the measurements of Flow.
	Busy struct {
		// Waited and Idle are how long, since some fixed time, calls were queued and none
		// was.
		Waited, Idle time.Duration
		// InFlight is the number of calls at targets, without short gaps.
		InFlight int
		// CallTime is the mean time that targets take for a call.
		CallTime time.Duration
	}

	// progress measures how many calls of a rank are sent a second, and by how much its
	// virtual time advances, while calls of the rank wait. Measurements lose weight
	// exponentially in that time. While no call of the service waits, they give way to an
	// expectation: what is sent then says nothing about what could be. They stay as they
	// are while only calls of other ranks wait.
	progress struct {
		started      bool
		waited, idle time.Duration // Those of Busy at the last advance.
		seconds      float64       // The weighted time measured, in seconds.
		// calls and virtual are what was served in that time.
		calls, virtual float64
		// expected is the time, in seconds, for which the expectation counts.
		expected float64
	}
)

const (
	// progressMemory is the time in which a measurement loses all but 1/e of its weight: a
	// few call times, as shares change when an account's burst begins or ends.
	progressMemory = 500 * time.Millisecond
	// minExpectation is the least time for which the expectation counts at first. Without
	// it, no call could wait until the slots that a surge has filled at once are free.
	minExpectation = 20 * time.Millisecond
	// minCallTime, in seconds, is used before the first answer, and minServed in place of
	// nothing served.
	minCallTime = 1e-3
	minServed   = 1e-9
	// maxWait limits estimated waits. It is longer than callers wait.
	maxWait = time.Minute
)

// advance brings the measurement to the time of busy. waiting is the number of flows with
// queued calls since the last advance.
func (p *progress) advance(busy *Busy, waiting int) {
	weight := max(busy.CallTime, minExpectation).Seconds()
	if !p.started {
		p.started, p.waited, p.idle, p.expected = true, busy.Waited, busy.Idle, weight
		return
	}
	if d := busy.Idle - p.idle; d > 0 {
		left := math.Exp(-float64(d) / float64(progressMemory))
		p.keep(left)
		p.expected += weight * (1 - left)
		p.idle = busy.Idle
	}
	if d := busy.Waited - p.waited; d > 0 && waiting > 0 {
		left := math.Exp(-float64(d) / float64(progressMemory))
		p.keep(left)
		p.seconds += progressMemory.Seconds() * (1 - left)
	}
	p.waited = busy.Waited
}

// keep reduces all weights to the given part.
func (p *progress) keep(part float64) {
	p.seconds *= part
	p.calls *= part
	p.virtual *= part
	p.expected *= part
}

// count records that a queued call was sent, which advanced the virtual time by gain.
func (p *progress) count(gain float64) {
	p.calls++
	p.virtual += gain
}

// wait returns the time in which the given number of calls of the rank of c is sent and the
// virtual time advances by distance, at most maxWait. work is that of one call. The
// expectation is that all slots in use serve the rank, and the waiting flows equally: by
// Little's law, InFlight/CallTime calls a second end. The virtual time advances at least as
// fast as it does when all flows wait.
func (p *progress) wait(calls, distance float64, c *clock, work float64) time.Duration {
	slots := float64(c.busy.InFlight) * p.expected
	served := p.calls + slots/max(c.busy.CallTime.Seconds(), minCallTime)
	wait := calls / max(served, minServed)
	if distance > 0 {
		virtual := max(p.virtual+slots/float64(max(c.waiting, 1)), served*work/float64(max(c.flows, 1)))
		wait = max(wait, distance/max(virtual, minServed))
	}
	return time.Duration(min(wait*(p.seconds+p.expected), maxWait.Seconds()) * float64(time.Second))
}
