package engine

import (
	"math"
	"slices"
	"time"

	"cardamomspool/core/hedge"
	"cardamomspool/core/route"
)

type (
	// LimitExtras sets the limit of second attempts beside the first; see WithExtras.
	LimitExtras struct {
		// Share is the largest share of the calls that may get one; 0 for none.
		Share float64
		// Window is the length of the sliding window in which the share holds.
		Window time.Duration
	}

	// ExtraRefused says that an Extra gets no Send. It is not for the entry host, which
	// goes on with the first attempt.
	ExtraRefused struct {
		// Call identifies the call.
		Call uint64
		// Reason says why.
		Reason Reason
	}

	// extras holds what the decisions about second attempts need.
	extras struct {
		budget    hedge.Budget
		latencies hedge.Latencies
	}

	// flight is one of the attempts of a call that are in progress.
	flight struct {
		target      string
		incarnation uint64
		sent        time.Time
		number      int // The Send.Attempt of the attempt.
	}
)

// The reasons for which a call gets no second attempt beside the first.
const (
	// ExtraNotInProgress means that not exactly one attempt is in progress.
	ExtraNotInProgress Reason = "not_in_progress"
	// ExtraNotIdempotent means that the call must not run twice.
	ExtraNotIdempotent Reason = "not_idempotent"
	// ExtraAttempts means that the call has had as many attempts as it may have.
	ExtraAttempts Reason = "attempts"
	// ExtraNotWorthwhile means that the first attempt is probably answered soon, or that
	// another one would not be answered before the deadline.
	ExtraNotWorthwhile Reason = "not_worthwhile"
	// ExtraShortage means that calls wait or too few slots are free.
	ExtraShortage Reason = "shortage"
	// ExtraRetryBudget means that the retry budget is used up.
	ExtraRetryBudget Reason = "retry_budget"
	// ExtraLimit means that the limit of second attempts is used up.
	ExtraLimit Reason = "extra_limit"
	// ExtraNoTarget means that no other target can take the call and serve it well.
	ExtraNoTarget Reason = "no_other_target"
)

// minFreeShare is the share of the slots of a service that must be free for second
// attempts, so that they take no slots that first attempts need.
const minFreeShare = 0.25

const (
	// likelyMissed is the probability of missing the aim from which a call gets a second
	// attempt for its aim. With 0.25 and more, the replay of
	// TestSecondAttemptsSaveLateCalls leaves a part of a limit of 0.1 unused, and with 0.5
	// few calls are saved.
	likelyMissed = 0.15
	// fasterPart is the part of the limit that second attempts may use which make an answer
	// faster and do not decide whether it is within the aim. The rest is left for those that
	// do.
	fasterPart = 0.5
	// ExtraAskDivisor says when an entry host asks again: when the first attempt has taken
	// longer by this part of its time.
	ExtraAskDivisor = 2
)

var (
	_ Event  = LimitExtras{}
	_ Action = ExtraRefused{}
)

// WithExtras allows second attempts beside the first for a share of the calls in each
// sliding window.
func WithExtras(limit LimitExtras) Option {
	return func(s *Scheduler) { s.limitExtras(limit) }
}

func (LimitExtras) isEvent()   {}
func (ExtraRefused) isAction() {}

// limitExtras puts a limit in force. What was counted counts on while the window stays the
// same.
func (s *Scheduler) limitExtras(limit LimitExtras) {
	if limit.Window != s.extras.budget.Window {
		s.extras.budget = hedge.Budget{Window: limit.Window}
	}
	s.extras.budget.Share = limit.Share
}

// extraAfter returns the time after which a second attempt of a call whose attempt begins
// now may be worthwhile: the usual latency of its class; 0 for none.
func (s *Scheduler) extraAfter(c *call, now time.Time) time.Duration {
	if s.extras.budget.Share <= 0 || !c.class.Idempotent || c.attempts >= s.attemptLimit(c) || s.queue.Len() > 0 {
		return 0
	}
	after, ok := s.extras.latencies.Usual(extraClass(c))
	if !ok || now.Add(2*after).After(c.deadline) {
		return 0
	}
	if c.class.Aim > 0 && !c.class.Late {
		last := c.arrived.Add(c.class.Aim).Sub(now) - after
		if s.extras.latencies.Missing(extraClass(c), last) >= likelyMissed {
			after = firstAsk(after, last)
		}
	}
	return max(after, time.Millisecond) // The unit in which it is sent.
}

