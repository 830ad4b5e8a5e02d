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
		doc     spec.Service
		policy  route.Policy
		targets route.Table
		queue   admit.Queue
		calls   map[uint64]*call
		// retryCredit is the number of retries that the calls so far have
		// earned; not used when the document sets a retry window.
		retryCredit float64
		// retryBudget limits retries when the document sets a retry window.
		retryBudget admit.Budget
		latencies   latencies
		// extras is for second attempts beside the first.
		extras extras
		// fair shares the slots among client accounts.
		fair fairness
		rng  *rand.Rand
		// reportHolds says that a Hold is returned for each queued call.
		reportHolds bool
		// records are those of the last SetTargets.
		records []member.Record
		// quota limits the calls of client accounts; nil for no limits.
		quota Quota
		// expired and skipped are buffers that tick and dispatchQueued reuse.
		expired []admit.QueuedCall
		skipped []admit.QueuedCall
		// nextRelease is when the overdue calls are looked for next.
		nextRelease time.Time
	}

	// Quota limits the calls of client accounts. Schedulers of several services
	// share one, so it must be safe for concurrent use.
	Quota interface {
		// Admit counts a call of the account. It reports false when the account has
		// no room, and the time after which the caller may come back.
		Admit(account string, now time.Time) (retryAfter time.Duration, ok bool)
		// AdmitYielding is Admit for a call that leaves room to other calls of its
		// account, since it is late or its route is not of the most urgent rank.
		AdmitYielding(account string, now time.Time) (retryAfter time.Duration, ok bool)
		// Return takes back the count of a call that was certainly not run.
		Return(account string, now time.Time)
	}

	// Option sets one property of a Scheduler.
	Option func(*Scheduler)

	// call is the state of an open call.
	call struct {
		class      spec.Class
		dataCentre string
		host       uint64 // That sends the call; see Arrive.
		arrived    time.Time
		// waitingSince is the time from which the longest wait counts: the
		// arrival, or the time at which a call with an aim was last requeued.
		waitingSince time.Time
		deadline     time.Time
		target       string    // Where the call is in flight; empty when it is queued.
		incarnation  uint64    // That of the target.
		sent         time.Time // The start of the last attempt.
		number       int       // The number of that attempt.
		second       flight    // Another attempt in progress; its target is empty for none.
		tried        []string  // The targets of the ended attempts.
		attempts     int       // The number of attempts so far.
		sheds        int       // The number of attempts that targets have shed.
		mayHaveRun   bool      // Some attempt may have run the call.
		fair         *fairCall // The share of the account; nil when there is none.
	}
)

const (
	// retryBurst is the retry credit of a new service, in retries, and the most
	// that it can accumulate.
	retryBurst = 10
	// firstTryShare is the share of a retry budget that calls may use whose callers can
	// still come back. When targets turn many calls away, the rest goes to the calls that
	// have come back already and would otherwise be lost.
	firstTryShare = 0.5
	// maxFreeSheds is the number of sheds of one call from which sending it again
	// is a retry. Before, it costs no retry budget: the target did not run the
	// call and is skipped for a while.
	maxFreeSheds = 100
	// relaxedAimFactor is the multiple of the mean latency above which a call's
	// aim counts as relaxed, see route.Query.
	relaxedAimFactor = 4
	// A call may wait for its aim, or the time to its deadline, divided by
	// minWaitDivisor even when that leaves too little for a call of mean latency:
	// a short wait costs the caller nothing, and some targets are faster.
	minWaitDivisor = 8
	// minFreeForLate is the share of the slots of a service below which late calls are not
	// sent. Targets slow down when about 0.8 of their slots are in use; the rest is for
	// calls that arrive meanwhile and can still be in time. After a loss of power, late
	// calls filled all slots and a third of the new ones were late behind them; see
	// TestNewCallsAreInTimeAfterALossOfPower.
	minFreeForLate = 0.3
	minFreeAtEnd   = 0.15
	// minSlotsForReserve is the number of slots of a service from which late calls leave some
	// free: of fewer, the reserve would be one slot that is idle most of the time.
	minSlotsForReserve = 8
	// A late call may wait for its aim divided by lateWaitDivisor at most.
	lateWaitDivisor = 2
	// lateRankOffset is added to the rank of a late call. It is above all ranks
	// that plans use, so that late calls are served last.
	lateRankOffset = 1000
	// overdueFactor is the multiple of the mean latency for which a call must
	// have been at a target before its missed deadline counts as a failure of
	// the target.
	overdueFactor = 4
	// reportGrace is how long after its deadline the result of a call may arrive.
	reportGrace = time.Second
	// releasePeriod is the time between two looks for overdue calls, each of which
	// passes over all open calls.
	releasePeriod = time.Second
)

