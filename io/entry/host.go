package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"

	"cardamomspool/core/crash"
	"cardamomspool/core/quota"
	"cardamomspool/core/wire"
	"cardamomspool/io/admin"
	"cardamomspool/io/drain"
	"cardamomspool/io/links"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
	"cardamomspool/io/signs"
	"cardamomspool/io/telem"
)

type (
	// Host is one entry host. Use New.
	Host struct {
		cfg       setup.Entry
		log       *slog.Logger
		metrics   *telem.Registry
		system    *actor.ActorSystem
		forwarder *forwarder
		links     *links.Links // Those of forwarder.
		uploads   *uploadBacklog
		signs     targetSigns
		// accountCalls counts the calls of client accounts for the metrics.
		accountCalls accountTally
		crashes      *crash.Table // Calls that were at targets as these ended.
		suspects     callSuspects // Those of crashes.
		dialect      wire.Dialect
		members      *membership
		config       *configuration
		fleet        *fleet
		// quota limits the calls of client accounts that this host decides about alone;
		// nil in a fleet without quotas.
		quota *quota.Local
		// tally counts the calls of client accounts at a host outside a fleet.
		tally *quota.Tally
		// documentAccounts are the client accounts of a host outside a fleet; nil for none.
		documentAccounts atomic.Pointer[activePlan]
		newFront         func(*Host) http.Handler // See WithFront; nil if not set.
		draining         atomic.Bool              // Readiness is withdrawn, as the host is about to stop.
		halting          *halting
		callTimes        callTimes
		nextCall         atomic.Uint64 // The last call.id given.
		services         atomic.Pointer[serviceMap]
		decisionsSeen    atomic.Uint64 // Decisions counted to choose those to log.

		callers        setup.Callers
		keyPair        *keyPair // For TLS with callers; nil without TLS.
		openCalls      atomic.Int64
		lingering      atomic.Int64 // Connections to callers that may still be sending after their last answers.
		open           *openCalls   // Those whose service is known.
		callsCutOff    atomic.Int64 // Calls open when the grace period of a stop ended.
		unanswered     atomic.Int64 // Requests that had begun on any server when that period ended.
		callNamePrefix string       // Starts the names of calls that callers have not named.
	}

	// Option sets one property of a Host.
	Option func(*Host)

	// server is a listening address and the functions that serve and stop it. They let
	// open requests end until their context ends, and then cut them off.
	server struct {
		name    string
		address netip.AddrPort
		serve   func(net.Listener) error
		// stopCalls stops what serves calls, before any server is stopped; nil for nothing.
		stopCalls func(context.Context)
		// stop stops the rest; nil for nothing.
		stop func(context.Context)
		// awaitsHosts says that requests of the rest wait for other hosts.
		awaitsHosts bool
	}
)

// idleStopTime bounds the time in which a server whose requests wait for nothing stops once
// all calls have ended.
const idleStopTime = 200 * time.Millisecond

// maxCarryBytes bounds what wire.SetCarry adds to the header of a request.
const maxCarryBytes = 4 << 10

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(h *Host) { h.log = log }
}

// WithMetrics sets the metrics that the host updates.
func WithMetrics(metrics *telem.Registry) Option {
	return func(h *Host) { h.metrics = metrics }
}

// WithDialect sets the header fields exchanged with callers and targets; the
// default is wire.Spool.
func WithDialect(d wire.Dialect) Option {
	return func(h *Host) { h.dialect = d }
}

// WithFront sets the constructor of the handler at the front address, at which a host
// of a fleet tells its platform whether it is ready. By default nothing is served
// there.
func WithFront(front func(*Host) http.Handler) Option {
	return func(h *Host) { h.newFront = front }
}

