package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/keys"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/feed"
	"cardamomspool/io/place"
	"cardamomspool/io/signs"
)

type (
	// fleet is an entry host's side of its fleet. It discovers control hosts from
	// seeds, which are addresses of some of them, receives the plan and the targets
	// from them, and delegates the decisions about calls to them.
	fleet struct {
		host     *Host
		state    *feed.State       // The plan, targets and control hosts as known here.
		follower *feed.Follower    // Updates state from the control hosts.
		controls *place.ClientPool // Streams for the delegated decisions.
		splits   *plan.Splits      // Distributes the calls of a route over its services.
		active   atomic.Pointer[activePlan]
		// planKnown is closed when the first plan comes into force.
		planKnown chan struct{}
		// planConfirmed is feed.Follower.Confirmed.
		planConfirmed <-chan struct{}
		seeds         *feed.Seeds
		lease         *keyLease
		hosts         signs.HostCount
		coldLimits    *signs.ColdLimits // Those of coldLimit.
		// lateUndecided has room for the late calls that may wait for a decision.
		lateUndecided chan struct{}

		mu sync.Mutex
		// early holds the calls that have waited for the first plan, until it is in
		// force.
		early []earlyCall
	}

	// earlyCall is what a call that waits for the first plan says about its route.
	earlyCall struct {
		host, path string
		timeout    time.Duration
	}

	// activePlan is the plan in force.
	activePlan struct {
		plan  *plan.Plan
		table *plan.Table
		// accounts finds the account of a key; nil when the plan has none.
		accounts *keys.Table
		// unreadable says, at a host outside a fleet, that there are accounts of which
		// nothing is known, so that no key is accepted.
		unreadable bool
		// longestTimeouts holds the longest timeout that any caller has sent, by
		// route. A retrying caller sends a shorter one.
		longestTimeouts sync.Map // *plan.Route to time.Duration
	}
)

const (
	reasonNoPlan         = "no_plan"
	reasonNoRouteService = "no_part"
	reasonDecisionLost   = "decision_lost"
	// Causes for recoverDecision: how the control host that decides about a call
	// has failed.
	causeStreamLost = "stream_lost"
	causeNoDecision = "no_decision"
	// maxPlanWait is how long a call waits for the first plan, and at most the part
	// planWaitDivisor of its timeout. Of 141 entry hosts that start together on narrow
	// links the last one has its plan after 0.8 s; a refusal would cost the caller its
	// retry, and bring it back in the same second.
	maxPlanWait     = 800 * time.Millisecond
	planWaitDivisor = 3
	// planRetryAfter is the delay that a host without a plan tells callers to wait
	// before a retry (Retry-After).
	planRetryAfter = 200 * time.Millisecond
	// decisionTimeout is how long a control host may take for a decision, in
	// addition to the estimated delay behind callers' uploads (see uploadBacklog).
	// It is about ten round-trip times. A call with an aim waits for the part
	// decisionAimDivisor of it, if that is longer, and at most maxDecisionTimeout: this
	// host alone knows little of the targets, and under load most of them are full.
	decisionTimeout    = 60 * time.Millisecond
	maxDecisionTimeout = 250 * time.Millisecond
	decisionAimDivisor = 4

	// settleCheckInterval is the time between two checks whether the control host that
	// is to decide can be asked; about the time in which a stream opens.
	settleCheckInterval = 10 * time.Millisecond
	// maxLateUndecided bounds the late calls for which this host waits for a decision. After
	// a loss of power most calls are late, and all hosts together would keep a control host
	// busy for half a second, in which calls that can still be in time are not decided.
	maxLateUndecided = 2
	// maxEarlyCalls bounds the calls whose timeouts are remembered until there is a plan.
	maxEarlyCalls = 4096

	// decisionBuffer is the number of decisions about one call that may wait to be
	// executed, such as a hold and the decisions after it; further ones are dropped
	// and logged.
	decisionBuffer = 8
	// A call is late when its caller has spent on earlier attempts at least the
	// aim divided by lateAimDivisor. The work itself takes about the rest of the
	// aim.
	lateAimDivisor = 2

	// Limits of an entry host of a fleet that decides locally. It sees only a small
	// part of the calls, so it sends each target one call at a time and never
	// retries. localQueueLength and localMaxOpenCalls are per service.
	localSlots        = 1
	localQueueLength  = 32
	localMaxQueueTime = 300 * time.Millisecond
	localMaxOpenCalls = 4096
	localRetryAfter   = 200 * time.Millisecond
	localAttempts     = 1
)

