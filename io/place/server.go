package place

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/spec"
	"cardamomspool/io/broker"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/probe"
	"cardamomspool/io/telem"
)

type (
	// Server decides for the calls of services that entry hosts stream to it.
	// Use NewServer.
	Server struct {
		cfg     Config
		log     *slog.Logger
		metrics *telem.Set
		system  *actor.ActorSystem
		targets func(service string) []member.Record
		ask     probe.Ask

		mu       sync.Mutex
		ctx      context.Context
		plan     *plan.Plan
		services map[string]*service
		nextCall uint64
	}

	// Config holds what a Server needs to know.
	Config struct {
		// Service is the document that all services start from.
		Service spec.Service
		// ProbeInterval is the time between two probes of one target; 0 sends
		// none.
		ProbeInterval time.Duration
		// Tick is the time between two looks at held calls.
		Tick time.Duration
	}

	// service is one service for which this host decides.
	service struct {
		pid     *actor.PID
		prober  *probe.Prober
		arrived time.Time
	}

	// stream is one entry host's stream of calls.
	stream struct {
		server *Server
		out    *queue[*peerpb.CallDecision]

		mu sync.Mutex
		// calls maps the entry host's numbers of calls to this host's.
		calls map[uint64]placed
	}

	placed struct {
		call uint64
		pid  *actor.PID
	}
)

// idleAfter is how long after the last call a service's targets are probed.
const idleAfter = 10 * time.Second

// NewServer returns a server. targets returns the present targets of a
// service, ask probes one target.
func NewServer(cfg Config, targets func(service string) []member.Record, ask probe.Ask, log *slog.Logger, metrics *telem.Set) *Server {
	return &Server{
		cfg: cfg, log: log, metrics: metrics, targets: targets, ask: ask, ctx: context.Background(),
		system:   actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return log })),
		services: make(map[string]*service),
	}
}

// Run lets services end that get no calls, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	defer s.system.Shutdown()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.sweep(now)
		}
	}
}

// sweep stops probing for services that get no calls.
func (s *Server) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, v := range s.services {
		if now.Sub(v.arrived) > idleAfter && v.prober != nil {
			v.prober.Stop()
			v.prober = nil
			s.log.Info("service no longer decided here", "service", name)
		}
	}
}

// SetPlan takes in a new plan.
func (s *Server) SetPlan(p *plan.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = p
	for name, v := range s.services {
		if doc, ok := s.document(name); ok {
			s.system.Root.Send(v.pid, engine.Configure{Document: doc})
			continue
		}
		if v.prober != nil {
			v.prober.Stop()
		}
		s.system.Root.Stop(v.pid)
		delete(s.services, name)
	}
}

// SetTargets takes in the targets of a service.
func (s *Server) SetTargets(name string, records []member.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[name]
	if !ok {
		return
	}
	s.system.Root.Send(v.pid, engine.Retarget{Records: records})
	if v.prober != nil {
		v.prober.SetTargets(records)
	}
}

// document returns the document of a service of the plan. The caller holds mu.
func (s *Server) document(name string) (spec.Service, bool) {
	if s.plan == nil {
		return spec.Service{}, false
	}
	for _, v := range s.plan.Services {
		if v.Name == name {
			doc := s.cfg.Service
			doc.Name = name
			return doc, true
		}
	}
	return spec.Service{}, false
}

// serviceOf returns the broker of a service, which it starts when there is
// none, and a number for one more call.
func (s *Server) serviceOf(name string, now time.Time) (*actor.PID, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[name]
	if !ok {
		var doc spec.Service
		if doc, ok = s.document(name); !ok {
			return nil, 0, false
		}
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		v = &service{pid: broker.Spawn(s.system, name, engine.NewService(doc, rng, engine.WithHolds()), s.cfg.Tick, s.metrics)}
		s.services[name] = v
		s.system.Root.Send(v.pid, engine.Retarget{Records: s.targets(name)})
	}
	v.arrived = now
	if v.prober == nil && s.cfg.ProbeInterval > 0 {
		v.prober = s.probe(name, v.pid)
	}
	if v.prober != nil {
		v.prober.Called(now)
	}
	s.nextCall++
	return v.pid, s.nextCall, true
}

