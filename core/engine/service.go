package engine

import (
	"math/rand/v2"
	"slices"
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
		budget  admit.Budget
		rng     *rand.Rand
		// reportHolds has held calls told of by a Hold.
		reportHolds bool
		records     []member.Record
		expired     []admit.Held
		passed      []admit.Held
	}

	// Option sets one property of a Service.
	Option func(*Service)

	call struct {
		class    spec.Class
		from     string
		arrived  time.Time
		waits    time.Time // Since when the call has waited for a target.
		deadline time.Time
		target   string
		sent     time.Time
		tried    []string
		attempts int
		sheds    int
		maybeRun bool
	}
)

const (
	// retryBurst is the number of retries that a service may make before its
	// budget has grown from calls.
	retryBurst = 10
	// maxSheds is the number of targets that may shed a call before it is
	// refused. A shed costs no retry budget: the target did not run the call,
	// and is left alone for a while.
	maxSheds = 100
	// relaxedMeans is the number of mean answer times from which an aim counts
	// as much later than the usual answer.
	relaxedMeans = 4
	// leastWaitPart is the part of its aim that a call may wait in any case:
	// a short wait costs its caller nothing.
	leastWaitPart = 8
	// lateWaitPart is the part of its aim that a late call may wait.
	lateWaitPart = 4
	// lateRank puts late calls behind all ranks that plans use.
	lateRank = 1000
	// overdueMeans is the number of mean answer times that a target must have
	// had before a passed deadline counts against it.
	overdueMeans = 4
)

// WithDataCentre names the data centre of the entry host.
func WithDataCentre(name string) Option {
	return func(s *Service) { s.targets.SetDataCentre(name) }
}

// WithHolds has the Service tell of every call that it holds by a Hold.
func WithHolds() Option {
	return func(s *Service) { s.reportHolds = true }
}

// NewService returns a Service that follows doc, which must be valid, and
// draws randomness from rng.
func NewService(doc spec.Service, rng *rand.Rand, opts ...Option) *Service {
	s := &Service{calls: make(map[uint64]*call), rng: rng, credit: retryBurst}
	for _, opt := range opts {
		opt(s)
	}
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
		return s.cancel(dst, e, now)
	case Retarget:
		s.records = e.Records
		return s.retarget(dst, now)
	case Configure:
		s.configure(e.Document)
		return s.retarget(dst, now)
	case Report:
		s.targets.Report(e.Target, e.Probe, now)
		return s.serveHeld(dst, now)
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
	s.budget.Window = doc.Retry.Window.Std()
	s.budget.Ratio = float64(doc.Retry.BudgetPercent) / 100
	s.budget.Slack = float64(doc.Retry.Slack)
}

func (s *Service) arrive(dst []Action, e Arrive, now time.Time) []Action {
	if len(s.calls) >= s.doc.Refuse.OpenCalls {
		return append(dst, Refuse{Call: e.Call, Reason: TooManyOpen, NotRun: true, RetryAfter: s.retryAfter()})
	}
	c := &call{class: e.Class, from: e.DataCentre, arrived: now, waits: now, deadline: e.Deadline}
	s.calls[e.Call] = c
	s.budget.Call(now)
	s.credit = min(s.credit+float64(s.doc.Retry.BudgetPercent)/100, retryBurst)
	if s.queue.Len() > 0 {
		return s.serveHeld(s.hold(dst, e.Call, c, now), now)
	}
	return s.sendOrHold(dst, e.Call, c, now)
}