func newFleet(h *Host) *fleet {
	f := &fleet{
		host: h, seeds: feed.NewSeeds(h.cfg.Fleet.Seeds), planKnown: make(chan struct{}), coldLimits: signs.NewColdLimits(),
		lateUndecided: make(chan struct{}, maxLateUndecided), splits: plan.NewSplits(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	f.lease = newKeyLease(h.cfg.Fleet.KeyLease.Std(), h.log, h.metrics)
	f.state = feed.NewState(feed.WithLogger(h.log), feed.WithMetrics(h.metrics),
		feed.OnTargets(f.setTargets), feed.OnPlan(f.setPlan), feed.OnAccounts(f.setQuotaState))
	f.follower = feed.NewFollower(f.state, feed.Self{
		Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Peer: h.cfg.PeerAddress,
	}, f.seeds.List, trafficOf(h.metrics, "feed"))
	f.planConfirmed = f.follower.Confirmed()
	f.controls = place.NewClientPool(f.state.Controls, f.follower.Informed, trafficOf(h.metrics, "place"), h.log, h.metrics)
	return f
}

// run follows the control hosts and keeps streams to them until ctx ends.
func (f *fleet) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { f.follower.Run(ctx) })
	group.Go(func() { f.controls.Run(ctx) })
	group.Go(func() { f.listCarriers(ctx) })
	group.Go(func() { f.lease.run(ctx, func(asked time.Duration) { f.askVoters(ctx, asked) }) })
}

// SetSeeds replaces the addresses from which the host discovers control hosts. It
// has no effect on a host outside a fleet.
func (h *Host) SetSeeds(seeds []netip.AddrPort) {
	if h.fleet == nil {
		return
	}
	h.fleet.seeds.Set(seeds)
}

// ready reports whether a plan is in force and the targets are known.
func (f *fleet) ready() bool {
	return f.active.Load() != nil && f.follower.Synced()
}

// setPlan puts a plan in force. It is called by f.state.
func (f *fleet) setPlan(p *plan.Plan) {
	h := f.host
	next := &serviceMap{byName: make(map[string]*service)}
	current := h.services.Load()
	for _, v := range p.Services {
		s := &service{doc: localDocument(v), revision: p.Version}
		if old := current.byName[v.Name]; old != nil {
			s.pid = old.pid
		} else {
			s.pid = h.spawnEngine(s.doc)
		}
		next = next.with(s)
	}
	f.splits.Retain(p)
	f.setQuotas(p)
	h.services.Store(next)
	f.limitCold(p)
	f.shareSlots()
	if f.active.Swap(&activePlan{plan: p, table: plan.NewTable(p), accounts: newAccounts(p)}) == nil {
		close(f.planKnown)
	}
	f.lease.setPlan(p) // After the plan is in force; see Host.checkKey.
	for name, old := range current.byName {
		if next.byName[name] == nil {
			h.system.Root.Stop(old.pid)
			f.coldLimits.Remove(name)
		}
	}
	go func() {
		for _, s := range next.list {
			f.setTargets(s.doc.Name, f.state.Records(s.doc.Name))
		}
	}()
}

// localDocument returns the document of a service for an entry host that decides
// locally.
func localDocument(v plan.Service) spec.Service {
	doc := spec.Default()
	doc.Name = v.Name
	doc.Hold = spec.Hold{Length: localQueueLength, LongestWait: strict.Duration(localMaxQueueTime)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(localRetryAfter), OpenCalls: localMaxOpenCalls}
	doc.Retry = spec.Retry{Attempts: localAttempts}
	doc.Targets = spec.Targets{Slots: localSlots, Connections: max(v.Connections, 1)}
	return doc
}

// setTargets passes the targets of a service to this host's own engine, which
// decides when no control host does. It changes records: Slots becomes localSlots.
func (f *fleet) setTargets(service string, records []member.Record) {
	for i := range records {
		records[i].Slots = localSlots
	}
	f.host.setTargets(service, records)
}