func (s *Server) probe(name string, pid *actor.PID) *probe.Prober {
	path := ""
	for _, v := range s.plan.Services {
		if v.Name == name {
			path = v.HealthPath
		}
	}
	s.log.Info("service decided here", "service", name, "probe_interval", s.cfg.ProbeInterval.String())
	p := probe.New(s.ctx, s.ask, path, s.cfg.ProbeInterval, func(r engine.Report) { s.system.Root.Send(pid, r) },
		s.metrics, s.log)
	p.SetTargets(s.targets(name))
	return p
}

// Serve serves one entry host's stream until it ends.
func (s *Server) Serve(grpc peerpb.Fleet_PlaceServer) error {
	v := &stream{server: s, out: newQueue[*peerpb.CallDecision](), calls: make(map[uint64]placed)}
	defer v.end()
	go v.send(grpc)
	for {
		m, err := grpc.Recv()
		if err != nil {
			return err
		}
		now := time.Now()
		for _, e := range m.GetEvents() {
			v.handle(e, now)
		}
	}
}

// send sends decisions until the stream ends.
func (v *stream) send(grpc peerpb.Fleet_PlaceServer) {
	for {
		select {
		case <-grpc.Context().Done():
			return
		case <-v.out.wake:
		}
		list := v.out.take()
		if len(list) == 0 {
			continue
		}
		if err := grpc.Send(&peerpb.CallDecisions{Decisions: list}); err != nil {
			return // Serve ends with the same stream.
		}
	}
}

func (v *stream) handle(e *peerpb.CallEvent, now time.Time) {
	switch m := e.GetEvent().(type) {
	case *peerpb.CallEvent_Arrive:
		v.arrive(e, m.Arrive, now)
	case *peerpb.CallEvent_Finish:
		v.mu.Lock()
		p, ok := v.calls[e.GetCall()]
		finish := toFinish(p.call, m.Finish)
		if finish.Result.Final() {
			delete(v.calls, e.GetCall())
		}
		v.mu.Unlock()
		if ok {
			v.server.system.Root.Send(p.pid, finish)
		}
	case *peerpb.CallEvent_Cancel:
		v.mu.Lock()
		p, ok := v.calls[e.GetCall()]
		delete(v.calls, e.GetCall())
		v.mu.Unlock()
		if ok {
			v.server.system.Root.Send(p.pid, engine.Cancel{Call: p.call, Overdue: m.Cancel.GetOverdue()})
		}
	}
}

func (v *stream) arrive(e *peerpb.CallEvent, m *peerpb.CallArrive, now time.Time) {
	theirs := e.GetCall()
	pid, ours, ok := v.server.serviceOf(e.GetService(), now)
	if !ok {
		v.out.add(fromAction(theirs, engine.Refuse{Reason: engine.NoTarget, NotRun: true}))
		return
	}
	v.mu.Lock()
	v.calls[theirs] = placed{call: ours, pid: pid}
	v.mu.Unlock()
	v.server.system.Root.Send(pid, &broker.Arrival{
		Event: toArrive(ours, m, now),
		Deliver: func(a engine.Action) {
			if _, last := a.(engine.Refuse); last {
				v.mu.Lock()
				delete(v.calls, theirs)
				v.mu.Unlock()
			}
			v.out.add(fromAction(theirs, a))
		},
	})
}

// end takes the calls of the stream off their targets.
func (v *stream) end() {
	v.out.close()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.calls {
		v.server.system.Root.Send(p.pid, engine.Cancel{Call: p.call})
	}
	clear(v.calls)
}
