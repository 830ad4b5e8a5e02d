package place

import (
	"cardamomspool/core/engine"
	"cardamomspool/core/route"
)

// ColdConfig bounds the calls to targets that are cold, see route.NewColdLimit.
type ColdConfig struct {
	Overshoot, Slack float64
	// Informed reports whether this host hears a majority of the control hosts; nil means
	// that it does.
	Informed func() bool
}

// informed returns the result of Informed. The caller does not hold the lock of the Server.
func (c ColdConfig) informed() bool {
	return c.Informed == nil || c.Informed()
}

// coldLimit returns the limit for calls to cold targets of a service. The caller holds mu.
func (s *Server) coldLimit(name string) route.ColdLimit {
	if s.plan == nil {
		return route.ColdLimit{}
	}
	for i := range s.plan.Services {
		if v := &s.plan.Services[i]; v.Name == name {
			return route.NewColdLimit(v.WarmRate, s.cfg.Cold.Overshoot, s.cfg.Cold.Slack, s.informed)
		}
	}
	return route.ColdLimit{}
}

// limitCold puts the limit for calls to cold targets in force at a service's actor, if it
// has changed. The caller holds mu.
func (s *Server) limitCold(name string, v *service) {
	if l := s.coldLimit(name); l != v.cold {
		v.cold = l
		s.system.Root.Send(v.pid, engine.SetColdLimit{Limit: l})
	}
}

// adaptColdLimits adapts the limits for calls to cold targets to whether this host hears a
// majority of the control hosts.
func (s *Server) adaptColdLimits() {
	informed := s.cfg.Cold.informed() // Not under mu, see SetTargets.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.informed = informed
	for name, v := range s.services {
		s.limitCold(name, v)
	}
}
