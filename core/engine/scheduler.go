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
	// Scheduler schedules the calls of one service. Use NewScheduler.
	Scheduler struct {
		doc         spec.Service
		policy      route.Policy
		targets     route.Table
		queue       admit.Queue
		calls       map[uint64]*call
		retryCredit float64
		retryBudget admit.Budget
		rng         *rand.Rand
		// reportHolds says that a Hold is returned for each queued call.
		reportHolds bool
		records     []member.Record
		expired     []admit.QueuedCall
		skipped     []admit.QueuedCall
	}

	// Option sets one property of a Scheduler.
	Option func(*Scheduler)

	call struct {
		class        spec.Class
		dataCentre   string
		arrived      time.Time
		waitingSince time.Time // The arrival, or the requeue of a call with an aim.
		deadline     time.Time
		target       string
		sent         time.Time
		tried        []string
		attempts     int
		sheds        int
		mayHaveRun   bool
	}
)

const (
	// retryBurst is the retry credit of a new service, in retries, and the most
	// that it can accumulate.
	retryBurst = 10
	// maxSheds is the number of targets that may shed a call before it is
	// refused. A shed costs no retry budget: the target did not run the call
	// and is skipped for a while.
	maxSheds = 100
	// relaxedAimFactor is the multiple of the mean latency above which a call's
	// aim counts as relaxed.
	relaxedAimFactor = 4
	// minWaitDivisor divides a call's aim into the time that the call may wait
	// in any case: a short wait costs the caller nothing.
	minWaitDivisor = 8
	// lateWaitDivisor divides a late call's aim into the longest time that it
	// may wait.
	lateWaitDivisor = 4
	// lateRankOffset puts late calls behind all ranks that plans use.
	lateRankOffset = 1000
	// overdueFactor is the multiple of the mean latency for which a target must
	// have had a call before a missed deadline counts as its failure.
	overdueFactor = 4
)

// WithDataCentre sets the data centre of the entry host.
func WithDataCentre(name string) Option {
	return func(s *Scheduler) { s.targets.SetDataCentre(name) }
}

// WithHolds makes the Scheduler return a Hold for every call that it queues.
func WithHolds() Option {
	return func(s *Scheduler) { s.reportHolds = true }
}

// NewScheduler returns a Scheduler configured by doc, which must be valid. It
// draws random numbers from rng.
func NewScheduler(doc spec.Service, rng *rand.Rand, opts ...Option) *Scheduler {
	s := &Scheduler{calls: make(map[uint64]*call), rng: rng, retryCredit: retryBurst}
	for _, opt := range opts {
		opt(s)
	}
	s.configure(doc)
	return s
}

// Handle processes one event at now, appends the resulting actions to dst and
// returns it. The time must not decrease from one call to the next.
func (s *Scheduler) Handle(dst []Action, e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Arrive:
		return s.arrive(dst, e, now)
	case Finish:
		return s.finish(dst, e, now)
	case Cancel:
		return s.cancel(dst, e, now)
	case SetTargets:
		s.records = e.Records
		return s.updateTargets(dst, now)
	case Configure:
		s.configure(e.Document)
		return s.updateTargets(dst, now)
	case ProbeReport:
		s.targets.ApplyProbe(e.Target, e.Probe, now)
		return s.dispatchHeld(dst, now)
	case Tick:
		return s.tick(dst, now)
	}
	return dst
}

// OpenCalls returns the number of calls that have arrived and not ended.
func (s *Scheduler) OpenCalls() int {
	return len(s.calls)
}

// QueuedCalls returns the number of queued calls.
func (s *Scheduler) QueuedCalls() int {
	return s.queue.Len()
}

func (s *Scheduler) configure(doc spec.Service) {
	s.doc = doc
	s.policy = route.PolicyFor(doc.Route)
	s.queue.Length = doc.Hold.Length
	s.retryBudget.Window = doc.Retry.Window.Std()
	s.retryBudget.Ratio = float64(doc.Retry.BudgetPercent) / 100
	s.retryBudget.Slack = float64(doc.Retry.Slack)
}

func (s *Scheduler) arrive(dst []Action, e Arrive, now time.Time) []Action {
	if len(s.calls) >= s.doc.Refuse.OpenCalls {
		return append(dst, Refuse{Call: e.Call, Reason: TooManyOpen, NotRun: true, RetryAfter: s.retryAfter()})
	}
	c := &call{class: e.Class, dataCentre: e.DataCentre, arrived: now, waitingSince: now, deadline: e.Deadline}
	s.calls[e.Call] = c
	s.retryBudget.CountCall(now)
	s.retryCredit = min(s.retryCredit+float64(s.doc.Retry.BudgetPercent)/100, retryBurst)
	if s.queue.Len() > 0 {
		return s.dispatchHeld(s.holdOrRefuse(dst, e.Call, c, now), now)
	}
	return s.sendOrHold(dst, e.Call, c, now)
}

