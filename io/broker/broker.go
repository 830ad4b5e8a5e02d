package broker

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cardamomspool/core/engine"
	"cardamomspool/io/telem"
)

type (
	// Arrival is the message of a new call. Every decision about the call is
	// handed to Deliver, which must not wait.
	Arrival struct {
		Event   engine.Arrive
		Deliver func(engine.Action)
	}

	// Broker owns the engine of one service. It takes Arrivals and
	// engine.Events as messages, and lets time pass in the engine only while
	// calls are held, so that an idle service costs nothing.
	Broker struct {
		engine  *engine.Service
		name    string // Of the service.
		waiters map[uint64]func(engine.Action)
		actions []engine.Action
		metrics *telem.Set
		tick    time.Duration
		wake    *time.Timer
		due     time.Time // When the next Tick comes; zero for never.
	}
)

var _ actor.Actor = (*Broker)(nil)

// Spawn starts the broker of the service called name in system. While calls are
// held, time passes in the engine every tick.
func Spawn(system *actor.ActorSystem, name string, service *engine.Service, tick time.Duration, metrics *telem.Set) *actor.PID {
	b := &Broker{engine: service, name: name, waiters: make(map[uint64]func(engine.Action)), metrics: metrics, tick: tick}
	return system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return b }))
}

// Receive handles one message of the actor's mailbox.
func (b *Broker) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *Arrival:
		b.waiters[m.Event.Call] = m.Deliver
		b.handle(m.Event, now)
	case engine.Finish:
		b.handle(m, now)
		if m.Result.Final() {
			delete(b.waiters, m.Call)
		}
	case engine.Cancel:
		delete(b.waiters, m.Call)
		b.handle(m, now)
	case engine.Tick:
		b.due = time.Time{}
		b.handle(m, now)
	case engine.Event:
		b.handle(m, now)
	case *actor.Stopping:
		b.stopWake()
		return
	}
	b.setWake(ctx, now)
}

// setWake has the engine ticked while calls are held: after one tick's time,
// or sooner when a held call may be sent before that.
func (b *Broker) setWake(ctx actor.Context, now time.Time) {
	if b.engine.Held() == 0 {
		b.stopWake()
		return
	}
	at := now.Add(b.tick)
	if sooner, ok := b.engine.Wake(now); ok && sooner.Before(at) {
		at = sooner
	}
	if !b.due.IsZero() && !at.Before(b.due) {
		return
	}
	b.stopWake()
	self, root := ctx.Self(), ctx.ActorSystem().Root
	b.due = at
	b.wake = time.AfterFunc(at.Sub(now), func() { root.Send(self, engine.Tick{}) })
}

func (b *Broker) stopWake() {
	b.due = time.Time{}
	if b.wake != nil {
		b.wake.Stop()
	}
}

func (b *Broker) handle(e engine.Event, now time.Time) {
	b.actions = b.engine.Handle(b.actions[:0], e, now)
	for _, action := range b.actions {
		b.deliver(action)
	}
}

func (b *Broker) deliver(action engine.Action) {
	var call uint64
	switch action := action.(type) {
	case engine.Send:
		call = action.Call
		b.count(action)
	case engine.Hold:
		call = action.Call
	case engine.Refuse:
		call = action.Call
	}
	waiter, ok := b.waiters[call]
	if !ok {
		return
	}
	if _, last := action.(engine.Refuse); last {
		delete(b.waiters, call)
	}
	waiter(action)
}

func (b *Broker) count(s engine.Send) {
	b.metrics.Count("attempts").Add(1)
	if s.Attempt > 1 {
		b.metrics.Count("retries").Add(1)
	}
	b.metrics.Histogram("queue_time", b.name).Observe(s.Held)
	if s.ReportAge >= 0 {
		b.metrics.Histogram("report_age", b.name).Observe(s.ReportAge)
	}
}
