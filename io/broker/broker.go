package broker

import (
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cardamomspool/core/engine"
	"cardamomspool/io/telem"
)

type (
	// Arrival is the message for a new call. The broker passes every action of
	// the scheduler for this call to Deliver, which must not block.
	Arrival struct {
		Event   engine.Arrive
		Deliver func(engine.Action)
		// Received is when this process learnt of the call.
		Received time.Time
	}

	// Inspect is the message that asks for the state of the broker. Deliver must
	// not block.
	Inspect struct {
		Deliver func(State)
	}

	// State is the state of a broker at one moment.
	State struct {
		// Stats describes the calls and targets.
		Stats engine.Stats
		// LongestLag is the longest time, since the last Inspect, that an Arrival
		// waited for the broker.
		LongestLag time.Duration
	}

	// Broker owns the scheduler of one service. It receives Arrivals and
	// engine.Events as messages. It passes Ticks to the scheduler only while calls
	// are queued, so that an idle service costs no processor time.
	Broker struct {
		scheduler    *engine.Scheduler
		name         string                         // Name of the service.
		deliverFuncs map[uint64]func(engine.Action) // Arrival.Deliver of each open call.
		actions      []engine.Action                // Reused by handle.
		metrics      *telem.Registry
		interval     time.Duration // Maximum time between two Ticks while calls are queued.
		timer        *time.Timer
		nextTick     time.Time     // Time of the next Tick; zero when none is scheduled.
		longestLag   time.Duration // As in State.
		log          *slog.Logger
		resets       bool // The last results of Scheduler.ResetsWhenFull.
		resetsTaken  uint64
	}
)

var _ actor.Actor = (*Broker)(nil)

// Spawn starts the broker of the service called name in system and returns its
// address for messages. While calls are queued, the scheduler gets a Tick at least
// every interval.
func Spawn(system *actor.ActorSystem, name string, scheduler *engine.Scheduler, interval time.Duration, metrics *telem.Registry, log *slog.Logger) *actor.PID {
	b := &Broker{scheduler: scheduler, name: name, deliverFuncs: make(map[uint64]func(engine.Action)), metrics: metrics, interval: interval, log: log}
	return system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return b }))
}

// Receive handles one message of the actor's mailbox.
func (b *Broker) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *Arrival:
		lag := now.Sub(m.Received)
		b.longestLag = max(b.longestLag, lag)
		b.metrics.Histogram("event_lag", b.name).Observe(lag)
		b.deliverFuncs[m.Event.Call] = m.Deliver
		b.handle(m.Event, now)
	case engine.Finish:
		b.handle(m, now)
		if m.Result.EndsCall() {
			delete(b.deliverFuncs, m.Call)
		}
	case engine.Cancel:
		delete(b.deliverFuncs, m.Call)
		b.handle(m, now)
	case engine.Tick:
		b.nextTick = time.Time{}
		b.handle(m, now)
	case engine.Event:
		b.handle(m, now)
	case Inspect:
		m.Deliver(State{Stats: b.scheduler.Stats(now), LongestLag: b.longestLag})
		b.longestLag = 0
		return
	case *actor.Stopping:
		b.cancelTick()
		return
	}
	b.scheduleTick(ctx, now)
}

// scheduleTick schedules the next Tick while calls are queued: after the interval,
// or sooner when a queued call may be sent before that. A Tick that is already
// scheduled for that time or earlier is left.
func (b *Broker) scheduleTick(ctx actor.Context, now time.Time) {
	if b.scheduler.QueuedCalls() == 0 {
		b.cancelTick()
		return
	}
	at := now.Add(b.interval)
	if next, ok := b.scheduler.NextDispatch(now); ok && next.Before(at) {
		at = next
	}
	if !b.nextTick.IsZero() && !at.Before(b.nextTick) {
		return
	}
	b.cancelTick()
	self, root := ctx.Self(), ctx.ActorSystem().Root
	b.nextTick = at
	b.timer = time.AfterFunc(at.Sub(now), func() { root.Send(self, engine.Tick{}) })
}

// cancelTick cancels the scheduled Tick, if there is one.
func (b *Broker) cancelTick() {
	b.nextTick = time.Time{}
	if b.timer != nil {
		b.timer.Stop()
	}
}

// handle passes an event to the scheduler and delivers the resulting actions.
func (b *Broker) handle(e engine.Event, now time.Time) {
	b.actions = b.scheduler.Handle(b.actions[:0], e, now)
	for _, action := range b.actions {
		b.deliver(action)
	}
	b.reportResets(now)
}

// reportResets counts the resets that were taken as a sign of a full target, and logs when the
// service is learnt to reset connections or is no longer taken to do so.
func (b *Broker) reportResets(now time.Time) {
	learnt, taken := b.scheduler.ResetsWhenFull(now)
	if taken > b.resetsTaken {
		b.metrics.Counter("resets_when_full").Add(int64(taken - b.resetsTaken))
		b.resetsTaken = taken
	}
	if learnt == b.resets {
		return
	}
	b.resets = learnt
	if learnt {
		b.metrics.Counter("services_learnt_to_reset").Add(1)
		b.log.Warn("targets reset connections when full", "service", b.name)
		return
	}
	b.log.Info("targets no longer reset connections when full", "service", b.name)
}

// deliver passes an action to the Deliver function of its call, if the call is
// still open. A refusal ends the call.
func (b *Broker) deliver(action engine.Action) {
	var call uint64
	switch action := action.(type) {
	case engine.Send:
		call = action.Call
		b.count(action)
	case engine.Hold:
		call = action.Call
	case engine.ExtraRefused:
		call = action.Call
	case engine.Refuse:
		call = action.Call
		if action.Reason == engine.Unreported {
			b.metrics.Counter("calls_unreported").Add(1)
		}
	}
	deliver, ok := b.deliverFuncs[call]
	if !ok {
		return
	}
	if _, final := action.(engine.Refuse); final {
		delete(b.deliverFuncs, call)
	}
	deliver(action)
}

// count counts an attempt in the metrics, and records the time from the call's
// arrival to the attempt and the age of the target's last load report.
func (b *Broker) count(s engine.Send) {
	b.metrics.Counter("attempts").Add(1)
	if s.Attempt > 1 {
		b.metrics.Counter("retries").Add(1)
	}
	b.metrics.Histogram("queue_time", b.name).Observe(s.HeldFor)
	if s.ReportAge >= 0 {
		b.metrics.Histogram("report_age", b.name).Observe(s.ReportAge)
	}
}