// firstAsk returns the first time, at least usual, from which the entry host asks such that
// one of its questions comes at the time last: the last one at which a second attempt of
// usual latency is still within the aim.
func firstAsk(usual, last time.Duration) time.Duration {
	if last < usual || usual <= 0 {
		return usual
	}
	const ratio = 1 + 1.0/ExtraAskDivisor
	questions := math.Floor(math.Log(float64(last)/float64(usual)) / math.Log(ratio))
	return time.Duration(float64(last) / math.Pow(ratio, questions))
}

// extraClass returns the class by which the latencies of a call are kept, see latencies.
func extraClass(c *call) int {
	if c.class.Aim <= 0 {
		return -1
	}
	return aimKey(c.class.Aim)
}

// extra handles the request for a second attempt.
func (s *Scheduler) extra(dst []Action, e Extra, now time.Time) []Action {
	c, ok := s.calls[e.Call]
	if !ok || !e.Silent && s.extras.budget.Share <= 0 {
		return dst
	}
	choose := s.chooseExtra
	if e.Silent {
		choose = s.chooseBesideSilent
	}
	pick, reason := choose(c, now)
	if reason != "" {
		return append(dst, ExtraRefused{Call: e.Call, Reason: reason})
	}
	if !e.Silent {
		s.takeRetry(now)
		s.extras.budget.Take(now)
	}
	first := c.current()
	dst = s.send(dst, e.Call, c, pick, now)
	c.second = c.current()
	c.setCurrent(first)
	sent := dst[len(dst)-1].(Send)
	sent.Extra, sent.ExtraAfter = true, 0
	dst[len(dst)-1] = sent
	return dst
}

// chooseExtra picks the target of a second attempt of a call, or returns the reason why it
// gets none.
func (s *Scheduler) chooseExtra(c *call, now time.Time) (route.Pick, Reason) {
	var none route.Pick
	q := route.Query{Slots: s.doc.Targets.Slots, Exclude: append([]string{c.target}, c.tried...), Now: now, DataCentre: c.dataCentre, Host: c.host}
	free, slots := s.targets.FreeSlots(q)
	part := s.extraWorth(c, now)
	switch {
	case c.target == "" || c.second.target != "":
		return none, ExtraNotInProgress
	case !c.class.Idempotent:
		return none, ExtraNotIdempotent
	case c.attempts >= s.attemptLimit(c):
		return none, ExtraAttempts
	case part == 0:
		return none, ExtraNotWorthwhile
	case s.queue.Len() > 0 || float64(free) < minFreeShare*float64(slots):
		return none, ExtraShortage
	case !s.hasRetry(now):
		return none, ExtraRetryBudget
	case !s.extras.budget.HasRoomIn(part, now):
		return none, ExtraLimit
	}
	pick, ok := s.chooseElsewhere(q)
	if !ok {
		pick, ok = s.targets.Choose(s.policy, q, s.rng)
	}
	if !ok || pick.Why == route.WhyAllFailing || pick.Why == route.WhyCrowded {
		return none, ExtraNoTarget
	}
	if s.quota != nil && c.class.Account != "" {
		if _, ok = s.quota.Admit(c.class.Account, now); !ok {
			return none, OverQuota
		}
	}
	return pick, ""
}