// WithDataCentre sets the data centre of the entry host.
func WithDataCentre(name string) Option {
	return func(s *Scheduler) { s.targets.SetDataCentre(name) }
}

// WithLimitShare sets the share of the limits that targets name which this host may
// use; the default is 1.
func WithLimitShare(share float64) Option {
	return func(s *Scheduler) { s.targets.SetLimitShare(share) }
}

// WithSlotShare sets the share of the slots that this host may use at targets that reset
// connections when they are full; the default is 1.
func WithSlotShare(share float64) Option {
	return func(s *Scheduler) { s.targets.SetSlotShare(share) }
}

// WithHolds makes the Scheduler return a Hold for every call that it queues.
func WithHolds() Option {
	return func(s *Scheduler) { s.reportHolds = true }
}

// WithQuota has quota limit the calls of client accounts.
func WithQuota(quota Quota) Option {
	return func(s *Scheduler) { s.quota = quota }
}

// NewScheduler returns a Scheduler configured by doc, which must be valid. It
// draws random numbers from rng.
func NewScheduler(doc spec.Service, rng *rand.Rand, opts ...Option) *Scheduler {
	s := &Scheduler{calls: make(map[uint64]*call), rng: rng, retryCredit: retryBurst}
	s.targets.SetLimitShare(1)
	for _, opt := range opts {
		opt(s)
	}
	s.configure(doc)
	return s
}

// Handle processes one event at now, appends the resulting actions to dst and
// returns it. The time must not decrease from one call to the next.
func (s *Scheduler) Handle(dst []Action, e Event, now time.Time) []Action {
	former := len(dst)
	dst = s.handle(dst, e, now)
	if s.targets.ResetsWhenFull(now) {
		for i := former; i < len(dst); i++ {
			dst[i] = withResets(dst[i])
		}
	}
	return dst
}

// withResets returns an action that says that targets reset connections when they are full.
func withResets(a Action) Action {
	switch a := a.(type) {
	case Send:
		a.ResetsWhenFull = true
		return a
	case Hold:
		a.ResetsWhenFull = true
		return a
	case Refuse:
		a.ResetsWhenFull = true
		return a
	}
	return a
}

