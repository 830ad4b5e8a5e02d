package feed

import (
	"log/slog"
	"sync"

	"cardamomspool/core/plan"
)

// plans holds the plan in force; its version is its change number. It has a lock of its own,
// which it holds during the callback of OnPlan.
type plans struct {
	onPlan func(p *plan.Plan)

	mu      sync.Mutex
	plan    *plan.Plan
	encoder planEncoder // Of plan, for followers.
}

// OnPlan sets a callback for new plans. Calls do not overlap. The callback must
// not call methods of the State.
func OnPlan(f func(p *plan.Plan)) Option {
	return func(s *State) { s.plans.onPlan = f }
}

// put puts a plan in force if its version is higher than that of the plan in force, and
// reports whether it did. The plan is not seen in force before onPlan has returned: what
// this host confirms about it holds for its calls.
func (t *plans) put(p *plan.Plan, log *slog.Logger) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan != nil && p.Version <= t.plan.Version {
		return false
	}
	t.plan = p
	log.Info("plan in force", "version", p.Version, "routes", len(p.Routes), "services", len(p.Services))
	if t.onPlan != nil {
		t.onPlan(p)
	}
	return true
}

// get returns the plan in force, or nil.
func (t *plans) get() *plan.Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan
}

// SetPlan puts a plan in force if its version is higher than that of the plan in
// force, and reports whether it did. The caller must not modify the plan
// afterwards.
func (s *State) SetPlan(p *plan.Plan) bool {
	if !s.plans.put(p, s.log) {
		return false
	}
	s.waker.notifyUrgent()
	return true
}

// Plan returns the plan in force, or nil. The caller must not modify it.
func (s *State) Plan() *plan.Plan {
	return s.plans.get()
}

// planVersion returns the version of the plan in force, or 0.
func (s *State) planVersion() uint64 {
	if p := s.Plan(); p != nil {
		return p.Version
	}
	return 0
}

// encodedPlan returns a plan in JSON, or nothing when it cannot be encoded.
func (s *State) encodedPlan(p *plan.Plan) []byte {
	text, err := s.plans.encoder.json(p)
	if err != nil {
		s.log.Error("plan could not be encoded", "version", p.Version, "error", err)
	}
	return text
}