// chooseBesideSilent picks the target of a second attempt beside one whose connection is
// silent, and takes a retry, or returns the reason why the call gets none. The target may be
// that of the first attempt if the call has tried all others: its other connections may work.
func (s *Scheduler) chooseBesideSilent(c *call, now time.Time) (route.Pick, Reason) {
	var none route.Pick
	switch {
	case c.target == "" || c.second.target != "":
		return none, ExtraNotInProgress
	case !c.class.Idempotent:
		return none, ExtraNotIdempotent
	case !s.hasAttempts(c):
		return none, ExtraAttempts
	case !now.Before(c.deadline):
		return none, ExtraNotWorthwhile
	}
	q := s.query(c, now)
	if q.Exclude = append(slices.Clip(c.tried), c.target); len(q.Exclude) >= s.targets.ReadyCount() {
		q.Exclude = nil
	}
	pick, ok := s.targets.Choose(s.policy, q, s.rng)
	if !ok || pick.Why == route.WhyAllFailing {
		return none, ExtraNoTarget
	}
	if s.quota != nil && c.class.Account != "" {
		if _, ok = s.quota.Admit(c.class.Account, now); !ok {
			return none, OverQuota
		}
	}
	if !s.takeRetryOf(c, now) {
		s.returnToQuota(c.class.Account, now)
		return none, ExtraRetryBudget
	}
	return pick, ""
}

// chooseElsewhere picks a target in another data centre than that of q if this one is in
// trouble. It reports false if it is not, and if no other one has a target that serves well.
func (s *Scheduler) chooseElsewhere(q route.Query) (route.Pick, bool) {
	if !s.targets.InTrouble(q.DataCentre, q.Now) {
		return route.Pick{}, false
	}
	q.Exclude = s.targets.AppendNames(slices.Clip(q.Exclude), q.DataCentre)
	q.DataCentre = ""
	pick, ok := s.targets.Choose(s.policy, q, s.rng)
	return pick, ok && pick.Why != route.WhyAllFailing && pick.Why != route.WhyCrowded
}

// extraWorth returns the part of the limit of second attempts that one for a call may use; 0
// if it is not worthwhile. One that would probably be answered within the aim, which the
// attempt in progress is likely to miss, may use the whole limit. One that would probably
// end before the attempt in progress and before the deadline may use fasterPart: the target
// has turned slow by its reports since, or is silent, or the call has taken longer than most
// of its class.
func (s *Scheduler) extraWorth(c *call, now time.Time) float64 {
	class, elapsed := extraClass(c), now.Sub(c.sent)
	usual, _ := s.extras.latencies.Usual(class)
	late, ok := s.extras.latencies.Late(class)
	if !ok || now.Add(usual).After(c.deadline) {
		return 0
	}
	silent := s.targets.IsSilent(c.target, now)
	inTime := c.class.Aim > 0 && !c.class.Late && !now.Add(usual).After(c.arrived.Add(c.class.Aim))
	switch {
	case c.class.Aim <= 0 && (elapsed >= late || silent || s.targets.IsSlow(c.target, c.sent, now)):
		return 1 // There is no aim for which a part of the limit is left.
	case inTime && (silent || s.extras.latencies.Missing(class, elapsed) >= likelyMissed):
		return 1
	case elapsed >= late || silent || s.targets.IsSlow(c.target, c.sent, now):
		return fasterPart
	default:
		return 0
	}
}

// observeExtra records the latency of an attempt that a target has answered, for second
// attempts.
func (s *Scheduler) observeExtra(c *call, elapsed time.Duration) {
	s.extras.latencies.Observe(extraClass(c), elapsed)
	missed := 0.0
	if elapsed > c.class.Aim {
		missed = 1
	}
	s.extras.latencies.CountAim(extraClass(c), missed)
}

// observeCancelled records that an attempt was cancelled after the time elapsed.
func (s *Scheduler) observeCancelled(c *call, elapsed time.Duration) {
	class := extraClass(c)
	s.extras.latencies.ObserveAtLeast(class, elapsed)
	missed := s.extras.latencies.Missing(class, elapsed)
	if elapsed > c.class.Aim {
		missed = 1
	}
	s.extras.latencies.CountAim(class, missed)
}

// hasRetry reports whether the retry budget or the retry credit has room at now.
func (s *Scheduler) hasRetry(now time.Time) bool {
	if s.doc.Retry.Window > 0 {
		return s.retryBudget.HasRoom(now)
	}
	return s.retryCredit >= 1
}