// New returns a host with configuration cfg, which must be valid.
func New(cfg setup.Entry, opts ...Option) *Host {
	h := &Host{cfg: cfg, log: slog.New(slog.DiscardHandler), metrics: telem.NewRegistry(), dialect: wire.Spool(), signs: new(signs.Signs), halting: newHalting()}
	for _, opt := range opts {
		opt(h)
	}
	log := h.log
	h.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return log }))
	h.links = links.New(cfg.SourceAddress, cfg.DataCentre, links.WithLogger(h.log), links.WithMetrics(h.metrics),
		links.WithQueueDelay(func() time.Duration { return h.uploads.queueDelay() }))
	h.forwarder = newForwarder(h.links, h.dialect, h.log, h.metrics)
	h.uploads = newUploadBacklog(cfg.Fleet.LinkMbps)
	h.open = newOpenCalls(h.log, h.metrics)
	h.callers = cfg.Callers.WithDefaults()
	// The start time keeps the names of calls unique across restarts.
	h.callNamePrefix = cfg.Host + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-"
	h.services.Store(&serviceMap{})
	h.members = newMembership(&h.cfg, h.log, h.metrics)
	h.members.onTargets = h.setTargets
	h.forwarder.activity = &h.members.activity
	h.config = newConfiguration(h)
	h.quota, h.tally = newLocalQuota(&h.cfg), quota.NewTally(fixedQuotaWindow)
	if cfg.Fleet.Enabled() {
		h.fleet = newFleet(h)
		h.crashes = h.fleet.state.Crashes()
	} else {
		h.crashes = crash.NewTable()
	}
	h.members.crashes = h.crashes
	suspects := signs.NewSuspects(h.crashes, h.shareLostCalls, h.log, h.metrics)
	h.suspects = suspects
	h.forwarder.losses = signs.NewLosses(signs.LossChecks{
		Ended: suspects.AddLost, Dial: h.links.Probe, Replaced: h.targetReplaced, Answered: h.forwarder.answeredSince,
	})
	h.metrics.Func("targets", func() any { return h.members.usable() })
	h.metrics.Func("documents", func() any { return h.config.status() })
	h.metrics.Func("calls_open", func() any { return h.openCalls.Load() })
	h.metrics.Func("connections_open", func() any { return h.links.OpenCount() })
	h.metrics.Func("requests_unanswered", func() any { return h.unanswered.Load() })
	h.metrics.Func("calls_by_account", h.accountCalls.counts)
	h.metrics.Func("services", func() any { return len(h.services.Load().byName) })
	return h
}

