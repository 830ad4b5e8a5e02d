package entry

import (
	"slices"
	"time"
)

type (
	// phase is a part of a call's time at this host.
	phase int

	// timing says where the time of a call went. Only the goroutine that handles the call
	// uses it.
	timing struct {
		spent [phases]time.Duration
		phase phase // The current phase; since is when it began.
		since time.Time
	}

	// marks are the times at which an attempt has come further; zero for not yet.
	marks struct {
		begun     time.Time
		connected time.Time
		written   time.Time // When the last byte of the request was written.
		answered  time.Time // When the header of the answer arrived.
	}
)

// The phases of a call, in the order in which it passes them. The times in phaseEarlier are
// those of attempts before the last one.
const (
	phasePlan phase = iota
	phaseBody
	phaseDecision
	phaseHeld
	phaseEarlier
	phaseConnect
	phaseWrite
	phaseTarget
	phaseReceive
	phases
)

// phaseKeys holds the log field of each phase, with times in microseconds.
var phaseKeys = [phases]string{
	"plan_us", "body_us", "decision_us", "queue_us", "earlier_us", "connect_us", "write_us", "target_us", "receive_us",
}

// newTiming returns the times of a call whose body is read from now on, and which has waited
// for the plan and the key lease for the time waited.
func newTiming(waited time.Duration, now time.Time) timing {
	t := timing{phase: phaseBody, since: now}
	t.spent[phasePlan] = waited
	return t
}

// enter ends the current phase.
func (t *timing) enter(p phase, now time.Time) {
	t.spent[t.phase] += now.Sub(t.since)
	t.phase, t.since = p, now
}

// beginAttempt ends the wait for a decision. The time of an attempt before is then that of
// an earlier one.
func (t *timing) beginAttempt(now time.Time) {
	for p := phaseConnect; p < phases; p++ {
		t.spent[phaseEarlier] += t.spent[p]
		t.spent[p] = 0
	}
	t.enter(phaseConnect, now)
}

// endAttempt divides the time since beginAttempt by how far the attempt came. In a race the
// time before m.begun is that of an earlier attempt.
func (t *timing) endAttempt(m marks, now time.Time) {
	if m.begun.After(t.since) {
		t.spent[phaseEarlier] += m.begun.Sub(t.since)
		t.since = m.begun
	}
	for _, step := range []struct {
		next  phase
		begin time.Time
	}{{phaseWrite, m.connected}, {phaseTarget, m.written}, {phaseReceive, m.answered}} {
		if step.begin.After(t.since) {
			t.enter(step.next, step.begin)
		} else if !step.begin.IsZero() {
			t.phase = step.next
		}
	}
	t.enter(phaseDecision, now)
}

// attrs returns the log fields of the phases.
func (t *timing) attrs(now time.Time) []any {
	t.enter(t.phase, now)
	list := make([]any, 0, 2*phases)
	for p, key := range phaseKeys {
		list = append(list, key, t.spent[p].Microseconds())
	}
	return list
}

// aim returns the aim of the call's route or service, without a deduction for earlier
// requests of the caller.
func (c *call) aim() time.Duration {
	if route := c.admission.route; route != nil {
		return route.Aim.Std()
	}
	return c.class.Aim
}

// classAttrs returns the log fields that name the class of a call.
func (c *call) classAttrs() []any {
	return []any{"rank", c.class.RouteRank, "aim", c.aim().String()}
}

// logAnswered logs an answered call that is not within its aim, or whose answer says that
// the target failed, if it is sampled.
func (h *Host) logAnswered(a *attempt) {
	c, now := a.call, time.Now()
	failed := slices.Contains(failureStatuses, a.status)
	late := c.aim() > 0 && (c.class.Late || now.Sub(c.arrived) > c.class.Aim)
	if !failed && !late || !h.sampled() {
		return
	}
	if failed {
		h.log.Info("failure passed on", "call", c.name, "service", c.service.doc.Name, "target", a.target, "status", a.status)
		return
	}
	h.log.With(c.classAttrs()...).With(c.timing.attrs(now)...).Info("answered late", "call", c.name, "service", c.service.doc.Name,
		"target", a.target, "returned", c.class.Returned, "late_before", c.class.Late, "after", now.Sub(c.arrived).String())
}
