package ctrl

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/quorum"
	"cardamomspool/core/wire"
	"cardamomspool/io/admin"
	"cardamomspool/io/disk"
	"cardamomspool/io/drain"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

type (
	// Host is one control host. Use New.
	Host struct {
		cfg     setup.Control
		log     *slog.Logger
		metrics *telem.Registry
		folder  *disk.Folder
		// voteFolder stores the records of node. It is folder itself, or in a
		// fleet a subfolder for each view.
		voteFolder *disk.Folder
		// fleet is nil when the control hosts are listed in the settings.
		fleet *fleet
		// front returns the handler for the front address; nil for none.
		front   func(*Host) http.Handler
		dialect wire.Dialect
		token   string
		// requests holds the open requests of operators and targets.
		requests *openRequests
		peersMu  sync.Mutex
		// peers holds the connections to the other control hosts, by host name.
		peers map[string]*remote
		// sends tracks the messages in flight, and the chosen values that are being
		// published.
		sends sync.WaitGroup

		// stepMu is held during one step of node, including its writes to disk.
		stepMu sync.Mutex
		// node is nil while this host is not a member of the current view of
		// its fleet. A member that still recovers has a node that does not vote.
		node *quorum.Node
		// stopped is true once the node must not run any further step.
		stopped bool
		// waiting holds the channels of the callers of propose, by ticket.
		waiting map[uint64]chan quorum.Result
		// unpublished holds chosen values for publishPending.
		unpublished []quorum.Value
		// publishing is the number of steps whose chosen values are not published yet.
		publishing int
		// publishMu is held while chosen values are published. It is locked before
		// stepMu.
		publishMu sync.Mutex
		// failed receives the error with which Run ends.
		failed chan error

		// mu guards copies of node's state for API handlers and streams, which
		// must not wait for stepMu. No disk or network I/O is done under mu.
		mu     sync.Mutex
		learnt map[string]quorum.Learnt // By document name.
		status quorum.Status
		// changed is closed and replaced when learnt or status.Current changes.
		changed chan struct{}
	}

	// Option sets one property of a Host.
	Option func(*Host)
)

const (
	// peerStopGrace bounds the wait, at the end of a stop, for control and entry hosts
	// that do not read from their connections, for example because their
	// process is frozen.
	peerStopGrace = time.Second
	// maxMessageBytes is the maximum size of a gRPC message; the largest kind of
	// message is a snapshot of all registers.
	maxMessageBytes = 64 << 20
)

var (
	_ admin.Store     = (*Host)(nil)
	_ admin.Evacuator = (*Host)(nil)
)

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(h *Host) { h.log = log }
}

// WithMetrics sets the metrics that the host updates.
func WithMetrics(metrics *telem.Registry) Option {
	return func(h *Host) { h.metrics = metrics }
}

// New returns a Host whose data folder is open and locked. The settings must be
// valid. New fails when the operator token cannot be read or the data folder
// cannot be opened.
func New(cfg setup.Control, opts ...Option) (*Host, error) {
	h := &Host{
		cfg: cfg, log: slog.New(slog.DiscardHandler), metrics: telem.NewRegistry(), dialect: wire.Spool(),
		peers: make(map[string]*remote), waiting: make(map[uint64]chan quorum.Result), failed: make(chan error, 1),
		learnt: make(map[string]quorum.Learnt), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(h)
	}
	h.requests = newOpenRequests(h.log, h.metrics)
	var (
		hosts []string
		err   error
	)
	for _, p := range cfg.Controls {
		hosts = append(hosts, p.Host)
	}
	if cfg.Fleet.Enabled() {
		h.fleet = newFleet(h)
	} else if h.node, err = quorum.NewNode(cfg.Host, hosts, newRand()); err != nil {
		return nil, err
	}
	if h.token, err = setup.ReadToken(cfg.OperatorTokenFile); err != nil {
		return nil, err
	}
	if h.folder, err = disk.Open(cfg.DataFolder); err != nil {
		return nil, err
	}
	h.voteFolder = h.folder
	h.publishMetrics()
	return h, nil
}

// newRand returns a source of random numbers with a random seed.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// WithFront sets the constructor of the handler that serves the operators and
// targets of a fleet.
func WithFront(front func(*Host) http.Handler) Option {
	return func(h *Host) { h.front = front }
}