func (s *Service) finish(dst []Action, e Finish, now time.Time) []Action {
	c, ok := s.calls[e.Call]
	if !ok || c.target == "" {
		return dst
	}
	s.targets.End(c.target, e.Feedback, now.Sub(c.sent), now)
	c.tried = append(c.tried, c.target)
	c.target = ""
	c.maybeRun = c.maybeRun || e.Result == Unknown
	shed := e.Result == NotRun && e.Feedback.Ending == route.Shed
	if shed {
		c.sheds++
	}
	switch {
	case e.Result.Final():
		delete(s.calls, e.Call)
	case shed && s.mayMove(c, e, now):
		dst = s.sendOrReturn(dst, e.Call, c, now)
	case s.mayRetry(c, e, now):
		dst = s.sendOrReturn(dst, e.Call, c, now)
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

// mayMove reports whether a call that a target has shed may go elsewhere. A
// shed costs the targets next to nothing, so it draws on no budget; a document
// that allows one attempt allows no move either.
func (s *Service) mayMove(c *call, e Finish, now time.Time) bool {
	return s.doc.Retry.Window == 0 && s.mayRepeat(c, e, now) && c.sheds < maxSheds
}

// mayRetry reports whether a call may be sent once more, and draws on the
// budget if so.
func (s *Service) mayRetry(c *call, e Finish, now time.Time) bool {
	safe := e.Result == NotRun || c.class.Idempotent
	if !safe || !s.mayRepeat(c, e, now) {
		return false
	}
	if s.doc.Retry.Window > 0 {
		return c.attempts < s.attempts(c) && s.budget.Repeat(now)
	}
	if c.attempts-c.sheds >= s.attempts(c) || s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// attempts returns the most attempts of a call.
func (s *Service) attempts(c *call) int {
	if c.class.Attempts > 0 {
		return min(c.class.Attempts, s.doc.Retry.Attempts)
	}
	return s.doc.Retry.Attempts
}

// mayRepeat reports whether a call may be sent once more at all.
func (s *Service) mayRepeat(c *call, e Finish, now time.Time) bool {
	return e.Replayable && s.doc.Retry.Attempts > 1 && now.Before(c.deadline)
}

func (s *Service) cancel(dst []Action, e Cancel, now time.Time) []Action {
	c, ok := s.calls[e.Call]
	if !ok {
		return dst
	}
	s.queue.Remove(e.Call)
	var f route.Feedback
	if e.Overdue && now.Sub(c.sent) > overdueMeans*s.targets.Mean() {
		f.Ending = route.Failed
	}
	s.targets.End(c.target, f, now.Sub(c.sent), now)
	delete(s.calls, e.Call)
	return s.serveHeld(dst, now)
}

func (s *Service) tick(dst []Action, now time.Time) []Action {
	s.expired = s.queue.Expire(s.expired[:0], now)
	for _, h := range s.expired {
		dst = s.refuse(dst, h.Call, s.calls[h.Call], WaitedTooLong)
	}
	return s.serveHeld(dst, now)
}

// sendOrHold sends a new call or holds it.
func (s *Service) sendOrHold(dst []Action, id uint64, c *call, now time.Time) []Action {
	if pick, ok := s.choose(c, now); ok {
		return s.send(dst, id, c, pick, now)
	}
	return s.hold(dst, id, c, now)
}

// sendOrReturn sends a call again, to a target that it has not been to, or
// puts it at the head of the queue.
func (s *Service) sendOrReturn(dst []Action, id uint64, c *call, now time.Time) []Action {
	if pick, ok := s.choose(c, now); ok {
		return s.send(dst, id, c, pick, now)
	}
	if s.targets.Ready()+s.targets.Cold() == 0 {
		return s.refuse(dst, id, c, NoTarget)
	}
	if c.class.Aim > 0 {
		// The attempt has used up the time for an answer within the aim; the
		// call may still be answered late.
		c.class.Late, c.waits = true, now
	}
	s.queue.Return(s.held(id, c))
	return s.tellHold(dst, id)
}

func (s *Service) choose(c *call, now time.Time) (route.Pick, bool) {
	q := route.Query{Slots: s.doc.Targets.Slots, Exclude: s.avoid(c), Now: now, DataCentre: c.from}
	q.Relaxed = c.class.Aim > relaxedMeans*s.targets.Mean()
	return s.targets.Choose(s.policy, q, s.rng)
}

func (s *Service) send(dst []Action, id uint64, c *call, pick route.Pick, now time.Time) []Action {
	s.targets.Begin(pick.Name, now)
	c.target = pick.Name
	c.sent = now
	c.attempts++
	return append(dst, Send{
		Call: id, Target: pick.Name, Address: pick.Address, Attempt: c.attempts,
		Candidates: pick.Candidates, Why: pick.Why, InFlight: pick.InFlight, ReportAge: pick.ReportAge,
		Held: now.Sub(c.arrived),
	})
}

// hold queues a call that can be served in time, and refuses it otherwise.
func (s *Service) hold(dst []Action, id uint64, c *call, now time.Time) []Action {
	if s.targets.Ready()+s.targets.Cold() == 0 {
		return s.refuse(dst, id, c, NoTarget)
	}
	h := s.held(id, c)
	if now.Add(s.wait(s.queue.Ahead(h))).After(h.Until) {
		return s.refuse(dst, id, c, NoProspect)
	}
	if err := s.queue.Push(h); err != nil {
		return s.refuse(dst, id, c, QueueFull)
	}
	return s.tellHold(dst, id)
}

func (s *Service) tellHold(dst []Action, id uint64) []Action {
	if s.reportHolds {
		dst = append(dst, Hold{Call: id})
	}
	return dst
}

// held returns the queue's entry for a call. It waits until the longest wait
// is over, or until a call sent then would not end before its deadline.
//
// A call with an aim waits only as long as it can still be answered within it:
// when more calls come than the targets can answer, those that are sent are
// then in time, and the others are told early when to come back. Calls that
// are late already go behind those that are not, and wait for a short while.
func (s *Service) held(id uint64, c *call) admit.Held {
	wait, rank := s.doc.Hold.LongestWait.Std(), c.class.Rank
	switch aim := c.class.Aim; {
	case c.class.Late:
		wait, rank = min(wait, aim/lateWaitPart), rank+lateRank
	case aim > 0:
		wait = min(wait, max(aim-s.targets.Mean(), aim/leastWaitPart))
	}
	until := c.waits.Add(wait)
	if last := c.deadline.Add(-s.targets.Mean()); last.Before(until) {
		until = last
	}
	return admit.Held{Call: id, Weight: c.class.Weight, Until: until, Rank: rank, Patient: c.class.Patient}
}

// wait estimates the time until ahead calls and one more have left the queue.
func (s *Service) wait(ahead int) time.Duration {
	return admit.Wait(ahead, s.targets.InFlight(), s.targets.Mean())
}

// serveHeld sends held calls while targets have room. A call that has been to
// the targets with room waits for others, and calls behind it go first.
func (s *Service) serveHeld(dst []Action, now time.Time) []Action {
	s.passed = s.passed[:0]
	for h, ok := s.queue.Next(); ok; h, ok = s.queue.Next() {
		c := s.calls[h.Call]
		pick, found := s.choose(c, now)
		if !found && len(c.tried) == 0 {
			break
		}
		s.queue.Pop()
		if !found {
			s.passed = append(s.passed, h)
			continue
		}
		dst = s.send(dst, h.Call, c, pick, now)
	}
	for _, h := range slices.Backward(s.passed) {
		s.queue.Return(h)
	}
	return dst
}

// avoid returns the targets that a call must not go to: those that it has been
// to, unless there are no others.
func (s *Service) avoid(c *call) []string {
	if len(c.tried) >= s.targets.Ready() {
		return nil
	}
	return c.tried
}

func (s *Service) refuse(dst []Action, id uint64, c *call, reason Reason) []Action {
	delete(s.calls, id)
	return append(dst, Refuse{Call: id, Reason: reason, NotRun: !c.maybeRun, RetryAfter: s.retryAfter()})
}

// retryAfter returns the time after which the calls held now will have left,
// and at least what the document says.
func (s *Service) retryAfter() time.Duration {
	return max(s.doc.Refuse.RetryAfter.Std(), s.wait(s.queue.Len()))
}

// Wake returns the time at which held calls may be sent without any further
// event but Tick, and false when there is none.
func (s *Service) Wake(now time.Time) (time.Time, bool) {
	if s.queue.Len() == 0 {
		return time.Time{}, false
	}
	return s.targets.Wake(now)
}
