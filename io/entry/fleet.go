package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/feed"
	"cardamomspool/io/place"
)

type (
	// fleet is the part of an entry host that finds control hosts from seeds,
	// follows their plan and targets, and has them decide for its calls.
	fleet struct {
		host     *Host
		board    *feed.Board
		follower *feed.Follower
		links    *place.Links
		splits   *plan.Splits
		routes   atomic.Pointer[routes]
		// planned is closed once there is a plan.
		planned chan struct{}
		seeds   *feed.Seeds
	}

	// routes is the plan in force.
	routes struct {
		plan  *plan.Plan
		table *plan.Table
		// patience holds how long callers wait, by route: the longest time
		// that one has named. Those who come back name less.
		patience sync.Map // *plan.Route to time.Duration
	}
)

const (
	reasonNoPlan  = "no_plan"
	reasonNoPart  = "no_part"
	reasonNoGuide = "decision_lost"
	// Why a call leaves the control host that decided for it.
	whyStreamLost = "stream_lost"
	whyNoDecision = "no_decision"
	// planWait is how long a call waits for the first plan: a few times what
	// it takes to connect to a control host.
	planWait = 250 * time.Millisecond
	// planRetry is when a caller may come back to a host that has no plan.
	planRetry = 200 * time.Millisecond
	// answerLimit is how long a control host may take to say what becomes of
	// a call, besides what the decision may wait behind bodies of callers: some
	// ten times the way there and back.
	answerLimit = 60 * time.Millisecond

	// guideActions is the most decisions about a call that can be on their
	// way: a hold and what follows.
	guideActions = 8
	// lateShare is the part of its aim that a caller may have spent before
	// and still be answered in time; work alone takes about the rest.
	lateShare = 2

	// An entry host that decides for itself sees a small part of the calls, so
	// it gives a target one call at a time and sends none again.
	aloneSlots    = 1
	aloneHeld     = 32
	aloneWait     = 300 * time.Millisecond
	aloneOpen     = 4096
	aloneBackoff  = 200 * time.Millisecond
	aloneAttempts = 1
)

func newFleet(h *Host) *fleet {
	f := &fleet{
		host: h, seeds: feed.NewSeeds(h.cfg.Fleet.Seeds), planned: make(chan struct{}),
		splits: plan.NewSplits(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	f.board = feed.NewBoard(feed.WithLogger(h.log), feed.WithMetrics(h.metrics),
		feed.OnTargets(f.setTargets), feed.OnPlan(f.setPlan))
	f.follower = feed.NewFollower(f.board, feed.Self{
		Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Peer: h.cfg.PeerAddress,
	}, f.seeds.List, trafficOf(h.metrics, "feed"))
	f.links = place.NewLinks(f.board.Controls, trafficOf(h.metrics, "place"), h.log, h.metrics)
	return f
}

func (f *fleet) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { f.follower.Run(ctx) })
	group.Go(func() { f.links.Run(ctx) })
}

// SetSeeds replaces the addresses that the host searches from. It has no
// effect on a host that is no part of a fleet.
func (h *Host) SetSeeds(seeds []netip.AddrPort) {
	if h.fleet == nil {
		return
	}
	h.fleet.seeds.Set(seeds)
}

// ready reports whether the plan and the targets are known.
func (f *fleet) ready() bool {
	return f.routes.Load() != nil && f.follower.Informed()
}

// setPlan puts a plan in force. It is called by the board.
func (f *fleet) setPlan(p *plan.Plan) {
	h := f.host
	next := &serviceMap{byName: make(map[string]*service)}
	current := h.services.Load()
	for _, v := range p.Services {
		s := &service{doc: aloneDocument(v), revision: p.Version}
		if old := current.byName[v.Name]; old != nil {
			s.pid = old.pid
		} else {
			s.pid = h.spawn(s.doc)
		}
		next = next.with(s)
	}
	f.splits.Keep(p)
	h.services.Store(next)
	if f.routes.Swap(&routes{plan: p, table: plan.NewTable(p)}) == nil {
		close(f.planned)
	}
	for name, old := range current.byName {
		if next.byName[name] == nil {
			h.system.Root.Stop(old.pid)
		}
	}
	go func() {
		for _, s := range next.list {
			f.setTargets(s.doc.Name, f.board.Records(s.doc.Name))
		}
	}()
}

