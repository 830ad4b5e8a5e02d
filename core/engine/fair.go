package engine

import (
	"math"
	"time"

	"cardamomspool/core/admit"
	"cardamomspool/core/route"
)

type (
	// fairness shares the slots of the service among client accounts. It does nothing until
	// the first call with an account. From then on, calls without one share a flow.
	fairness struct {
		active bool
		flows  admit.Fair
		// share is the share of all calls that are served. ranks and classes hold the parts
		// of it that are guaranteed to ranks and to classes.
		share   admit.Share
		ranks   map[int]*admit.Floor
		classes map[classKey]*admit.Floor
		// busy is the load as of seenAt. recentInFlight is the largest recent number of calls
		// at targets, which falls slowly, see inFlightMemory.
		busy           admit.Busy
		seenAt         time.Time
		recentInFlight float64
		// displaced is a buffer that refuseDisplaced reuses, unused holds the fairCalls of
		// ended calls for reuse.
		displaced []uint64
		unused    []*fairCall
	}

	// classKey tells classes apart by aim and by the time left before the deadline, each as
	// aimKey gives it: either may limit how long a call can wait.
	classKey struct{ aim, left int }

	// fairCall is what fairness knows of an open call. It is nil for calls that fairness does
	// not apply to.
	fairCall struct {
		flow        *admit.Flow
		rank, class *admit.Floor
		start       float64 // The start tag.
		work        float64 // The expected time at a target, in seconds.
		queued      bool    // The call has been queued.
		charged     bool    // The flow was charged when the call was queued.
		owed        bool    // A Floor has the call served ahead of others.
		repeat      bool    // Taken for the repeat of a refused call, so that it earns nothing.
		paidRuns    int     // The number of attempts charged, without sheds; 0 before the first.
		lastCharge  float64 // The flow's start tag when an attempt after the first was last charged.
	}
)

const (
	// owedRank is the rank of queued calls that a Floor has served ahead of others.
	owedRank = math.MinInt
	// spreadFactor is the number of mean deviations of the latency that the wait of a call
	// leaves to its aim; calls of evenly distributed latencies are then all in time.
	spreadFactor = 2
	// minWork is the least work that a call counts for, in seconds; no latency is known
	// before the first answer.
	minWork = 0.001
	// A new call is queued when its estimated wait and 1/admitMargin of it more leaves it in
	// time, and a queued call is kept while its estimated wait less 1/displaceMargin of it
	// does, so that an error of the estimate does not have the call wait in vain, nor a call
	// refused that was queued a moment ago.
	admitMargin    = 8
	displaceMargin = 8
	// inFlightMemory is the time in which recentInFlight falls to about 1/e. While targets
	// pause after sheds or change over, few calls are at targets for a moment, by which the
	// whole queue would seem to be too long.
	inFlightMemory = time.Second
	// maxFairRetryAfter limits the estimated time after which a refused caller of an account
	// may retry. The estimate for a rank that more urgent ones keep from being served has
	// no bound, but the overload may end at any time.
	maxFairRetryAfter = 5 * time.Second
)

// observeLoad brings the load up to now, before an event changes it.
func (s *Scheduler) observeLoad(now time.Time) {
	f := &s.fair
	if !f.active {
		return
	}
	if d := now.Sub(f.seenAt); s.queue.Len() > 0 {
		f.busy.Waited += d
	} else {
		f.busy.Idle += d
	}
	f.recentInFlight *= 1 - min(float64(now.Sub(f.seenAt))/float64(inFlightMemory), 1)
	f.seenAt = now
	f.recentInFlight = max(f.recentInFlight, float64(s.targets.InFlight()))
	f.busy.InFlight, f.busy.CallTime = int(f.recentInFlight), s.targets.MeanLatency()
	f.flows.Observe(f.busy)
}

// joinFlow assigns an arriving call to the flow of its account.
func (s *Scheduler) joinFlow(c *call, now time.Time) {
	f := &s.fair
	if !f.active {
		if c.class.Account == "" {
			return
		}
		f.active, f.seenAt = true, now
		f.ranks, f.classes = make(map[int]*admit.Floor), make(map[classKey]*admit.Floor)
		s.observeLoad(now)
	}
	c.fair = f.newCall()
	*c.fair = fairCall{
		flow: f.flows.Join(c.class.Rank, c.class.Account, now),
		work: max(s.latencies.expect(c.class.Aim, s.targets.MeanLatency()).Seconds(), minWork),
	}
	left := c.deadline.Sub(now)
	c.fair.repeat = !c.fair.flow.Arrive(f.flows.FairRate(), now)
	if c.class.Returned || c.class.Late {
		return // Callers that repeat their calls often must not earn more by it.
	}
	c.fair.rank, c.fair.class = floorOf(f.ranks, c.class.Rank), floorOf(f.classes, classKey{aim: aimKey(c.class.Aim), left: aimKey(left)})
}

