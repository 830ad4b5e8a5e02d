package setup

import (
	"time"

	"cardamomspool/core/halt"
	"cardamomspool/core/strict"
)

// BalancerCheck is the health check by which the load balancer in front of an entry host
// decides whether to send it connections. The zero value means that it is not known.
type BalancerCheck struct {
	// Interval is the time between two checks.
	Interval strict.Duration `json:"interval"`
	// Failures is the number of failed checks in a row after which the balancer sends no
	// connections.
	Failures int `json:"failures"`
}

// Bounds of BalancerCheck.
const (
	MaxCheckInterval = time.Minute
	MaxCheckFailures = 100
)

// maxStreamGrace bounds the time between the cut and the exit of a control host that does not
// know how long its stop may take.
const maxStreamGrace = time.Second

// Phases returns the moments of a stop of the host. It accepts no requests after the signal.
// Between the cut and the exit, other hosts get the last updates.
func (s *Control) Phases() halt.Phases {
	p := halt.Host{Time: s.StopTime.Std(), Grace: s.StopGrace.Std()}.Phases()
	if s.StopTime == 0 {
		p.Exit += min(s.StopGrace.Std(), maxStreamGrace)
	}
	return p
}

// Phases returns the moments of a stop of the host.
func (s *Entry) Phases() halt.Phases {
	return halt.Host{
		Time: s.StopTime.Std(), Drain: s.DrainDelay.Std(), Grace: s.StopGrace.Std(),
		Check: halt.Check{Interval: s.BalancerCheck.Interval.Std(), Failures: s.BalancerCheck.Failures},
	}.Phases()
}

// validateStop adds the faults of the settings of a stop to f.
func (s *Entry) validateStop(f *strict.Faults) {
	f.CheckDurationRange("drain_delay", s.DrainDelay, 0, MaxStopTime)
	f.CheckDurationRange("stop_grace", s.StopGrace, 0, MaxStopTime)
	f.CheckDurationRange("balancer_check.interval", s.BalancerCheck.Interval, 0, MaxCheckInterval)
	f.CheckRange("balancer_check.failures", s.BalancerCheck.Failures, 0, MaxCheckFailures)
	if (s.BalancerCheck.Interval == 0) != (s.BalancerCheck.Failures == 0) {
		f.Add("balancer_check", "has interval %s and failures %d, must have both above 0, or neither",
			s.BalancerCheck.Interval.Std(), s.BalancerCheck.Failures)
	}
	if s.StopTime < strict.Duration(MinStopTime) || s.BalancerCheck != (BalancerCheck{}) {
		return
	}
	if most := halt.MaxDrain(s.StopTime.Std()); s.DrainDelay.Std() >= most {
		f.Add("drain_delay", "is %s, which leaves nothing for open calls: with a stop_time of %s it must be below %s, or balancer_check set",
			s.DrainDelay.Std(), s.StopTime.Std(), most)
	}
}