// aloneDocument returns the document of a service for an entry host that
// decides for itself.
func aloneDocument(v plan.Service) spec.Service {
	doc := spec.Default()
	doc.Name = v.Name
	doc.Hold = spec.Hold{Length: aloneHeld, LongestWait: strict.Duration(aloneWait)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(aloneBackoff), OpenCalls: aloneOpen}
	doc.Retry = spec.Retry{Attempts: aloneAttempts}
	doc.Targets = spec.Targets{Slots: aloneSlots, Connections: max(v.Connections, 1)}
	return doc
}

// setTargets hands the targets of a service to the engine that decides when
// no control host does.
func (f *fleet) setTargets(service string, records []member.Record) {
	for i := range records {
		records[i].Slots = aloneSlots
	}
	f.host.retarget(service, records)
}

// find returns the service that takes a call and how the call is treated, or
// the answer when there is none.
func (f *fleet) find(r *http.Request, told wire.Told) (*service, spec.Class, *problem) {
	var class spec.Class
	v := f.awaitPlan(r.Context())
	if v == nil {
		return nil, class, &problem{http.StatusServiceUnavailable, reasonNoPlan, "no plan is known yet"}
	}
	route := v.table.Find(withoutPort(r.Host), r.URL.Path)
	switch {
	case route == nil && !f.follower.Informed():
		return nil, class, &problem{http.StatusServiceUnavailable, reasonNoPlan, "the plan may be out of date"}
	case route == nil:
		return nil, class, &problem{http.StatusNotFound, reasonNoService, "no route"}
	}
	name, ok := f.splits.Pick(route)
	s := f.host.services.Load().byName[name]
	if !ok || s == nil {
		return nil, class, &problem{http.StatusServiceUnavailable, reasonNoPart, "no part of the route takes calls"}
	}
	class = spec.Class{
		Weight: 1, Deadline: route.Timeout.Std(), Idempotent: route.Idempotent,
		Rank: route.Rank, Aim: route.Aim.Std(), Attempts: route.Attempts,
	}
	if told.Patience > 0 {
		class.Deadline = min(class.Deadline, told.Patience)
		v.age(route, told.Patience, &class)
	}
	return s, class, nil
}

// awaitPlan returns the plan in force. A host that has just started has it
// within moments, so a call waits for it for a short while.
func (f *fleet) awaitPlan(ctx context.Context) *routes {
	if v := f.routes.Load(); v != nil {
		return v
	}
	ctx, cancel := context.WithTimeout(ctx, planWait)
	defer cancel()
	select {
	case <-f.planned:
	case <-ctx.Done():
	}
	return f.routes.Load()
}

// age takes from the aim of a call the time that its caller has already spent
// on earlier attempts.
func (v *routes) age(route *plan.Route, patience time.Duration, class *spec.Class) {
	longest, _ := v.patience.Load(route)
	most, _ := longest.(time.Duration)
	if patience >= most {
		v.patience.Store(route, patience)
		return
	}
	spent := most - patience
	if spent >= class.Aim/lateShare {
		class.Late = true
		return
	}
	class.Aim -= spent
}

// guide hands a call to the control host that decides for its service, and
// reports false when there is none.
func (f *fleet) guide(c *call, now time.Time) bool {
	link := f.links.Pick(c.service.doc.Name, now)
	if link == nil {
		return false
	}
	waiter, lost := make(chan engine.Action, guideActions), make(chan struct{})
	w := place.Waiter{
		Decide: func(a engine.Action) {
			select {
			case waiter <- a:
			default:
				f.host.log.Error("decision not taken", "call", c.name)
			}
		},
		Lose: func() { close(lost) },
	}
	if !link.Arrive(c.service.doc.Name, f.host.arrival(c), w, now) {
		return false
	}
	c.link, c.waiter, c.lost = link, waiter, lost
	c.expect()
	return true
}

// expect sets when a decision must have come.
func (c *call) expect() {
	wait := c.host.ingest.wait()
	c.asked, c.crowded = time.Now(), wait > 0
	c.overdue = time.After(answerLimit + wait)
}