// newCall returns a fairCall of any content.
func (f *fairness) newCall() *fairCall {
	n := len(f.unused)
	if n == 0 {
		return &fairCall{}
	}
	c := f.unused[n-1]
	f.unused = f.unused[:n-1]
	return c
}

// floorOf returns the Floor of key in floors, and adds it if needed.
func floorOf[K comparable](floors map[K]*admit.Floor, key K) *admit.Floor {
	floor := floors[key]
	if floor == nil {
		floor = &admit.Floor{}
		floors[key] = floor
	}
	return floor
}

// floors returns the Floors that count the call. The call must not be a repeat.
func (f *fairCall) floors() [3]*admit.Floor {
	return [...]*admit.Floor{&f.flow.Floor, f.rank, f.class}
}

// queueFairly queues a call of an account, or refuses it. It refuses the call when it
// would probably wait too long behind the calls that are queued, behind those of its own
// account, or for its rank to be served, or when the queue is full of calls that are
// served before it.
func (s *Scheduler) queueFairly(dst []Action, id uint64, c *call, now time.Time) []Action {
	f := c.fair
	f.start = f.flow.Start()
	if f.rank != nil && !f.repeat {
		f.claimOwed(now)
	}
	h := s.queuedCall(id, c)
	if wait := s.estimateFairWait(h, c.host, now); now.Add(wait + wait/admitMargin).After(h.Until) {
		return s.refuse(dst, id, c, NoProspect, now)
	}
	for err := s.queue.Push(h); err != nil; err = s.queue.Push(h) {
		last, ok := s.queue.Last()
		if !ok || last.Flow == nil || s.queue.Ahead(h) == s.queue.Len() {
			return s.refuse(dst, id, c, QueueFull, now)
		}
		dst = s.refuseQueued(dst, last.Call, QueueFull, now)
	}
	f.queued = true
	if !c.class.Late && !f.owed {
		f.flow.Charge(f.work)
		f.charged = true
	}
	return s.appendHold(dst, id)
}

// claimOwed has the call served ahead of others when a Floor owes that to it.
func (f *fairCall) claimOwed(now time.Time) {
	for _, floor := range f.floors() {
		f.owed = f.owed || floor.Owes()
	}
	if !f.owed {
		return
	}
	for _, floor := range f.floors() {
		floor.Serve(now)
	}
}

// longestWait returns how long a call with the given aim may wait to be answered in time.
// With accounts, this allows for the spread of the latencies: under overload all calls are
// sent at the end of this time, and those that take longer than expected would be late.
func (s *Scheduler) longestWait(c *call, expected time.Duration) time.Duration {
	if c.fair == nil {
		return c.class.Aim - expected
	}
	return c.class.Aim - expected - spreadFactor*s.latencies.spread(c.class.Aim)
}

// orderFairly sets the fields of a queued call that depend on its account. A call that is
// sent again keeps its tag.
func (f *fairCall) orderFairly(h *admit.QueuedCall) {
	if f == nil {
		return
	}
	h.Flow, h.Start = f.flow, f.start
	if f.owed && h.Rank < lateRankOffset {
		h.Rank, h.Start = owedRank, 0
	}
}

// estimateFairWait estimates how long a call of an account waits: as estimateWait does, and
// as Flow.Wait does unless the call is late, which is served when nothing else waits, or
// owed, which is served ahead of others.
func (s *Scheduler) estimateFairWait(h admit.QueuedCall, host uint64, now time.Time) time.Duration {
	ahead := s.queue.Ahead(h)
	wait := s.estimateWait(ahead, host, now)
	if h.Rank == owedRank || h.Rank >= lateRankOffset {
		return wait
	}
	return max(wait, h.Flow.Wait(h.Start, ahead-s.queue.AheadOfRank(h.Rank)))
}

// chargeSend counts an attempt that has just begun. The work of an attempt after a failed
// one counts for the account; that of one after a shed doesn't, since the target did not
// run the call.
func (s *Scheduler) chargeSend(c *call) {
	f := c.fair
	if f == nil {
		return
	}
	runs := c.attempts - c.sheds
	if f.paidRuns > 0 {
		if runs > f.paidRuns {
			f.lastCharge = f.flow.Start()
			f.flow.Charge(f.work)
			f.paidRuns = runs
		}
		return
	}
	f.paidRuns = max(runs, 1)
	s.fair.countOutcome(f, true)
	if f.owed {
		return
	}
	if !f.queued {
		f.start = f.flow.Start()
	}
	f.flow.Sent(f.start, f.queued)
	if !f.charged {
		f.flow.Charge(f.work)
	}
}

// refundAttempt takes back the work of one of two attempts, which no target has run.
func (s *Scheduler) refundAttempt(c *call) {
	f := c.fair
	if f == nil || f.paidRuns < 2 {
		return
	}
	f.paidRuns--
	f.flow.Refund(f.work)
	s.queue.Advance(f.flow, f.lastCharge, f.work)
}