// Run serves until ctx ends or a server fails, and then stops in the phases that the
// settings give; see package halt. It returns an error when the host cannot start or a
// server fails.
func (h *Host) Run(ctx context.Context) error {
	defer h.system.Shutdown()
	if h.fleet == nil {
		if err := h.config.open(); err != nil {
			return err
		}
		defer h.config.close()
	}
	if h.callers.TLS.Enabled() {
		var err error
		if h.keyPair, err = loadKeyPair(h.callers.TLS); err != nil {
			return err
		}
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	h.forwarder.work = work
	h.links.SetWork(work)
	var background sync.WaitGroup
	defer background.Wait()
	defer stopWork()
	servers := h.servers()
	failed := make(chan error, len(servers))
	for i, s := range servers {
		var (
			l   net.Listener
			err error
		)
		if l, err = net.Listen("tcp", s.address.String()); err != nil {
			now := time.Now()
			h.stopAll(servers[:i], now, now)
			return errors.Wrapf(err, "entry: %s address", s.name)
		}
		go func() { failed <- s.serve(l) }()
	}
	if h.fleet != nil {
		background.Go(func() { h.fleet.run(work) })
		background.Go(func() { h.accountCalls.run(work, h.log) })
	} else {
		background.Go(func() { h.config.run(work) })
		background.Go(func() { h.members.run(work) })
		background.Go(func() { h.runLostCalls(work) })
	}
	h.links.AddCarriers(h.listedCarriers())
	go h.links.Reap(work)
	go h.watchCallers(work)
	if h.keyPair != nil {
		go h.keyPair.watchFiles(work, keyPairCheckInterval, h.log)
	}
	h.log.Info("entry host serves", "call_address", h.cfg.CallAddress, "admin_address", h.cfg.AdminAddress,
		"announce_address", h.cfg.AnnounceAddress)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stopped, phases := time.Now(), h.cfg.Phases()
	h.open.stop(stopped)
	h.config.stopping.Store(true)
	cut, refuse := stopped.Add(phases.Cut), stopped.Add(phases.Refuse)
	if h.cfg.StopTime > 0 {
		h.halting.end.Store(&refuse)
	}
	if err == nil {
		h.log.Info("entry host drains", "delay", phases.Drain.String(), "cut_off_after", phases.Cut.String(), "calls_open", h.openCalls.Load())
		err = h.drain(failed, stopped.Add(phases.Drain))
	}
	begin := time.Now()
	h.log.Info("entry host stops", "calls_open", h.openCalls.Load(), "grace", cut.Sub(begin).String())
	if h.cfg.StopTime > 0 {
		h.halting.last.Store(&refuse)
	}
	refusal := time.AfterFunc(time.Until(refuse), h.halting.refuse)
	h.stopAll(servers, cut, stopped.Add(phases.Exit))
	refusal.Stop()
	h.halting.refuse()
	h.log.Info("entry host stopped", "took", time.Since(begin).String(), "calls_cut_off", h.callsCutOff.Load(),
		"requests_unanswered", h.unanswered.Load(), "longest_after_stop", h.open.longestAfterStop().String())
	return err
}

// drain withdraws readiness and continues to accept calls until end, so that the balancer
// in front of this host can switch to other hosts. Each response asks its caller to close
// the connection. drain returns the error of a server that fails meanwhile.
func (h *Host) drain(failed <-chan error, end time.Time) error {
	h.draining.Store(true)
	h.forwarder.stopping.Store(true)
	select {
	case <-time.After(time.Until(end)):
		return nil
	case err := <-failed:
		return err
	}
}

// servers returns the host's servers.
func (h *Host) servers() []server {
	announce := drain.New(&http.Server{Handler: h.announceHandler(), ReadHeaderTimeout: admin.ReadHeaderTimeout})
	operators := &http.Server{Handler: h.adminHandler(), ReadHeaderTimeout: admin.ReadHeaderTimeout}
	peers := peer.NewServer()
	peerpb.RegisterMembershipServer(peers, h.members)
	if h.fleet != nil {
		list := []server{h.callServer(), h.carrierServer(), h.httpServer("admin", h.cfg.AdminAddress, operators)}
		if h.newFront != nil {
			front := &http.Server{Handler: h.newFront(h), ReadHeaderTimeout: admin.ReadHeaderTimeout}
			list = append(list, h.httpServer("front", h.cfg.Fleet.FrontAddress, front))
		}
		return list
	}
	peerTraffic, announceTraffic := trafficOf(h.metrics, "peer"), trafficOf(h.metrics, "announce")
	carrier := h.carrierServer()
	return []server{
		h.callServer(),
		{
			name: "announce", address: h.cfg.AnnounceAddress,
			serve: func(l net.Listener) error { return announce.Serve(peer.CountListener(l, announceTraffic)) },
			stop:  h.stopHTTP(announce, func() {}), awaitsHosts: true,
		},
		{
			name: "peer", address: h.cfg.PeerAddress,
			serve: func(l net.Listener) error {
				splitter := peer.NewSplitter(l)
				go splitter.Run(h.forwarder.work)
				go h.serveCarrier(carrier, splitter.HTTP())
				return peers.Serve(peer.CountListener(splitter.GRPC(), peerTraffic))
			},
			stopCalls: carrier.stopCalls,
			stop:      func(context.Context) { peers.Stop() },
		},
		h.httpServer("admin", h.cfg.AdminAddress, operators),
	}
}

// callServer returns the server that accepts calls.
func (h *Host) callServer() server {
	inner := drain.New(h.newCallServer(h, h.headerCeiling()))
	return server{
		name: "call", address: h.cfg.CallAddress,
		serve: func(l net.Listener) error {
			listener := h.trackCallers(inner.Server, l)
			listener.maxHeaderBytes = func() int { return h.maxHeaderBytes() + headerSlop }
			listener.refusesHeaders = h.maxHeaderBytesVaries()
			if h.keyPair == nil {
				return inner.Serve(listener)
			}
			inner.TLSConfig = h.keyPair.config()
			return inner.ServeTLS(listener, "", "")
		},
		stopCalls: h.stopHTTP(inner, func() {
			h.callsCutOff.Store(h.openCalls.Load())
			h.open.cutOff(false, time.Now())
		}),
	}
}

// carrierServer returns the server that accepts the calls of other entry hosts.
func (h *Host) carrierServer() server {
	inner := drain.New(h.newCallServer(carrierHandler{h}, h.headerCeiling()+maxCarryBytes))
	return server{
		name: "carrier", address: h.cfg.PeerAddress,
		serve:     func(l net.Listener) error { return inner.Serve(h.trackCallers(inner.Server, l)) },
		stopCalls: h.stopHTTP(inner, func() { h.open.cutOff(true, time.Now()) }),
	}
}

// serveCarrier runs the carrier server behind the listener of another server, whose end
// ends it too.
func (h *Host) serveCarrier(s server, l net.Listener) {
	if err := s.serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		h.log.Error("calls of other entry hosts are not served", "error", err)
	}
}