// WithDialect sets the dialect, that is the header fields, of the health probes
// that this host sends to targets; the default is wire.Spool.
func WithDialect(d wire.Dialect) Option {
	return func(h *Host) { h.dialect = d }
}

// Run serves until ctx ends, then stops gracefully: streams of calls end and requests that
// arrive are refused at once, the open requests of operators and targets get the configured
// time, and after that the streams of updates get at most peerStopGrace. A stop with nothing
// open takes no time, and none more than the configured one. Run returns an error when it cannot start, when a
// server fails, or when the data folder was removed or can no longer be written,
// as the host must not vote from then on. The data folder is closed on return.
func (h *Host) Run(ctx context.Context) error {
	defer h.folder.Close()
	if h.fleet != nil {
		defer h.fleet.close()
	}
	var (
		saved                       quorum.Saved
		peerListener, adminListener net.Listener
		err                         error
	)
	if h.fleet != nil {
		if err = h.fleet.open(); err != nil {
			return err
		}
	} else if saved, err = h.restore(h.folder); err != nil {
		return err
	}
	if peerListener, err = net.Listen("tcp", h.cfg.PeerAddress.String()); err != nil {
		return errors.Wrap(err, "control: peer address")
	}
	// A server that is shut down before it has begun to serve leaves its listener open.
	defer peerListener.Close()
	if adminListener, err = net.Listen("tcp", h.cfg.AdminAddress.String()); err != nil {
		return errors.Wrap(err, "control: admin address")
	}
	defer adminListener.Close()
	stopping, beginStop := context.WithCancel(ctx)
	defer beginStop()
	// Changes and departures that are in progress at the signal need the work to go on.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer h.sends.Wait()
	defer cancel()
	if err = h.dialPeers(work); err != nil {
		return err
	}
	defer h.closePeers()
	peers := peer.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.StatsHandler(newTraffic(h.metrics)))
	peerpb.RegisterAgreementServer(peers, &agreementServer{host: h})
	peerpb.RegisterConfigurationServer(peers, &configurationServer{host: h, stop: stopping})
	api := drain.New(&http.Server{Handler: h.requests.wrap("api", h.operatorsHandler()), ReadHeaderTimeout: admin.ReadHeaderTimeout})
	// Followers are told of what is acknowledged while requests are answered.
	following, endFollowers := context.WithCancel(work)
	defer endFollowers()
	if h.fleet != nil {
		if err = h.fleet.start(stopping, following, work, peers); err != nil {
			return err
		}
	} else {
		h.runStep(func(now time.Time) quorum.Output { return h.node.Start(now, saved) })
		h.publishStatus()
	}
	go func() { h.fail(peers.Serve(peer.CountListener(peerListener, h.peerTraffic()))) }()
	go func() { h.fail(api.Serve(adminListener)) }()
	go h.tick(work)
	h.log.Info("control host serves", "peer_address", h.cfg.PeerAddress, "admin_address", h.cfg.AdminAddress)
	select {
	case <-ctx.Done():
	case err = <-h.failed:
		h.log.Error("control host gives up", "error", err)
	}
	begin, phases := time.Now(), h.cfg.Phases()
	beginStop()
	h.log.Info("control host stops", "requests_open", h.requests.stop(begin), "changes_waiting", h.waitingChanges(),
		"stop_time", h.cfg.StopTime.Std().String(), "requests_until", phases.Cut.String())
	servers := []*drain.Server{api}
	if h.fleet != nil && h.fleet.front != nil {
		servers = append(servers, h.fleet.front)
	}
	h.stop(begin, phases, peers, endFollowers, servers...)
	cut, longest := h.requests.result()
	h.log.Info("control host stopped", "took", time.Since(begin).String(), "requests_cut_off", cut, "longest_after_stop", longest.String())
	return err
}

// peerTraffic returns the counters of all bytes exchanged between this host and
// the system's other processes.
func (h *Host) peerTraffic() peer.Traffic {
	return peer.Traffic{In: h.metrics.Counter("peer_bytes_in"), Out: h.metrics.Counter("peer_bytes_out")}
}

// fail makes Run stop and return err, unless Run is already stopping.
func (h *Host) fail(err error) {
	select {
	case h.failed <- err:
	default:
	}
}