// countOutcome counts a call that is sent for the first time, or that ends without that. It
// does nothing for calls that are known to be repeats. A call that is taken for one earns
// nothing, but when it is served it uses what the call that was refused has earned.
// claimOwed has counted an owed call as served.
func (f *fairness) countOutcome(c *fairCall, served bool) {
	if c.rank == nil {
		return
	}
	if c.repeat {
		for _, floor := range c.floors() {
			if served {
				floor.Serve(f.seenAt)
			}
		}
		return
	}
	f.share.Observe(served)
	for _, floor := range c.floors() {
		floor.Earn(f.share.Value(), f.seenAt)
		switch {
		case served && !c.owed:
			floor.Serve(f.seenAt)
		case !served && c.owed:
			floor.Return()
		}
	}
}

// leaveFlow removes a call that has ended and is not queued from the flow of its account.
// What a call that was never sent counted for is taken back.
func (s *Scheduler) leaveFlow(c *call) {
	f := c.fair
	if f == nil {
		return
	}
	if f.paidRuns == 0 {
		f.flow.Refused(s.fair.seenAt)
		s.fair.countOutcome(f, false)
		if f.charged {
			f.flow.Refund(f.work)
			s.queue.Advance(f.flow, f.start, f.work)
		}
	}
	s.fair.flows.Leave(f.flow)
	s.fair.unused = append(s.fair.unused, f) // Its content holds until the next arrival.
	if len(s.calls) == 0 {
		s.fair.flows.EndBusyPeriod()
	}
}

// refuseDisplaced refuses the queued calls of accounts that can no longer be in time,
// because calls of other accounts or of more urgent ranks that arrived later are served
// before them. Calls that wait to be sent again are left until they expire.
func (s *Scheduler) refuseDisplaced(dst []Action, now time.Time) []Action {
	f := &s.fair
	if !f.active {
		return dst
	}
	ahead, aheadOfRank, rank := 0, 0, owedRank
	f.displaced = f.displaced[:0]
	for i := range s.queue.Len() {
		h := s.queue.At(i)
		if h.Rank != rank {
			rank, aheadOfRank = h.Rank, ahead
		}
		if h.Flow != nil && s.calls[h.Call].fair.paidRuns == 0 {
			wait := admit.EstimateWait(ahead, f.busy.InFlight, f.busy.CallTime)
			if rank != owedRank && rank < lateRankOffset {
				wait = max(wait, h.Flow.Wait(h.Start, ahead-aheadOfRank))
			}
			if now.Add(wait - wait/displaceMargin).After(h.Until) {
				f.displaced = append(f.displaced, h.Call)
				continue
			}
		}
		ahead++
	}
	for _, id := range f.displaced {
		dst = s.refuseQueued(dst, id, NoProspect, now)
	}
	return dst
}

// refuseQueued refuses a queued call.
func (s *Scheduler) refuseQueued(dst []Action, id uint64, reason Reason, now time.Time) []Action {
	c := s.calls[id]
	if h, ok := s.queue.Take(id); ok {
		c.fair.unqueued(h)
	}
	return s.refuse(dst, id, c, reason, now)
}

// unqueued records the start tag of a call that has left the queue as h. It may be lower
// than the tag with which the call was queued, see admit.Queue.Advance.
func (f *fairCall) unqueued(h admit.QueuedCall) {
	if f != nil && !f.owed {
		f.start = h.Start
	}
}

// retryAfterCall returns the time after which the caller of a refused call may retry. For a
// call of an account, it is the estimated time until a call of the account that arrives now
// is served, and at least that of the document, spread.
func (s *Scheduler) retryAfterCall(c *call, now time.Time) time.Duration {
	if c.fair == nil {
		return s.retryAfter(c.host, now)
	}
	flow := c.fair.flow
	h := admit.QueuedCall{Rank: c.class.Rank, Start: flow.Start(), Flow: flow}
	ahead := s.queue.Ahead(h)
	wait := s.estimateWait(ahead, c.host, now)
	if wait >= route.MaxLimitWait {
		wait = 0 // Another host may have a share of the limits.
	}
	served := min(flow.Wait(h.Start, ahead-s.queue.AheadOfRank(h.Rank)), maxFairRetryAfter)
	return s.spread(max(s.doc.Refuse.RetryAfter.Std(), wait, served))
}

// spread returns a random time from wait to twice as long, so that refused callers do not
// return together.
func (s *Scheduler) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(s.rng.Float64()*float64(wait))
}

// accountStats sets the fields of stats that describe the accounts. It takes time
// proportional to the number of flows.
func (f *fairness) accountStats(stats *Stats) {
	stats.AccountsWaiting = f.flows.Waiting()
	if stats.OpenCalls > 0 {
		stats.LargestShare = float64(f.flows.LargestOpen()) / float64(stats.OpenCalls)
	}
}