// findRoute returns the route of a call by the plan v, or the problem to answer with when
// there is none. A path with encoded slashes must have the same route whether they count as
// slashes or not, as the target may read them either way.
func (f *fleet) findRoute(v *activePlan, r *http.Request) (*plan.Route, *problem) {
	route := v.table.Find(withoutPort(r.Host), r.URL.Path)
	escaped := r.URL.EscapedPath()
	if strings.Contains(strings.ToLower(escaped), encodedSlash) && v.table.Find(withoutPort(r.Host), escaped) != route {
		return nil, &problem{http.StatusBadRequest, reasonBadRequest, "encoded slash in the part of the path that selects the route"}
	}
	switch {
	case route == nil && !f.follower.Synced():
		return nil, &problem{http.StatusServiceUnavailable, reasonNoPlan, detailPlanOutdated}
	case route == nil:
		return nil, &problem{http.StatusNotFound, reasonNoService, "no route"}
	}
	return route, nil
}

// selectPart returns the service and the class of a call of a route, or the problem to
// answer with when no part of the route takes calls.
func (f *fleet) selectPart(v *activePlan, route *plan.Route, callInfo wire.CallerInfo) (*service, spec.Class, *problem) {
	name, ok := f.splits.Pick(route)
	s := f.host.services.Load().byName[name]
	if !ok || s == nil {
		return nil, spec.Class{}, &problem{http.StatusServiceUnavailable, reasonNoRouteService, "no part of the route takes calls"}
	}
	class := spec.Class{
		Weight: 1, Deadline: route.Timeout.Std(), Idempotent: route.Idempotent,
		Rank: route.Rank, RouteRank: route.Rank, Aim: route.Aim.Std(), Attempts: route.Attempts,
	}
	if callInfo.Timeout > 0 {
		class.Deadline = min(class.Deadline, callInfo.Timeout)
		v.deductElapsed(route, callInfo.Timeout, &class)
	}
	return s, class, nil
}

// awaitPlan returns the plan in force and the time that it has waited for it. Until there
// is one, and until it is confirmed, it waits, since a starting host receives the plan
// soon, as long as awaitAll says. It returns nil after that: a control host that is out of
// touch may send an old plan.
func (f *fleet) awaitPlan(r *http.Request, timeout time.Duration) (p *activePlan, waited time.Duration) {
	if isClosed(f.planKnown) && isClosed(f.planConfirmed) {
		return f.active.Load(), 0
	}
	begin := time.Now()
	f.noteEarly(r, timeout)
	if !awaitAll(r.Context(), timeout, f.planKnown, f.planConfirmed) {
		return nil, time.Since(begin)
	}
	p = f.active.Load()
	f.learnEarly(p)
	return p, time.Since(begin)
}

// noteEarly records the timeout of a call that waits for the first plan; 0 for none.
func (f *fleet) noteEarly(r *http.Request, timeout time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if timeout > 0 && len(f.early) < maxEarlyCalls {
		f.early = append(f.early, earlyCall{host: withoutPort(r.Host), path: r.URL.Path, timeout: timeout})
	}
}

// learnEarly records the longest timeouts of the calls that have waited for the plan.
// After a loss of power most of them are retries, and without the others each would count
// as a first attempt.
func (f *fleet) learnEarly(v *activePlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.early {
		if route := v.table.Find(e.host, e.path); route != nil {
			v.observeTimeout(route, e.timeout)
		}
	}
	f.early = nil
}

