package place

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/rank"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/io/broker"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/probe"
	"cardamomspool/io/telem"
)

type (
	// Server decides about the calls that entry hosts stream to it. Use
	// NewServer.
	Server struct {
		cfg         Config
		log         *slog.Logger
		metrics     *telem.Registry
		system      *actor.ActorSystem
		probeTarget probe.Func

		mu       sync.Mutex
		targets  map[string][]member.Record // Of all services, by name.
		ctx      context.Context            // Ends the probers.
		plan     *plan.Plan                 // nil before the first plan.
		services map[string]*service
		controls []netip.AddrPort // The last result of Config.Controls.
		started  time.Time
		nextCall uint64 // The last ID given to a call.
		streams  uint64 // The number of streams that were opened.
		informed bool   // The last result of ColdConfig.Informed.

		extrasRefused atomic.Uint64 // The number of second attempts that were refused.
	}

	// Config configures a Server.
	Config struct {
		// ServiceTemplate is the document (configuration) of every service, except for
		// the service's name.
		ServiceTemplate spec.Service
		// ProbeInterval is the time between two probes of one target; 0 turns
		// probing off.
		ProbeInterval time.Duration
		// HoldCheckInterval is the longest time, while calls are held, between two
		// checks whether a held call is to be sent or refused.
		HoldCheckInterval time.Duration
		// Self is the address of this host, and Controls returns those of the control
		// hosts that may decide for the same services. They share the slack of the
		// retry budget; without Controls this host has all of it.
		Self     netip.AddrPort
		Controls func() []netip.AddrPort
		// Cold bounds the calls to cold targets.
		Cold ColdConfig
		// Quota limits the calls of client accounts, of all services together; nil for
		// no limits.
		Quota engine.Quota
		// ExtraAttempts is the largest share of the calls of a service that may get a
		// second attempt beside the first, over all control hosts that decide for it; 0
		// for none. It holds in a sliding window of ExtraWindow.
		ExtraAttempts float64
		ExtraWindow   time.Duration
		// LogOneIn logs one in this many refused second attempts; 0 logs none.
		LogOneIn int
	}

	// service is one service for which this host decides or has decided.
	service struct {
		pid      *actor.PID    // The actor that owns the engine.
		prober   *probe.Prober // nil while the targets are not probed.
		lastCall time.Time     // When the last call arrived.
		slack    int           // Of the retry budget, in the document in force.
		cold     route.ColdLimit
		extras   engine.LimitExtras
	}

	// entryStream is the control host's side of one entry host's stream: it passes
	// call events to the actors and queues the decisions of the actors to be sent.
	entryStream struct {
		server   *Server
		number   uint64 // Identifies the entry host while the stream lasts; from 1.
		outgoing *queue[*peerpb.CallDecision]

		mu sync.Mutex
		// callsByRemoteID holds the open calls by their ID at the entry host.
		callsByRemoteID map[uint64]localCall
	}

	// localCall identifies a call on this host: its ID here and the actor that
	// decides about it.
	localCall struct {
		id  uint64
		pid *actor.PID
	}
)

// LimitShare is the share of a target's named limit that all calls of a service may use
// together. Two hosts may decide for a service for a moment, as when one replaces the
// other; together they stay within one and a half times the limit.
const LimitShare = 0.7

// probeIdleTimeout is how long a service's targets are probed after its last
// call.
const probeIdleTimeout = 10 * time.Second

// NewServer returns a server, which refuses all calls until SetPlan and knows no targets
// until SetTargets. probeTarget probes one target.
func NewServer(cfg Config, probeTarget probe.Func, log *slog.Logger, metrics *telem.Registry) *Server {
	return &Server{
		cfg: cfg, log: log, metrics: metrics, targets: make(map[string][]member.Record), probeTarget: probeTarget, ctx: context.Background(),
		system:   actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return log })),
		services: make(map[string]*service), started: time.Now(),
	}
}

// Run logs the states of the services every second, ends their overdue calls, stops the
// probing of idle ones and adapts this host's shares of retry budgets. When ctx ends it shuts the actor system down and returns.
func (s *Server) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.shareBudgets()
	s.adaptColdLimits()
	defer s.system.Shutdown()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.shareBudgets()
			s.adaptColdLimits()
			s.logStates()
			s.endOverdueCalls()
			s.stopIdleProbers(now)
		}
	}
}

// shareBudgets adapts this host's shares of the retry budgets to the control hosts that
// are known now.
func (s *Server) shareBudgets() {
	if s.cfg.Controls == nil {
		return
	}
	controls := s.cfg.Controls() // Not under mu, see SetTargets.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controls = controls
	for name, v := range s.services {
		if doc, ok := s.document(name); ok && doc.Retry.Slack != v.slack {
			s.log.Info("share of retry budget", "service", name, "slack", doc.Retry.Slack, "before", v.slack, "control_hosts", len(controls))
			s.configure(v, doc)
		}
		if limit := s.cfg.LimitExtras(name, controls); limit != v.extras {
			v.extras = limit
			s.system.Root.Send(v.pid, limit)
		}
	}
}