func (s *Scheduler) finish(dst []Action, e Finish, now time.Time) []Action {
	c, ok := s.calls[e.Call]
	if !ok || c.target == "" {
		return dst
	}
	s.targets.Finish(c.target, e.Feedback, now.Sub(c.sent), now)
	c.tried = append(c.tried, c.target)
	c.target = ""
	c.mayHaveRun = c.mayHaveRun || e.Result == Unknown
	shed := e.Result == NotRun && e.Feedback.Outcome == route.Shed
	if shed {
		c.sheds++
	}
	switch {
	case e.Result.EndsCall():
		delete(s.calls, e.Call)
	case shed && s.mayReroute(c, e, now):
		dst = s.resendOrRequeue(dst, e.Call, c, now)
	case s.mayRetry(c, e, now):
		dst = s.resendOrRequeue(dst, e.Call, c, now)
	default:
		dst = s.refuse(dst, e.Call, c, refusalReason(e.Result))
	}
	return s.dispatchHeld(dst, now)
}

func refusalReason(r Result) Reason {
	if r == NotRun {
		return TargetsRefuse
	}
	return TargetFailed
}

// mayReroute reports whether a call that a target has shed may be sent to
// another one. A shed costs the targets next to nothing, so that a reroute needs
// no retry budget. It is not allowed when the document sets a retry window or
// limits calls to one attempt.
func (s *Scheduler) mayReroute(c *call, e Finish, now time.Time) bool {
	return s.doc.Retry.Window == 0 && s.mayResend(c, e, now) && c.sheds < maxSheds
}

// mayRetry reports whether a call may be retried after a failure, and charges
// the retry budget if so.
func (s *Scheduler) mayRetry(c *call, e Finish, now time.Time) bool {
	safe := e.Result == NotRun || c.class.Idempotent
	if !safe || !s.mayResend(c, e, now) {
		return false
	}
	if s.doc.Retry.Window > 0 {
		return c.attempts < s.attemptLimit(c) && s.retryBudget.AllowRetry(now)
	}
	if c.attempts-c.sheds >= s.attemptLimit(c) || s.retryCredit < 1 {
		return false
	}
	s.retryCredit--
	return true
}

// attemptLimit returns the largest number of attempts allowed for a call.
func (s *Scheduler) attemptLimit(c *call) int {
	if c.class.Attempts > 0 {
		return min(c.class.Attempts, s.doc.Retry.Attempts)
	}
	return s.doc.Retry.Attempts
}

// mayResend reports whether a call may be sent again, retry budget aside.
func (s *Scheduler) mayResend(c *call, e Finish, now time.Time) bool {
	return e.Replayable && s.doc.Retry.Attempts > 1 && now.Before(c.deadline)
}

func (s *Scheduler) cancel(dst []Action, e Cancel, now time.Time) []Action {
	c, ok := s.calls[e.Call]
	if !ok {
		return dst
	}
	s.queue.Remove(e.Call)
	var f route.Feedback
	if e.DeadlinePassed && now.Sub(c.sent) > overdueFactor*s.targets.MeanLatency() {
		f.Outcome = route.Failed
	}
	s.targets.Finish(c.target, f, now.Sub(c.sent), now)
	delete(s.calls, e.Call)
	return s.dispatchHeld(dst, now)
}

func (s *Scheduler) tick(dst []Action, now time.Time) []Action {
	s.expired = s.queue.Expire(s.expired[:0], now)
	for _, h := range s.expired {
		dst = s.refuse(dst, h.Call, s.calls[h.Call], WaitedTooLong)
	}
	return s.dispatchHeld(dst, now)
}

// sendOrHold sends a new call to a target, or else queues or refuses it.
func (s *Scheduler) sendOrHold(dst []Action, id uint64, c *call, now time.Time) []Action {
	if pick, ok := s.choose(c, now); ok {
		return s.send(dst, id, c, pick, now)
	}
	return s.holdOrRefuse(dst, id, c, now)
}

// resendOrRequeue sends a call to a target outside excludedTargets, or else puts
// it ahead of all queued calls of its priority. It refuses the call when no target
// is ready or cold.
func (s *Scheduler) resendOrRequeue(dst []Action, id uint64, c *call, now time.Time) []Action {
	if pick, ok := s.choose(c, now); ok {
		return s.send(dst, id, c, pick, now)
	}
	if s.targets.ReadyCount()+s.targets.ColdCount() == 0 {
		return s.refuse(dst, id, c, NoTarget)
	}
	if c.class.Aim > 0 {
		// The attempt has used up the time for an answer within the aim, but
		// the call may still be answered late.
		c.class.Late, c.waitingSince = true, now
	}
	s.queue.Requeue(s.queuedCall(id, c))
	return s.appendHold(dst, id)
}

func (s *Scheduler) choose(c *call, now time.Time) (route.Pick, bool) {
	q := route.Query{Slots: s.doc.Targets.Slots, Exclude: s.excludedTargets(c), Now: now, DataCentre: c.dataCentre}
	q.Relaxed = c.class.Aim > relaxedAimFactor*s.targets.MeanLatency()
	return s.targets.Choose(s.policy, q, s.rng)
}