// handle implements Handle.
func (s *Scheduler) handle(dst []Action, e Event, now time.Time) []Action {
	s.observeLoad(now)
	switch e := e.(type) {
	case Arrive:
		return s.arrive(dst, e, now)
	case Finish:
		return s.finish(dst, e, now)
	case Cancel:
		return s.cancel(dst, e, now)
	case Extra:
		return s.extra(dst, e, now)
	case LimitExtras:
		s.limitExtras(e)
	case SetTargets:
		s.records = e.Records
		return s.updateTargets(dst, now)
	case Configure:
		s.configure(e.Document)
		return s.updateTargets(dst, now)
	case ProbeReport:
		s.targets.ApplyProbe(e.Target, e.Probe, now)
		return s.dispatchQueued(dst, now)
	case LimitReport:
		s.targets.ReportLimit(e.Target, e.Limit, e.Elapsed, now)
		return s.dispatchQueued(dst, now)
	case SetColdLimit:
		s.targets.SetColdLimit(e.Limit)
		return s.dispatchQueued(dst, now)
	case LearnResets:
		s.targets.LearnResets(now)
	case SetSlotShare:
		s.targets.SetSlotShare(e.Share)
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

// ResetsWhenFull reports whether the targets have shown that they reset connections when they
// are full, and how many resets were taken as a sign of that since the start.
func (s *Scheduler) ResetsWhenFull(now time.Time) (learnt bool, taken uint64) {
	return s.targets.ResetsWhenFull(now), s.targets.FullResets()
}

// configure applies a service document. Open calls keep their classes.
func (s *Scheduler) configure(doc spec.Service) {
	s.doc = doc
	s.policy = route.PolicyFor(doc.Route)
	s.queue.MaxWeight = doc.Hold.Length
	s.retryBudget.Window = doc.Retry.Window.Std()
	s.retryBudget.Ratio = float64(doc.Retry.BudgetPercent) / 100
	s.retryBudget.Slack = float64(doc.Retry.Slack)
}

// arrive handles a new call. It refuses the call when its client account is over its
// quota, before anything else takes the call, or when too many calls are open. While
// other calls are queued, it queues the call too and then sends as many queued calls
// as it can; otherwise it sends the call if it can. Late calls that wait for more free slots
// are no reason to queue one that is not late.
func (s *Scheduler) arrive(dst []Action, e Arrive, now time.Time) []Action {
	for _, name := range e.Resets {
		s.targets.ObserveReset(name, s.doc.Targets.Slots, true, now)
	}
	if retryAfter, ok := s.admitToQuota(e, now); !ok {
		return append(dst, Refuse{Call: e.Call, Reason: OverQuota, NotRun: true, RetryAfter: retryAfter})
	}
	if len(s.calls) >= s.doc.Refuse.OpenCalls {
		s.returnToQuota(e.Class.Account, now)
		wait := s.retryAfter(e.Host, now)
		if s.fair.active {
			wait = s.spread(wait)
		}
		return append(dst, Refuse{Call: e.Call, Reason: TooManyOpen, NotRun: true, RetryAfter: wait})
	}
	c := &call{class: e.Class, dataCentre: e.DataCentre, host: e.Host, arrived: now, waitingSince: now, deadline: e.Deadline}
	s.calls[e.Call] = c
	s.joinFlow(c, now)
	s.retryBudget.CountCall(now)
	s.extras.budget.CountCall(now)
	s.retryCredit = min(s.retryCredit+float64(s.doc.Retry.BudgetPercent)/100, retryBurst)
	if s.queue.Len() > 0 && (c.class.Late || !s.onlyLateQueued()) {
		return s.dispatchQueued(s.queueOrRefuse(dst, e.Call, c, now), now)
	}
	return s.sendOrQueue(dst, e.Call, c, now)
}

// finish handles the end of an attempt: the call ends, is sent or queued again, or is
// refused. It then sends queued calls to the freed slot.
func (s *Scheduler) finish(dst []Action, e Finish, now time.Time) []Action {
	c, ok := s.calls[e.Call]
	if !ok || c.target == "" || !c.isCurrent(e.Attempt) {
		return dst
	}
	if c.second.target != "" {
		return s.finishOneOfTwo(dst, e, c, now)
	}
	s.targets.Rest(c.target, c.host, e.Feedback.Rest, now)
	if e.Result == NotSent {
		if e.Feedback.Rest == 0 {
			s.targets.Withdraw(c.target, c.incarnation)
		}
		return s.dispatchQueued(s.redirect(dst, e.Call, c, now), now)
	}
	s.recordEnd(c, c.current(), e, now)
	c.tried = append(c.tried, c.target)
	c.target = ""
	c.mayHaveRun = c.mayHaveRun || e.Result == Unknown || e.Result == Withdrawn
	shed := e.Result == NotRun && e.Feedback.Outcome == route.Shed
	if shed {
		c.sheds++
	}
	switch {
	case e.Result.EndsCall():
		delete(s.calls, e.Call)
		s.leaveFlow(c)
	case shed && s.mayReroute(c, e, now):
		dst = s.resendOrRequeue(dst, e.Call, c, now)
	case s.mayRetry(c, e, now):
		dst = s.resendOrRequeue(dst, e.Call, c, now)
	default:
		dst = s.refuse(dst, e.Call, c, refusalReason(e.Result), now)
	}
	return s.dispatchQueued(dst, now)
}

// redirect chooses another target for a call that was not sent, because its target is
// draining, has left or rests. This costs neither an attempt nor retry budget.
func (s *Scheduler) redirect(dst []Action, id uint64, c *call, now time.Time) []Action {
	s.targets.Finish(c.target, route.Feedback{}, now.Sub(c.sent), now)
	s.targets.TakeBack(c.target)
	c.target = ""
	c.attempts--
	return s.sendOrRequeue(dst, id, c, now)
}

// refusalReason returns the reason for refusing a call whose last attempt ended
// with r and that may not be sent again.
func refusalReason(r Result) Reason {
	if r == NotRun {
		return TargetsRefuse
	}
	return TargetFailed
}

// mayReroute reports whether a call that a target has shed may be sent to another
// target without using the retry budget. A shed costs the targets next to
// nothing. When the document sets a retry window, a shed call may only be sent again
// as a retry, see mayRetry; when the document limits calls to one attempt, a shed
// call is not sent again.
func (s *Scheduler) mayReroute(c *call, e Finish, now time.Time) bool {
	return s.doc.Retry.Window == 0 && s.mayResend(c, e, now) && c.sheds < maxFreeSheds
}

// mayRetry reports whether a call may be retried after a failed or shed attempt,
// and takes one retry from the retry budget or the retry credit if so.
func (s *Scheduler) mayRetry(c *call, e Finish, now time.Time) bool {
	safe := e.Result == NotRun || c.class.Idempotent
	if !safe || !s.mayResend(c, e, now) {
		return false
	}
	return s.hasAttempts(c) && s.takeRetryOf(c, now)
}

// hasAttempts reports whether a call may be attempted again. Without a retry window, attempts
// that targets have shed don't count.
func (s *Scheduler) hasAttempts(c *call) bool {
	if s.doc.Retry.Window > 0 {
		return c.attempts < s.attemptLimit(c)
	}
	return c.attempts-c.sheds < s.attemptLimit(c)
}

// takeRetryOf takes one retry for a call from the retry budget or the retry credit, and
// reports false if there is none.
func (s *Scheduler) takeRetryOf(c *call, now time.Time) bool {
	if s.doc.Retry.Window > 0 {
		share := 1.0
		if !c.class.Returned {
			share = firstTryShare
		}
		return s.retryBudget.AllowRetryWithin(now, share)
	}
	if s.retryCredit < 1 {
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

// mayResend reports whether a call may be sent again as far as its body, its
// deadline and the document allow. It ignores the retry budget.
func (s *Scheduler) mayResend(c *call, e Finish, now time.Time) bool {
	return e.Replayable && s.doc.Retry.Attempts > 1 && now.Before(c.deadline)
}

// cancel ends a call. Each attempt in flight counts as a failure of its target when
// the deadline has passed and the attempt has lasted long enough for the target to
// be the cause, see overdueFactor.
func (s *Scheduler) cancel(dst []Action, e Cancel, now time.Time) []Action {
	c, ok := s.calls[e.Call]
	if !ok {
		return dst
	}
	if h, queued := s.queue.Take(e.Call); queued {
		c.fair.unqueued(h)
	}
	limit := overdueFactor * s.targets.MeanLatency()
	for _, attempt := range [...]flight{c.current(), c.second} {
		var f route.Feedback
		if e.DeadlinePassed && now.Sub(attempt.sent) > limit {
			f.Outcome = route.Failed
		}
		s.targets.Finish(attempt.target, f, now.Sub(attempt.sent), now)
		s.targets.Abandon(attempt.target, now)
	}
	if c.target == "" && c.second.target == "" && !c.mayHaveRun {
		s.returnToQuota(c.class.Account, now)
	}
	delete(s.calls, e.Call)
	s.leaveFlow(c)
	return s.dispatchQueued(dst, now)
}

// tick refuses the queued calls that have waited too long, releases overdue calls and
// sends others.
func (s *Scheduler) tick(dst []Action, now time.Time) []Action {
	s.expired = s.queue.Expire(s.expired[:0], now)
	for _, h := range s.expired {
		c := s.calls[h.Call]
		c.fair.unqueued(h)
		dst = s.refuse(dst, h.Call, c, WaitedTooLong, now)
	}
	if !now.Before(s.nextRelease) {
		s.nextRelease = now.Add(releasePeriod)
		dst = s.releaseOverdue(dst, now)
	}
	return s.refuseDisplaced(s.dispatchQueued(dst, now), now)
}

// releaseOverdue ends the calls at targets whose results are overdue, in the order of
// their identifiers, and frees their slots: the host that sent them has stopped or can
// not be heard, and targets stop work at the deadline.
func (s *Scheduler) releaseOverdue(dst []Action, now time.Time) []Action {
	var overdue []uint64
	for id, c := range s.calls {
		if c.target != "" && now.Sub(c.deadline) > reportGrace {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	for _, id := range overdue {
		c := s.calls[id]
		s.targets.Finish(c.target, route.Feedback{}, now.Sub(c.sent), now)
		s.targets.Finish(c.second.target, route.Feedback{}, now.Sub(c.second.sent), now)
		c.mayHaveRun = true
		dst = s.refuse(dst, id, c, Unreported, now)
	}
	return dst
}

// sendOrQueue sends a new call to a target, or else queues or refuses it.
func (s *Scheduler) sendOrQueue(dst []Action, id uint64, c *call, now time.Time) []Action {
	if pick, ok := s.choose(c, now); ok {
		return s.send(dst, id, c, pick, now)
	}
	return s.queueOrRefuse(dst, id, c, now)
}

// resendOrRequeue sends a call again or requeues it, as sendOrRequeue does. A call with
// an aim that is requeued counts as late.
func (s *Scheduler) resendOrRequeue(dst []Action, id uint64, c *call, now time.Time) []Action {
	if pick, ok := s.choose(c, now); ok {
		return s.send(dst, id, c, pick, now)
	}
	if c.class.Aim > 0 {
		// The last attempt has taken so much of the aim that the call can no
		// longer be answered within it, but it may still be answered late.
		c.class.Late, c.waitingSince = true, now
	}
	return s.sendOrRequeue(dst, id, c, now)
}

// sendOrRequeue sends a call to a target that excludedTargets does not list, or
// else queues it ahead of all calls of its priority. It refuses the call when no
// target is ready or cold, or all rest for longer than the call may wait.
func (s *Scheduler) sendOrRequeue(dst []Action, id uint64, c *call, now time.Time) []Action {
	if pick, ok := s.choose(c, now); ok {
		return s.send(dst, id, c, pick, now)
	}
	if s.targets.ReadyCount()+s.targets.ColdCount() == 0 {
		return s.refuse(dst, id, c, NoTarget, now)
	}
	h := s.queuedCall(id, c)
	if wait := s.targets.RestWait(c.host, now); wait > 0 && now.Add(wait).After(h.Until) {
		return s.refuse(dst, id, c, NoProspect, now)
	}
	s.queue.Requeue(h)
	return s.appendHold(dst, id)
}

// choose picks a target for a call. It reports false when no target can accept
// the call now, and for a late call while few slots are free, see minFreeForLate.
func (s *Scheduler) choose(c *call, now time.Time) (route.Pick, bool) {
	q := s.query(c, now)
	if c.class.Late && !s.roomForLate(c, q) {
		return route.Pick{}, false
	}
	return s.targets.Choose(s.policy, q, s.rng)
}

// roomForLate reports whether enough slots are free for a late call. What it must leave free
// shrinks from minFreeForLate to minFreeAtEnd while it waits, so that late calls are served
// beside new ones that keep most of the slots in use.
func (s *Scheduler) roomForLate(c *call, q route.Query) bool {
	free, slots := s.targets.UsableSlots(q)
	if slots < minSlotsForReserve {
		return true
	}
	reserve := minFreeForLate
	if wait := c.class.Aim / lateWaitDivisor; wait > 0 {
		reserve -= (minFreeForLate - minFreeAtEnd) * float64(q.Now.Sub(c.waitingSince)) / float64(wait)
	}
	return float64(free) >= reserve*float64(slots)
}

// onlyLateQueued reports whether all queued calls are late.
func (s *Scheduler) onlyLateQueued() bool {
	first, ok := s.queue.Peek()
	return ok && first.Rank >= lateRankOffset
}

// query returns the conditions for the choice of a target for a call.
func (s *Scheduler) query(c *call, now time.Time) route.Query {
	q := route.Query{Slots: s.doc.Targets.Slots, Exclude: s.excludedTargets(c), Now: now, DataCentre: c.dataCentre, Host: c.host, Once: !c.class.Idempotent}
	q.Relaxed = c.class.Aim > relaxedAimFactor*s.targets.MeanLatency()
	return q
}

// hasRoom reports whether some target could accept a call that may be sent again, in place of
// c.
func (s *Scheduler) hasRoom(c *call, now time.Time) bool {
	q := s.query(c, now)
	q.Once = false
	_, ok := s.targets.Choose(s.policy, q, s.rng)
	return ok
}

// send begins an attempt of the call at the target of pick and appends a Send.
func (s *Scheduler) send(dst []Action, id uint64, c *call, pick route.Pick, now time.Time) []Action {
	s.targets.Begin(pick.Name, now)
	s.targets.TakeConn(pick.Name, c.host)
	c.target, c.incarnation = pick.Name, pick.Incarnation
	c.sent = now
	c.attempts++
	c.number = c.attempts
	s.chargeSend(c)
	return append(dst, Send{
		Call: id, Target: pick.Name, Address: pick.Address, Incarnation: pick.Incarnation, Attempt: c.attempts,
		Candidates: pick.Candidates, Why: pick.Why, InFlight: pick.InFlight, ReportAge: pick.ReportAge,
		HeldFor: now.Sub(c.arrived), ExtraAfter: s.extraAfter(c, now),
	})
}

// queueOrRefuse queues a call. It refuses the call when no target is ready or
// cold, when it would probably wait too long or when the queue is full.
func (s *Scheduler) queueOrRefuse(dst []Action, id uint64, c *call, now time.Time) []Action {
	if s.targets.ReadyCount()+s.targets.ColdCount() == 0 {
		return s.refuse(dst, id, c, NoTarget, now)
	}
	if c.fair != nil {
		return s.queueFairly(dst, id, c, now)
	}
	h := s.queuedCall(id, c)
	if now.Add(s.estimateWait(s.queue.Ahead(h), c.host, now)).After(h.Until) {
		return s.refuse(dst, id, c, NoProspect, now)
	}
	if err := s.queue.Push(h); err != nil {
		last, ok := s.queue.Last()
		if c.class.Late || !ok || last.Rank < lateRankOffset {
			return s.refuse(dst, id, c, QueueFull, now)
		}
		s.queue.Take(last.Call)
		dst = s.refuse(dst, last.Call, s.calls[last.Call], QueueFull, now)
		s.queue.Requeue(h)
	}
	return s.appendHold(dst, id)
}

// appendHold appends a Hold of the call to dst when reportHolds is set.
func (s *Scheduler) appendHold(dst []Action, id uint64) []Action {
	if s.reportHolds {
		dst = append(dst, Hold{Call: id})
	}
	return dst
}

// queuedCall returns the call in the form in which it is queued. It expires after
// the document's longest wait, or at the time from which a call that is sent would
// probably miss its deadline, whichever is earlier.
//
// A call with an aim waits only as long as it can still be answered within its
// aim. Under overload, the calls that are sent are then answered in time, and the
// rest are refused early with a time to retry. Late calls are queued behind all
// calls that are not late, for a short time. A call whose wait is limited by its
// deadline is urgent: under overload every call that is sent has waited nearly as long
// as it may, so that it would have no prospect behind calls that may wait longer.
func (s *Scheduler) queuedCall(id uint64, c *call) admit.QueuedCall {
	wait, rank := s.doc.Hold.LongestWait.Std(), c.class.Rank
	expected := s.latencies.expect(c.class.Aim, s.targets.MeanLatency())
	switch aim := c.class.Aim; {
	case c.class.Late:
		wait, rank = min(wait, aim/lateWaitDivisor), rank+lateRankOffset
	case aim > 0:
		wait = min(wait, max(s.longestWait(c, expected), aim/minWaitDivisor))
	}
	until := c.waitingSince.Add(wait)
	urgent := false
	if last := c.deadline.Add(-expected); last.Before(until) {
		urgent = true
		shortest := c.waitingSince.Add(c.deadline.Sub(c.waitingSince) / minWaitDivisor)
		if until = last; until.Before(shortest) {
			until = shortest
		}
	}
	h := admit.QueuedCall{Call: id, Weight: c.class.Weight, Until: until, Rank: rank, Urgent: urgent, Patient: c.class.Patient}
	c.fair.orderFairly(&h)
	return h
}

// estimateWait estimates how long a call that has ahead calls before it in the
// queue waits, for a slot, for the limits that targets have named, while they are cold, and
// for the rests that they have asked its host for.
func (s *Scheduler) estimateWait(ahead int, host uint64, now time.Time) time.Duration {
	wait := admit.EstimateWait(ahead, s.targets.InFlight(), s.targets.MeanLatency())
	return max(wait, s.targets.LimitWait(ahead, now), s.targets.ColdWait(ahead, now), s.targets.RestWait(host, now))
}

// dispatchQueued sends queued calls while targets have free slots. A call that has
// already tried all targets with free slots, or whose host they want no calls from, stays
// queued, and the calls behind it may be sent before it. So does a call that must not run
// twice while no slot is certainly free.
func (s *Scheduler) dispatchQueued(dst []Action, now time.Time) []Action {
	s.skipped = s.skipped[:0]
	noneFree := false // No slot is certainly free, but calls that may repeat can be sent.
	for h, ok := s.queue.Peek(); ok; h, ok = s.queue.Peek() {
		c := s.calls[h.Call]
		once := !c.class.Idempotent && s.targets.ResetsWhenFull(now)
		var pick route.Pick
		found := false
		if !once || !noneFree {
			pick, found = s.choose(c, now)
		}
		if !found && len(c.tried) == 0 && !s.targets.HasRests(now) && !once {
			break
		}
		if once && !found && !noneFree && len(c.tried) == 0 && !s.targets.HasRests(now) {
			if noneFree = s.hasRoom(c, now); !noneFree {
				break
			}
		}
		s.queue.Pop()
		if !found {
			s.skipped = append(s.skipped, h)
			continue
		}
		c.fair.unqueued(h)
		dst = s.send(dst, h.Call, c, pick, now)
	}
	for _, h := range slices.Backward(s.skipped) {
		s.queue.Requeue(h)
	}
	return dst
}

// excludedTargets returns the names of the targets that a call must not be sent
// to: those that it has tried, or none when it has tried as many as are ready.
func (s *Scheduler) excludedTargets(c *call) []string {
	if len(c.tried) >= s.targets.ReadyCount() {
		return nil
	}
	return c.tried
}

// refuse ends a call that is neither queued nor at a target and appends a Refuse.
func (s *Scheduler) refuse(dst []Action, id uint64, c *call, reason Reason, now time.Time) []Action {
	if !c.mayHaveRun {
		s.returnToQuota(c.class.Account, now)
	}
	delete(s.calls, id)
	s.leaveFlow(c)
	return append(dst, Refuse{Call: id, Reason: reason, NotRun: !c.mayHaveRun, RetryAfter: s.retryAfterCall(c, now)})
}

// retryAfter returns the estimated time until the calls queued now have left
// the queue, and at least the Refuse.RetryAfter of the document. It returns the latter
// when this host has no share of the limits of its targets, since another one may.
func (s *Scheduler) retryAfter(host uint64, now time.Time) time.Duration {
	least, wait := s.doc.Refuse.RetryAfter.Std(), s.estimateWait(s.queue.Len(), host, now)
	if wait >= route.MaxLimitWait {
		return least
	}
	return max(least, wait)
}

// NextDispatch returns the next time at which a Tick may send queued calls
// without any other event: when the pause of a target after a shed ends. It
// reports false when no call is queued or no ready target is paused.
func (s *Scheduler) NextDispatch(now time.Time) (time.Time, bool) {
	if s.queue.Len() == 0 {
		return time.Time{}, false
	}
	return s.targets.NextAvailable(now)
}