// configure puts a document in force. The caller holds mu.
func (s *Server) configure(v *service, doc spec.Service) {
	v.slack = doc.Retry.Slack
	s.system.Root.Send(v.pid, engine.Configure{Document: doc})
}

// endOverdueCalls passes a Tick to all services, since brokers have none of their own
// while no calls are queued.
func (s *Server) endOverdueCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		s.system.Root.Send(v.pid, engine.Tick{})
	}
}

// logStates logs the state of each service whose targets are probed, that is, for
// which this host has had a call recently.
func (s *Server) logStates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, v := range s.services {
		if v.prober == nil {
			continue
		}
		s.system.Root.Send(v.pid, broker.Inspect{Deliver: func(b broker.State) {
			s.log.Info("service state", "service", name, "open", b.Stats.OpenCalls, "queued", b.Stats.QueuedCalls,
				"overdue", b.Stats.OverdueCalls, "in_flight", b.Stats.InFlight, "reported", b.Stats.Targets.ReportedCalls,
				"targets", b.Stats.Targets.Ready, "full", b.Stats.Targets.Full, "failing", b.Stats.Targets.Failing, "limited", b.Stats.Targets.Limited, "resets_when_full", b.Stats.ResetsWhenFull, "cold", b.Stats.Targets.Cold, "mean_latency", b.Stats.MeanLatency.String(),
				"longest_lag", b.LongestLag.String(), "accounts_waiting", b.Stats.AccountsWaiting, "largest_share", math.Round(b.Stats.LargestShare*100)/100)
		}})
	}
}

// stopIdleProbers stops the probing of services that have had no call for more than
// probeIdleTimeout. Their actors keep running.
func (s *Server) stopIdleProbers(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, v := range s.services {
		if now.Sub(v.lastCall) > probeIdleTimeout && v.prober != nil {
			v.prober.Stop()
			v.prober = nil
			s.log.Info("service no longer decided here", "service", name)
		}
	}
}

// SetPlan replaces the plan. The actors and probers of services that the new plan does
// not contain are stopped.
func (s *Server) SetPlan(p *plan.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = p
	for name, v := range s.services {
		if doc, ok := s.document(name); ok {
			s.configure(v, doc)
			s.limitCold(name, v)
			continue
		}
		if v.prober != nil {
			v.prober.Stop()
		}
		s.system.Root.Stop(v.pid)
		delete(s.services, name)
	}
}

// SetTargets replaces the targets of a service. The caller must not modify records
// afterwards. SetTargets and SetPlan may be called with locks of the fleet's state held, those
// of its deliveries and plans, so the server calls nothing that takes them.
func (s *Server) SetTargets(name string, records []member.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(records) == 0 {
		delete(s.targets, name)
	} else {
		s.targets[name] = records
	}
	v, ok := s.services[name]
	if !ok {
		return
	}
	s.system.Root.Send(v.pid, engine.SetTargets{Records: records})
	if v.prober != nil {
		v.prober.SetTargets(records)
	}
}

// document returns the document of a service, or false when there is no plan or it
// does not contain the service. The caller holds mu.
func (s *Server) document(name string) (spec.Service, bool) {
	if s.plan == nil {
		return spec.Service{}, false
	}
	for _, v := range s.plan.Services {
		if v.Name == name {
			return s.cfg.Document(name, s.controls, time.Since(s.started)), true
		}
	}
	return spec.Service{}, false
}

// Document returns the document of a service at this host, which has run for the time
// age, when the given control hosts may decide for the service too. A host that has
// started within the window of the retry budget has no slack: it does not know what it has
// used of its share before the start.
func (c Config) Document(service string, controls []netip.AddrPort, age time.Duration) spec.Service {
	doc := c.ServiceTemplate
	doc.Name = service
	switch {
	case c.Controls == nil:
	case age < doc.Retry.Window.Std():
		doc.Retry.Slack = 0
	default:
		doc.Retry.Slack = int(float64(doc.Retry.Slack) * rank.Share(rank.Position(service, c.Self, controls)))
	}
	return doc
}

// serviceForCall returns the actor of a service and a new ID for a call that arrived
// at now. It starts the actor and the probing when they are not running. It returns
// false when the service has no document.
func (s *Server) serviceForCall(name string, now time.Time) (*actor.PID, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[name]
	if !ok {
		var doc spec.Service
		if doc, ok = s.document(name); !ok {
			return nil, 0, false
		}
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		extras := s.cfg.LimitExtras(name, s.controls)
		scheduler := engine.NewScheduler(doc, rng, engine.WithHolds(), engine.WithLimitShare(LimitShare), engine.WithQuota(s.cfg.Quota), engine.WithExtras(extras))
		v = &service{pid: broker.Spawn(s.system, name, scheduler, s.cfg.HoldCheckInterval, s.metrics, s.log), slack: doc.Retry.Slack, extras: extras}
		s.services[name] = v
		s.limitCold(name, v)
		s.system.Root.Send(v.pid, engine.SetTargets{Records: s.targets[name]})
	}
	v.lastCall = now
	if v.prober == nil && s.cfg.ProbeInterval > 0 {
		v.prober = s.startProber(name, v.pid)
	}
	if v.prober != nil {
		v.prober.RecordCall(now)
	}
	s.nextCall++
	return v.pid, s.nextCall, true
}