// newCallServer returns an HTTP server for calls, whose headers have at most
// maxHeaderBytes.
func (h *Host) newCallServer(handler http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: h.callers.HeaderTimeout.Std(), IdleTimeout: h.callers.IdleTimeout.Std(),
		MaxHeaderBytes: maxHeaderBytes, ConnContext: withCaller,
		ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelWarn),
	}
}

// headerSlop is how much more than MaxHeaderBytes net/http reads of a header.
const headerSlop = 4 << 10

// trackCallers returns a listener that limits and tracks the connections of l, which s is
// to serve.
func (h *Host) trackCallers(s *http.Server, l net.Listener) *callerListener {
	callers := &callerListener{
		Listener: l, lingering: &h.lingering, limit: int64(h.callers.MaxConnections),
		maxHeaderBytes: func() int { return s.MaxHeaderBytes + headerSlop }, log: h.log, metrics: h.metrics,
	}
	track := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		track(c, state)
		callers.trackState(c, state)
	}
	return callers
}

// httpServer returns a server that serves inner.
func (h *Host) httpServer(name string, address netip.AddrPort, inner *http.Server) server {
	s := drain.New(inner)
	return server{name: name, address: address, serve: s.Serve, stop: h.stopHTTP(s, func() {})}
}

// stopHTTP returns a function that waits for open requests until its context
// ends. It then counts those that are not answered, calls cutOff and closes the
// remaining connections.
func (h *Host) stopHTTP(s *drain.Server, cutOff func()) func(context.Context) {
	return func(ctx context.Context) {
		if err := s.Shutdown(ctx); err != nil {
			h.unanswered.Add(int64(s.Unanswered()))
			cutOff()
			s.Close()
		}
	}
}

// stopAll stops the servers concurrently: first what serves calls, at the latest
// at cut, and then the rest, at the latest at exit, and within idleStopTime unless requests
// wait for other hosts. In between it waits for callers that are still sending, as the end
// of the process would reset their connections.
func (h *Host) stopAll(servers []server, cut, exit time.Time) {
	var calls, waiting, rest []func(context.Context)
	for _, s := range servers {
		if s.stopCalls != nil {
			calls = append(calls, s.stopCalls)
		}
		switch {
		case s.stop == nil:
		case s.awaitsHosts:
			waiting = append(waiting, s.stop)
		default:
			rest = append(rest, s.stop)
		}
	}
	stopTogether(calls, cut)
	h.awaitLingering(exit)
	stopTogether(waiting, exit)
	if end := time.Now().Add(idleStopTime); end.Before(exit) {
		exit = end
	}
	stopTogether(rest, exit)
}

// awaitLingering waits until no connection lingers, at the latest until end.
func (h *Host) awaitLingering(end time.Time) {
	for h.lingering.Load() > 0 && time.Now().Before(end) {
		time.Sleep(lingerCheckInterval)
	}
}

// stopTogether calls all functions at the same time, with a context that ends at end, and
// waits for them.
func stopTogether(stops []func(context.Context), end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var group sync.WaitGroup
	for _, stop := range stops {
		group.Go(func() { stop(ctx) })
	}
	group.Wait()
}
