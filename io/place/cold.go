package place

import (
	"net/netip"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/rank"
	"cardamomspool/core/route"
)

// ColdConfig bounds the calls to targets that are cold, see route.NewColdLimit.
type ColdConfig struct {
	Overshoot, Slack float64
	// Informed reports whether this host hears a majority of the control hosts; nil means
	// that it does.
	Informed func() bool
	// OnCold, unless nil, is called for each answer to a probe by which a target stays cold
	// until a time.
	OnCold func(target string, until time.Time)
}

// informed returns the result of Informed. The caller does not hold the lock of the Server.
func (c ColdConfig) informed() bool {
	return c.Informed == nil || c.Informed()
}

// fullColdPositions is the number of control hosts, in the order of a service, that get the
// whole limit of a deciding host: the second one decides when the first one is lost.
const fullColdPositions = 2

// ColdLimit returns the limit of this host for calls to cold targets of a service that take
// rate calls a second, when the given control hosts may decide for the service too. After a
// start, several may do so for a moment: from the third one in the order on, each has half of
// what the one before it has, beginning with what the overshoot leaves.
func (c Config) ColdLimit(service string, rate float64, controls []netip.AddrPort, informed bool) route.ColdLimit {
	position := rank.Position(service, c.Self, controls)
	if position < fullColdPositions {
		return route.NewColdLimit(rate, c.Cold.Overshoot, c.Cold.Slack, informed)
	}
	return route.NewColdLimit(rate, c.Cold.Overshoot, c.Cold.Slack, false).Scaled(rank.Share(position - fullColdPositions))
}

// coldLimit returns the limit for calls to cold targets of a service. The caller holds mu.
func (s *Server) coldLimit(name string) route.ColdLimit {
	if s.plan == nil {
		return route.ColdLimit{}
	}
	for i := range s.plan.Services {
		if v := &s.plan.Services[i]; v.Name == name {
			return s.cfg.ColdLimit(name, v.WarmRate, s.controls, s.informed)
		}
	}
	return route.ColdLimit{}
}

// reportCold passes on what a probe has told of a cold target.
func (c ColdConfig) reportCold(r engine.ProbeReport) {
	if c.OnCold != nil && r.Probe.WarmFor > 0 {
		c.OnCold(r.Target, time.Now().Add(r.Probe.WarmFor))
	}
}

// limitCold puts the limit for calls to cold targets in force at a service's actor, if it
// has changed. The caller holds mu.
func (s *Server) limitCold(name string, v *service) {
	if l := s.coldLimit(name); l != v.cold {
		v.cold = l
		s.system.Root.Send(v.pid, engine.SetColdLimit{Limit: l})
	}
}

// adaptColdLimits adapts the limits for calls to cold targets to the control hosts that are
// known, and to whether this host hears a majority of them.
func (s *Server) adaptColdLimits() {
	informed := s.cfg.Cold.informed() // Not under mu, see SetTargets.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.informed = informed
	for name, v := range s.services {
		s.limitCold(name, v)
	}
}