func (s *Scheduler) send(dst []Action, id uint64, c *call, pick route.Pick, now time.Time) []Action {
	s.targets.Begin(pick.Name, now)
	c.target = pick.Name
	c.sent = now
	c.attempts++
	return append(dst, Send{
		Call: id, Target: pick.Name, Address: pick.Address, Attempt: c.attempts,
		Candidates: pick.Candidates, Why: pick.Why, InFlight: pick.InFlight, ReportAge: pick.ReportAge,
		HeldFor: now.Sub(c.arrived),
	})
}

// holdOrRefuse queues a call if it can be served in time, and refuses it
// otherwise.
func (s *Scheduler) holdOrRefuse(dst []Action, id uint64, c *call, now time.Time) []Action {
	if s.targets.ReadyCount()+s.targets.ColdCount() == 0 {
		return s.refuse(dst, id, c, NoTarget)
	}
	h := s.queuedCall(id, c)
	if now.Add(s.estimateWait(s.queue.Ahead(h))).After(h.Until) {
		return s.refuse(dst, id, c, NoProspect)
	}
	if err := s.queue.Push(h); err != nil {
		return s.refuse(dst, id, c, QueueFull)
	}
	return s.appendHold(dst, id)
}

func (s *Scheduler) appendHold(dst []Action, id uint64) []Action {
	if s.reportHolds {
		dst = append(dst, Hold{Call: id})
	}
	return dst
}

// queuedCall returns the call as an entry of the queue. The entry expires after
// the longest wait, or when a call sent then would probably miss its deadline.
//
// A call with an aim waits only as long as it can still be answered within it.
// Under overload, the calls that are sent are then answered in time, and the
// others are refused early with a time to retry. Calls that are late already are
// queued behind the others, for a short time.
func (s *Scheduler) queuedCall(id uint64, c *call) admit.QueuedCall {
	wait, rank := s.doc.Hold.LongestWait.Std(), c.class.Rank
	switch aim := c.class.Aim; {
	case c.class.Late:
		wait, rank = min(wait, aim/lateWaitDivisor), rank+lateRankOffset
	case aim > 0:
		wait = min(wait, max(aim-s.targets.MeanLatency(), aim/minWaitDivisor))
	}
	until := c.waitingSince.Add(wait)
	if last := c.deadline.Add(-s.targets.MeanLatency()); last.Before(until) {
		until = last
	}
	return admit.QueuedCall{Call: id, Weight: c.class.Weight, Until: until, Rank: rank, Patient: c.class.Patient}
}

// estimateWait estimates the time until ahead calls and one more have left the
// queue.
func (s *Scheduler) estimateWait(ahead int) time.Duration {
	return admit.EstimateWait(ahead, s.targets.InFlight(), s.targets.MeanLatency())
}

// dispatchHeld sends queued calls while targets have free slots. A call that has
// already tried the targets with free slots stays queued, and the calls behind
// it may be sent before it.
func (s *Scheduler) dispatchHeld(dst []Action, now time.Time) []Action {
	s.skipped = s.skipped[:0]
	for h, ok := s.queue.Peek(); ok; h, ok = s.queue.Peek() {
		c := s.calls[h.Call]
		pick, found := s.choose(c, now)
		if !found && len(c.tried) == 0 {
			break
		}
		s.queue.Pop()
		if !found {
			s.skipped = append(s.skipped, h)
			continue
		}
		dst = s.send(dst, h.Call, c, pick, now)
	}
	for _, h := range slices.Backward(s.skipped) {
		s.queue.Requeue(h)
	}
	return dst
}

// excludedTargets returns the targets that a call must not be sent to: those
// that it has tried, or none when it has tried as many as are ready.
func (s *Scheduler) excludedTargets(c *call) []string {
	if len(c.tried) >= s.targets.ReadyCount() {
		return nil
	}
	return c.tried
}

func (s *Scheduler) refuse(dst []Action, id uint64, c *call, reason Reason) []Action {
	delete(s.calls, id)
	return append(dst, Refuse{Call: id, Reason: reason, NotRun: !c.mayHaveRun, RetryAfter: s.retryAfter()})
}

// retryAfter returns the estimated time until the calls queued now have left
// the queue, and at least what the document says.
func (s *Scheduler) retryAfter() time.Duration {
	return max(s.doc.Refuse.RetryAfter.Std(), s.estimateWait(s.queue.Len()))
}

// NextDispatch returns the next time at which a Tick may send queued calls
// without any other event. It reports false when no call is queued or no ready
// target is paused after a shed.
func (s *Scheduler) NextDispatch(now time.Time) (time.Time, bool) {
	if s.queue.Len() == 0 {
		return time.Time{}, false
	}
	return s.targets.NextAvailable(now)
}
