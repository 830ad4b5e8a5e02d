package engine

import (
	"math/rand/v2"
	"time"

	"cardamomspool/core/admit"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
)

type (
	// Service decides for the calls of one service.
	Service struct {
		doc     spec.Service
		policy  route.Policy
		targets route.Table
		queue   admit.Queue
		calls   map[uint64]*call
		credit  float64
		rng     *rand.Rand
		records []member.Record
		expired []admit.Held
	}

	call struct {
		class    spec.Class
		arrived  time.Time
		deadline time.Time
		target   string
		tried    []string
		attempts int
		maybeRun bool
	}
)

// retryBurst is the number of retries that a service may make before its
// budget has grown from calls.
const retryBurst = 10

// NewService returns a Service that follows doc, which must be valid, and
// draws randomness from rng.
func NewService(doc spec.Service, rng *rand.Rand) *Service {
	s := &Service{calls: make(map[uint64]*call), rng: rng, credit: retryBurst}
	s.configure(doc)
	return s
}

// Handle takes one event at now, appends the actions that follow to dst and
// returns it. Time must not go back between calls.
func (s *Service) Handle(dst []Action, e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Arrive:
		return s.arrive(dst, e, now)
	case Finish:
		return s.finish(dst, e, now)
	case Cancel:
		return s.cancel(dst, e.Call, now)
	case Retarget:
		s.records = e.Records
		return s.retarget(dst, now)
	case Configure:
		s.configure(e.Document)
		return s.retarget(dst, now)
	case Tick:
		return s.tick(dst, now)
	}
	return dst
}

// Open returns the number of calls that have arrived and not ended.
func (s *Service) Open() int {
	return len(s.calls)
}

// Held returns the number of calls that wait for a target.
func (s *Service) Held() int {
	return s.queue.Len()
}

func (s *Service) configure(doc spec.Service) {
	s.doc = doc
	s.policy = route.PolicyFor(doc.Route)
	s.queue.Length = doc.Hold.Length
}

func (s *Service) arrive(dst []Action, e Arrive, now time.Time) []Action {
	if len(s.calls) >= s.doc.Refuse.OpenCalls {
		return append(dst, Refuse{Call: e.Call, Reason: TooManyOpen, NotRun: true, RetryAfter: s.retryAfter()})
	}
	c := &call{class: e.Class, arrived: now, deadline: e.Deadline}
	s.calls[e.Call] = c
	s.credit = min(s.credit+float64(s.doc.Retry.BudgetPercent)/100, retryBurst)
	if s.queue.Len() > 0 && !c.class.Patient {
		return s.hold(dst, e.Call, c, now)
	}
	return s.sendOrHold(dst, e.Call, c, now)
}

func (s *Service) finish(dst []Action, e Finish, now time.Time) []Action {
	c, ok := s.calls[e.Call]
	if !ok {
		return dst
	}
	s.targets.End(c.target)
	c.tried = append(c.tried, c.target)
	c.target = ""
	c.maybeRun = c.maybeRun || e.Result == Unknown
	switch {
	case e.Result.Final():
		delete(s.calls, e.Call)
	case s.mayRetry(c, e, now):
		s.credit--
		dst = s.sendOrHold(dst, e.Call, c, now)
	default:
		dst = s.refuse(dst, e.Call, c, failReason(e.Result))
	}
	return s.serveHeld(dst, now)
}

func failReason(r Result) Reason {
	if r == NotRun {
		return TargetsRefuse
	}
	return TargetFailed
}

func (s *Service) mayRetry(c *call, e Finish, now time.Time) bool {
	safe := e.Result == NotRun || c.class.Idempotent
	return safe && e.Replayable && c.attempts < s.doc.Retry.Attempts && s.credit >= 1 && now.Before(c.deadline)
}

func (s *Service) cancel(dst []Action, id uint64, now time.Time) []Action {
	c, ok := s.calls[id]
	if !ok {
		return dst
	}
	s.queue.Remove(id)
	s.targets.End(c.target)
	delete(s.calls, id)
	return s.serveHeld(dst, now)
}

func (s *Service) tick(dst []Action, now time.Time) []Action {
	s.expired = s.queue.Expire(s.expired[:0], now)
	for _, h := range s.expired {
		dst = s.refuse(dst, h.Call, s.calls[h.Call], WaitedTooLong)
	}
	return s.serveHeld(dst, now)
}

func (s *Service) sendOrHold(dst []Action, id uint64, c *call, now time.Time) []Action {
	pick, ok := s.targets.Choose(s.policy, s.doc.Targets.Slots, c.tried, s.rng)
	if !ok {
		return s.hold(dst, id, c, now)
	}
	return s.send(dst, id, c, pick, now)
}

func (s *Service) send(dst []Action, id uint64, c *call, pick route.Pick, now time.Time) []Action {
	s.targets.Begin(pick.Name)
	c.target = pick.Name
	c.attempts++
	return append(dst, Send{
		Call: id, Target: pick.Name, Address: pick.Address, Attempt: c.attempts,
		Candidates: pick.Candidates, Held: now.Sub(c.arrived),
	})
}

func (s *Service) hold(dst []Action, id uint64, c *call, now time.Time) []Action {
	until := now.Add(s.doc.Hold.LongestWait.Std())
	if c.deadline.Before(until) {
		until = c.deadline
	}
	h := admit.Held{Call: id, Weight: c.class.Weight, Until: until, Patient: c.class.Patient}
	if err := s.queue.Push(h); err != nil {
		reason := QueueFull
		if s.targets.Ready() == 0 {
			reason = NoTarget
		}
		return s.refuse(dst, id, c, reason)
	}
	return dst
}

func (s *Service) serveHeld(dst []Action, now time.Time) []Action {
	for s.queue.Len() > 0 {
		pick, ok := s.targets.Choose(s.policy, s.doc.Targets.Slots, nil, s.rng)
		if !ok {
			return dst
		}
		h, _ := s.queue.Pop()
		dst = s.send(dst, h.Call, s.calls[h.Call], pick, now)
	}
	return dst
}

func (s *Service) refuse(dst []Action, id uint64, c *call, reason Reason) []Action {
	delete(s.calls, id)
	return append(dst, Refuse{Call: id, Reason: reason, NotRun: !c.maybeRun, RetryAfter: s.retryAfter()})
}

func (s *Service) retryAfter() time.Duration {
	return s.doc.Refuse.RetryAfter.Std()
}
