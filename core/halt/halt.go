package halt

import "time"

type (
	// Host is what is known about the stop of a host.
	Host struct {
		// Time is the time from the signal to stop until the supervisor ends the process
		// by force; 0 if it is not known.
		Time time.Duration
		// Check is the health check of the balancer in front of the host, from which the
		// drain is derived; the zero value if it is not known.
		Check Check
		// Drain is the time from the signal to the end of the drain. It is used only
		// without Check.
		Drain time.Duration
		// Grace is the time from the end of the drain to the cut. It is used only without
		// Time.
		Grace time.Duration
	}

	// Check is a periodic health check.
	Check struct {
		// Interval is the time between two checks.
		Interval time.Duration
		// Failures is the number of failed checks in a row after which a host gets no
		// connections.
		Failures int
	}

	// Phases are the moments of a stop, each as the time since the signal to stop. None is
	// before the one above it.
	Phases struct {
		// Drain is when the host ceases to accept connections. Calls that it reads later
		// are accepted only if their deadlines are not after Refuse.
		Drain time.Duration
		// Refuse is when calls that are at no target are refused.
		Refuse time.Duration
		// Cut is when the calls that are left are cut off.
		Cut time.Duration
		// Exit is when connections that carry no calls, such as those of operators, are
		// closed.
		Exit time.Duration
	}
)

const (
	// The reserve for the exit is the part reserveDivisor of the time of the stop, up to
	// maxReserve. A process with a fraction of a core then closes its connections, ends
	// its background work and writes its last log lines.
	reserveDivisor = 10
	maxReserve     = time.Second

	// Calls that are held are refused the part refuseDivisor of the time of the stop, up to
	// maxRefuseTime, before the cut, so that the answers reach their callers.
	refuseDivisor = 20
	maxRefuseTime = 500 * time.Millisecond
)

// Delay returns the time after which a balancer that checks a host has noticed that it is
// not ready, with half an interval for the last check to be answered.
func (c Check) Delay() time.Duration {
	return time.Duration(c.Failures)*c.Interval + c.Interval/2
}

// Reserve returns the time that the exit of a process may take, of the time that its
// supervisor grants for the whole stop.
func Reserve(stopTime time.Duration) time.Duration {
	return min(stopTime/reserveDivisor, maxReserve)
}

// Phases returns the moments of a stop. A drain that is derived from the check takes at
// most half of the time before the cut; one given by Host.Drain is cut short only by the
// cut itself.
func (h Host) Phases() Phases {
	p := Phases{Drain: h.Drain}
	if h.Check != (Check{}) {
		p.Drain = h.Check.Delay()
	}
	if h.Time == 0 {
		p.Cut = p.Drain + h.Grace
		p.Exit = p.Cut
		p.Refuse = max(p.Cut-min(h.Grace/refuseDivisor, maxRefuseTime), p.Drain)
		return p
	}
	reserve := Reserve(h.Time)
	p.Cut, p.Exit = h.Time-reserve, h.Time-reserve/2
	p.Refuse = p.Cut - min(h.Time/refuseDivisor, maxRefuseTime)
	limit := p.Refuse
	if h.Check != (Check{}) {
		limit = p.Cut / 2
	}
	p.Drain = min(p.Drain, limit)
	return p
}

// MaxDrain returns the bound that a drain must stay below to leave time for open calls,
// for a stop that takes stopTime.
func MaxDrain(stopTime time.Duration) time.Duration {
	return Host{Time: stopTime}.Phases().Refuse
}