// takeRetry takes one retry, for which hasRetry has found room.
func (s *Scheduler) takeRetry(now time.Time) {
	if s.doc.Retry.Window > 0 {
		s.retryBudget.AllowRetry(now)
		return
	}
	s.retryCredit--
}

// current returns the attempt that the call's own fields describe.
func (c *call) current() flight {
	return flight{target: c.target, incarnation: c.incarnation, sent: c.sent, number: c.number}
}

// setCurrent makes the call's own fields describe f.
func (c *call) setCurrent(f flight) {
	c.target, c.incarnation, c.sent, c.number = f.target, f.incarnation, f.sent, f.number
}

// isCurrent reports whether number, which is 0 when only one attempt is in progress, is
// that of an attempt in progress. If it is that of the second one, isCurrent swaps both.
func (c *call) isCurrent(number int) bool {
	if number == 0 || number == c.number {
		return true
	}
	if c.second.target == "" || c.second.number != number {
		return false
	}
	first := c.current()
	c.setCurrent(c.second)
	c.second = first
	return true
}

// finishOneOfTwo handles the end of the attempt that the fields of c describe, while
// another one is in progress. The call goes on with the other one unless the caller has
// an answer.
func (s *Scheduler) finishOneOfTwo(dst []Action, e Finish, c *call, now time.Time) []Action {
	ended := c.current()
	c.setCurrent(c.second)
	c.second = flight{}
	s.targets.Rest(ended.target, c.host, e.Feedback.Rest, now)
	if e.Result == NotSent {
		if e.Feedback.Rest == 0 {
			s.targets.Withdraw(ended.target, ended.incarnation)
		}
		s.targets.Finish(ended.target, route.Feedback{}, 0, now)
		s.targets.TakeBack(ended.target)
		c.attempts--
		s.returnAttempt(c, now)
		return s.dispatchQueued(dst, now)
	}
	s.recordEnd(c, ended, e, now)
	c.mayHaveRun = c.mayHaveRun || e.Result == Unknown || e.Result == Withdrawn
	c.tried = append(c.tried, ended.target)
	if e.Result == NotRun && e.Feedback.Outcome == route.Shed {
		c.sheds++
	}
	if e.Result == NotRun {
		s.returnAttempt(c, now)
	}
	if e.Result.EndsCall() {
		s.recordEnd(c, c.current(), Finish{Result: Withdrawn}, now)
		delete(s.calls, e.Call)
		s.leaveFlow(c)
	}
	return s.dispatchQueued(dst, now)
}

// returnAttempt takes back what one of two attempts of a call counted for, in the quota and
// in the fair share of its account, since no target has run it.
func (s *Scheduler) returnAttempt(c *call, now time.Time) {
	s.returnToQuota(c.class.Account, now)
	s.refundAttempt(c)
}

// recordEnd records the end of an attempt that was made: the slot is free, and the result
// counts for the target. Withdrawn says nothing against the target, and that the attempt
// would have taken at least as long as it did.
func (s *Scheduler) recordEnd(c *call, f flight, e Finish, now time.Time) {
	elapsed := now.Sub(f.sent)
	if e.Result == Withdrawn {
		s.targets.Finish(f.target, route.Feedback{}, elapsed, now)
		s.targets.Abandon(f.target, now)
		s.observeCancelled(c, elapsed)
		return
	}
	if e.Feedback.Reset && s.targets.ObserveReset(f.target, s.doc.Targets.Slots, e.Result == Unknown, now) {
		e.Feedback.Outcome = route.Full
	}
	s.targets.Finish(f.target, e.Feedback, elapsed, now)
	if e.Result == Answered || e.Feedback.Outcome == route.Shed {
		s.targets.ReturnConn(f.target, c.host, now)
	}
	if e.Result == Answered && e.Feedback.Outcome == route.Served {
		s.latencies.observe(c.class.Aim, elapsed)
		s.observeExtra(c, elapsed)
	}
}