// startProber starts probing the targets of a service at the health path that the plan
// gives for the service. The prober reports to the actor pid. The caller holds mu.
func (s *Server) startProber(name string, pid *actor.PID) *probe.Prober {
	path := ""
	for _, v := range s.plan.Services {
		if v.Name == name {
			path = v.HealthPath
		}
	}
	s.log.Info("service decided here", "service", name, "probe_interval", s.cfg.ProbeInterval.String())
	p := probe.New(s.ctx, s.probeTarget, path, s.cfg.ProbeInterval, func(r engine.ProbeReport) {
		s.system.Root.Send(pid, r)
		s.cfg.Cold.reportCold(r)
	}, s.metrics, s.log)
	p.SetTargets(s.targets[name])
	return p
}

// Serve serves one entry host's stream until it ends and returns its error.
func (s *Server) Serve(rpc peerpb.Fleet_PlaceServer) error {
	st := &entryStream{server: s, number: s.nextStream(), outgoing: newQueue[*peerpb.CallDecision](), callsByRemoteID: make(map[uint64]localCall)}
	defer st.close()
	go st.send(rpc)
	for {
		m, err := rpc.Recv()
		if err != nil {
			return err
		}
		now := time.Now()
		for _, e := range m.GetEvents() {
			st.handle(e, now)
		}
	}
}

// nextStream returns the number of a new stream.
func (s *Server) nextStream() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams++
	return s.streams
}

// send sends queued decisions until the stream ends.
func (st *entryStream) send(rpc peerpb.Fleet_PlaceServer) {
	for {
		select {
		case <-rpc.Context().Done():
			return
		case <-st.outgoing.wake:
		}
		decisions := st.outgoing.takeAll()
		if len(decisions) == 0 {
			continue
		}
		if err := rpc.Send(&peerpb.CallDecisions{Decisions: decisions}); err != nil {
			return // Recv fails too, which ends Serve.
		}
	}
}

// handle passes a call event that arrived at now to the actor of its call. It
// ignores an event about an unknown call.
func (st *entryStream) handle(e *peerpb.CallEvent, now time.Time) {
	switch m := e.GetEvent().(type) {
	case *peerpb.CallEvent_Arrive:
		st.startCall(e, m.Arrive, now)
	case *peerpb.CallEvent_Finish:
		st.mu.Lock()
		c, ok := st.callsByRemoteID[e.GetCall()]
		finish := toFinish(c.id, m.Finish)
		if finish.Result.EndsCall() {
			delete(st.callsByRemoteID, e.GetCall())
		}
		st.mu.Unlock()
		if ok {
			st.server.system.Root.Send(c.pid, finish)
		}
	case *peerpb.CallEvent_Extra:
		st.askExtra(e.GetCall(), m.Extra.GetSilent())
	case *peerpb.CallEvent_Cancel:
		st.mu.Lock()
		c, ok := st.callsByRemoteID[e.GetCall()]
		delete(st.callsByRemoteID, e.GetCall())
		st.mu.Unlock()
		if ok {
			st.server.system.Root.Send(c.pid, engine.Cancel{Call: c.id, DeadlinePassed: m.Cancel.GetOverdue()})
		}
	}
}

// startCall passes a new call to the actor of its service, or refuses the call when
// its service has no document. A refusal ends the call.
func (st *entryStream) startCall(e *peerpb.CallEvent, m *peerpb.CallArrive, now time.Time) {
	remoteID := e.GetCall()
	pid, localID, ok := st.server.serviceForCall(e.GetService(), now)
	if !ok {
		st.outgoing.add(fromAction(remoteID, engine.Refuse{Reason: engine.NoTarget, NotRun: true}))
		return
	}
	st.mu.Lock()
	st.callsByRemoteID[remoteID] = localCall{id: localID, pid: pid}
	st.mu.Unlock()
	st.server.system.Root.Send(pid, &broker.Arrival{
		Event: toArrive(localID, st.number, m, now), Received: now,
		Deliver: func(a engine.Action) {
			if refused, isExtra := a.(engine.ExtraRefused); isExtra {
				st.server.recordExtraRefused(e.GetService(), st.number, remoteID, refused)
				return
			}
			if _, final := a.(engine.Refuse); final {
				st.mu.Lock()
				delete(st.callsByRemoteID, remoteID)
				st.mu.Unlock()
			}
			st.outgoing.add(fromAction(remoteID, a))
		},
	})
}

// close cancels all open calls of the stream, which frees the slots that they occupy
// at targets.
func (st *entryStream) close() {
	st.outgoing.close()
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, c := range st.callsByRemoteID {
		st.server.system.Root.Send(c.pid, engine.Cancel{Call: c.id})
	}
	clear(st.callsByRemoteID)
}
