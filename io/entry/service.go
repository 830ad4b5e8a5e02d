package entry

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/spec"
	"cardamomspool/io/telem"
)

type (
	// serviceMap is an unchanging view of the services in force.
	serviceMap struct {
		list   []*service
		byName map[string]*service
	}

	// service is one service in force and the actor that owns its engine.
	service struct {
		doc      spec.Service
		revision uint64
		pid      *actor.PID
	}

	// arrival is the message of a new call. The actor sends every decision
	// about the call to waiter, which must have room for one.
	arrival struct {
		event  engine.Arrive
		waiter chan engine.Action
	}

	// serviceActor owns the engine of one service. It lets time pass in the
	// engine only while calls are held, so that an idle service costs nothing.
	serviceActor struct {
		engine  *engine.Service
		waiters map[uint64]chan engine.Action
		actions []engine.Action
		metrics *telem.Set
		tick    time.Duration
		wake    *time.Timer
		due     time.Time // When the next Tick comes; zero for never.
	}
)

var _ actor.Actor = (*serviceActor)(nil)

// Receive handles one message of the actor's mailbox.
func (a *serviceActor) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *arrival:
		a.waiters[m.event.Call] = m.waiter
		a.handle(m.event, now)
	case engine.Finish:
		a.handle(m, now)
		if m.Result.Final() {
			delete(a.waiters, m.Call)
		}
	case engine.Cancel:
		delete(a.waiters, m.Call)
		a.handle(m, now)
	case engine.Tick:
		a.due = time.Time{}
		a.handle(m, now)
	case engine.Event:
		a.handle(m, now)
	case *actor.Stopping:
		a.stopWake()
		return
	}
	a.setWake(ctx, now)
}

// setWake has the engine ticked while calls are held: after one tick's time,
// or sooner when a held call may be sent before that.
func (a *serviceActor) setWake(ctx actor.Context, now time.Time) {
	if a.engine.Held() == 0 {
		a.stopWake()
		return
	}
	at := now.Add(a.tick)
	if sooner, ok := a.engine.Wake(now); ok && sooner.Before(at) {
		at = sooner
	}
	if !a.due.IsZero() && !at.Before(a.due) {
		return
	}
	a.stopWake()
	self, root := ctx.Self(), ctx.ActorSystem().Root
	a.due = at
	a.wake = time.AfterFunc(at.Sub(now), func() { root.Send(self, engine.Tick{}) })
}

func (a *serviceActor) stopWake() {
	a.due = time.Time{}
	if a.wake != nil {
		a.wake.Stop()
	}
}

func (a *serviceActor) handle(e engine.Event, now time.Time) {
	a.actions = a.engine.Handle(a.actions[:0], e, now)
	for _, action := range a.actions {
		a.deliver(action)
	}
}

func (a *serviceActor) deliver(action engine.Action) {
	switch action := action.(type) {
	case engine.Send:
		a.count(action)
		if waiter, ok := a.waiters[action.Call]; ok {
			waiter <- action
		}
	case engine.Refuse:
		if waiter, ok := a.waiters[action.Call]; ok {
			waiter <- action
			delete(a.waiters, action.Call)
		}
	}
}

func (a *serviceActor) count(s engine.Send) {
	a.metrics.Count("attempts").Add(1)
	if s.Attempt > 1 {
		a.metrics.Count("retries").Add(1)
	}
}

// find returns the service that takes a call, the one with the longest
// matching path prefix first, or nil.
func (m *serviceMap) find(hostPort, path string) *service {
	host := hostPort
	if name, _, err := net.SplitHostPort(hostPort); err == nil {
		host = name
	}
	var best *service
	longest := -1
	for _, s := range m.list {
		if n, ok := s.doc.Receive.Matches(host, path); ok && n > longest {
			best, longest = s, n
		}
	}
	return best
}

// with returns a copy of m in which s is added or replaced.
func (m *serviceMap) with(s *service) *serviceMap {
	return m.without(s.doc.Name).adding(s)
}

func (m *serviceMap) without(name string) *serviceMap {
	next := &serviceMap{byName: make(map[string]*service, len(m.byName)+1)}
	for _, s := range m.list {
		if s.doc.Name != name {
			next = next.adding(s)
		}
	}
	return next
}

func (m *serviceMap) adding(s *service) *serviceMap {
	m.list = append(m.list, s)
	slices.SortFunc(m.list, func(a, b *service) int { return cmp.Compare(a.doc.Name, b.doc.Name) })
	m.byName[s.doc.Name] = s
	return m
}

func (h *Host) spawn(doc spec.Service) *actor.PID {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a := &serviceActor{
		engine:  engine.NewService(doc, rng, engine.WithDataCentre(h.cfg.DataCentre)),
		waiters: make(map[uint64]chan engine.Action),
		metrics: h.metrics,
		tick:    h.cfg.Tick.Std(),
	}
	pid := h.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return a }))
	return pid
}

// retarget tells the actor of a service about its targets.
func (h *Host) retarget(name string, targets []member.Record) {
	if s, ok := h.services.Load().byName[name]; ok {
		h.system.Root.Send(s.pid, engine.Retarget{Records: targets})
	}
}