// awaitAll waits until all events, whose channels are closed then, have happened: up to
// maxPlanWait, and up to the part planWaitDivisor of timeout, the time that the caller
// gives, if that is known. It reports whether they have.
func awaitAll(ctx context.Context, timeout time.Duration, events ...<-chan struct{}) bool {
	wait := maxPlanWait
	if timeout > 0 {
		wait = min(wait, timeout/planWaitDivisor)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, event := range events {
		select {
		case <-event:
		case <-ctx.Done():
			return isClosed(event)
		}
	}
	return true
}

// isClosed reports whether c, on which nothing is sent, is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// deductElapsed subtracts from the aim of a call the time that its caller has
// spent on earlier attempts, or marks the call as late (see lateAimDivisor). The
// time spent is the longest timeout that any caller has sent on the route minus
// timeout, which the caller has sent with this call.
func (v *activePlan) deductElapsed(route *plan.Route, timeout time.Duration, class *spec.Class) {
	elapsed := v.observeTimeout(route, timeout) - timeout
	class.Returned = elapsed > 0
	if elapsed >= class.Aim/lateAimDivisor {
		class.Late = true
		return
	}
	class.Aim -= elapsed
}

// observeTimeout records a timeout that a caller has sent on a route, and returns the
// longest one so far.
func (v *activePlan) observeTimeout(route *plan.Route, timeout time.Duration) time.Duration {
	stored, _ := v.longestTimeouts.Load(route)
	longest, _ := stored.(time.Duration)
	if timeout > longest {
		v.longestTimeouts.Store(route, timeout)
	}
	return max(longest, timeout)
}

// hasDeparted reports whether the target of a decision is draining or has left as far
// as this host knows. The host that decided may not know it yet, as when it was frozen
// or cut off.
func (f *fleet) hasDeparted(s engine.Send) bool {
	t, known := f.state.Target(s.Target)
	return known && (t.Incarnation() > s.Incarnation && s.Incarnation > 0 || t.State >= member.Draining)
}

// awaitTurn waits until a late call may be decided, up to maxPlanWait. The returned
// function must be called once it is decided.
func (f *fleet) awaitTurn(ctx context.Context, c *call) func() {
	if !c.class.Late {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, maxPlanWait)
	defer cancel()
	end := sync.OnceFunc(func() { <-f.lateUndecided })
	select {
	case f.lateUndecided <- struct{}{}:
		return end
	default:
		f.host.metrics.Counter("late_calls_delayed").Add(1)
	}
	select {
	case f.lateUndecided <- struct{}{}:
		return end
	case <-ctx.Done():
		return func() {}
	case <-f.host.halting.refused.Done(): // awaitDecisions refuses the call.
		return func() {}
	}
}

// awaitDecider waits while the control host that all hosts will ask about a call is not
// ready yet, as after a start. A host that decides alone then knows nothing of the targets,
// and the calls that have waited for it would fill them all at once. The wait is that for
// a decision; a late call, which has nothing more to lose and must not delay the others,
// waits up to maxPlanWait.
func (f *fleet) awaitDecider(ctx context.Context, c *call) {
	wait := decisionPatience(c.class.Aim)
	if c.class.Late {
		wait = maxPlanWait
	}
	service := c.service.doc.Name
	if !f.controls.Settling(service, time.Now()) {
		return
	}
	f.host.metrics.Counter("calls_before_decider").Add(1)
	for begin := time.Now(); time.Since(begin) < wait && f.host.halting.refused.Err() == nil && sleep(ctx, settleCheckInterval); {
		if !f.controls.Settling(service, time.Now()) {
			return
		}
	}
}

// delegate asks the control host of the call's service to decide about the call.
// It returns false if there is no such host or its stream has just ended; the call
// has then not been sent to it.
func (f *fleet) delegate(c *call, now time.Time) bool {
	client := f.controls.Pick(c.service.doc.Name, now)
	if client == nil {
		return false
	}
	decisions, streamLost := make(chan engine.Action, decisionBuffer), make(chan struct{})
	callbacks := place.Callbacks{
		OnDecision: func(a engine.Action) {
			select {
			case decisions <- a:
			default:
				f.host.log.Error("decision dropped: buffer full", "call", c.name)
			}
		},
		OnStreamLost: func() { close(streamLost) },
	}
	arrive := withoutCountedAccount(c, f.host.arriveEvent(c))
	arrive.Resets = f.host.signs.TakeResets(c.service.doc.Name)
	if !client.StartCall(c.service.doc.Name, arrive, callbacks, now) {
		return false
	}
	c.control, c.decisions, c.controlLost = client, decisions, streamLost
	c.startDecisionTimer()
	return true
}

// startDecisionTimer starts the wait for a decision of the control host. The wait is
// decisionPatience plus the estimated delay behind callers' uploads.
func (c *call) startDecisionTimer() {
	wait := c.host.uploads.queueDelay()
	c.decisionRequested, c.delayedByUploads = time.Now(), wait > 0
	c.decisionOverdue = time.After(decisionPatience(c.class.Aim) + wait)
}

// decisionPatience returns how long a call with an aim, 0 for none, waits for a decision
// that nothing on this host delays.
func decisionPatience(aim time.Duration) time.Duration {
	return min(max(aim/decisionAimDivisor, decisionTimeout), maxDecisionTimeout)
}
