package ctrl

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
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
		metrics *telem.Set
		folder  *disk.Folder
		peers   []remote
		token   string

		mu       sync.Mutex
		acceptor quorum.Acceptor
		round    uint64
		changed  chan struct{}
		contacts map[string]time.Time
	}

	// Option sets one property of a Host.
	Option func(*Host)

	remote struct {
		host   string
		client peerpb.AgreementClient
		conn   *grpc.ClientConn
	}
)

const (
	// peerStopGrace bounds the wait for peers and entry hosts that do not
	// read, a frozen one for example. What they miss they fetch elsewhere.
	peerStopGrace = time.Second
	// contactAge is how long ago a peer may have answered to be reachable.
	contactAge = 3 * catchUpPeriod
	// noRevision is a base that matches no document.
	noRevision = math.MaxUint64
)

var _ admin.Store = (*Host)(nil)

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(h *Host) { h.log = log }
}

// WithMetrics sets the metrics that the host counts in.
func WithMetrics(s *telem.Set) Option {
	return func(h *Host) { h.metrics = s }
}

// New opens the data folder and restores the registers. The settings must be
// valid.
func New(cfg setup.Control, opts ...Option) (*Host, error) {
	h := &Host{cfg: cfg, log: slog.New(slog.DiscardHandler), metrics: telem.NewSet(), changed: make(chan struct{}), contacts: make(map[string]time.Time)}
	for _, opt := range opts {
		opt(h)
	}
	var err error
	if h.token, err = setup.Token(cfg.OperatorTokenFile); err != nil {
		return nil, err
	}
	if h.folder, err = disk.Open(cfg.DataFolder); err != nil {
		return nil, err
	}
	if err = h.restore(); err != nil {
		h.folder.Close()
		return nil, err
	}
	return h, nil
}

func (h *Host) restore() error {
	var (
		names []string
		err   error
	)
	if names, err = h.folder.Names(); err != nil {
		return err
	}
	for _, name := range names {
		var r quorum.Register
		if err = h.folder.Load(name, &r); err != nil {
			return err
		}
		h.acceptor.Restore(r)
		h.round = max(h.round, r.Promised.Round)
	}
	h.log.Info("registers restored", "registers", len(names))
	return nil
}

// Run serves until ctx ends, then stops gracefully within the settings'
// grace. The data folder is closed on return.
func (h *Host) Run(ctx context.Context) error {
	defer h.folder.Close()
	if err := h.dialPeers(); err != nil {
		return err
	}
	defer h.closePeers()
	var (
		peerListener, adminListener net.Listener
		err                         error
	)
	if peerListener, err = net.Listen("tcp", h.cfg.PeerAddress.String()); err != nil {
		return errors.Wrap(err, "control: peer address")
	}
	if adminListener, err = net.Listen("tcp", h.cfg.AdminAddress.String()); err != nil {
		peerListener.Close()
		return errors.Wrap(err, "control: admin address")
	}
	traffic := peer.Traffic{In: h.metrics.Count("peer_bytes_in"), Out: h.metrics.Count("peer_bytes_out")}
	peers := peer.NewServer()
	peerpb.RegisterAgreementServer(peers, &agreement{host: h})
	peerpb.RegisterConfigurationServer(peers, &configuration{host: h, stop: ctx})
	api := drain.New(&http.Server{Handler: admin.NewControl(h, h.token, h.metrics, h.log), ReadHeaderTimeout: admin.HeaderTimeout})
	failed := make(chan error, 2)
	go func() { failed <- peers.Serve(peer.CountListener(peerListener, traffic)) }()
	go func() { failed <- api.Serve(adminListener) }()
	go h.catchUp(ctx)
	h.log.Info("control host serves", "peer_address", h.cfg.PeerAddress, "admin_address", h.cfg.AdminAddress)
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.stop(peers, api)
	return err
}

func (h *Host) stop(peers *grpc.Server, api *drain.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.StopGrace.Std())
	defer cancel()
	if err := api.Shutdown(ctx); err != nil {
		h.log.Warn("operators' API stopped with requests open", "error", err)
	}
	end := time.AfterFunc(min(peerStopGrace, h.cfg.StopGrace.Std()), peers.Stop)
	peers.GracefulStop()
	end.Stop()
	h.log.Info("control host stopped")
}

func (h *Host) dialPeers() error {
	traffic := peer.Traffic{In: h.metrics.Count("peer_bytes_in"), Out: h.metrics.Count("peer_bytes_out")}
	for _, p := range h.cfg.Controls {
		if p.Host == h.cfg.Host {
			continue
		}
		var (
			conn *grpc.ClientConn
			err  error
		)
		if conn, err = peer.Dial(p.PeerAddress, peer.WithTraffic(traffic)); err != nil {
			return errors.Wrapf(err, "control: peer %s", p.Host)
		}
		h.peers = append(h.peers, remote{host: p.Host, client: peerpb.NewAgreementClient(conn), conn: conn})
	}
	return nil
}

func (h *Host) closePeers() {
	for _, p := range h.peers {
		if err := p.conn.Close(); err != nil {
			h.log.Debug("peer connection closed badly", "peer", p.host, "error", err)
		}
	}
}

// Get returns the newest document called name that this host has learnt.
func (h *Host) Get(name string) (spec.Versioned, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.acceptor.Register(name).Chosen.Versioned
	return v, v.Revision > 0 && !v.Deleted
}

// List returns the newest documents that this host has learnt, by name.
func (h *Host) List() []spec.Versioned {
	values, _ := h.chosen()
	list := make([]spec.Versioned, 0, len(values))
	for _, v := range values {
		if !v.Deleted {
			list = append(list, v.Versioned)
		}
	}
	return list
}

// Read returns the document called name as a majority of control hosts holds
// it. It returns quorum.ErrNoMajority when too few answer.
func (h *Host) Read(ctx context.Context, name string) (spec.Versioned, error) {
	var conflict *quorum.ConflictError
	if _, err := h.Apply(ctx, quorum.Change{Name: name, Base: noRevision}); !errors.As(err, &conflict) {
		return spec.Versioned{}, err
	}
	return conflict.Current, nil
}

// Status tells how this host stands.
func (h *Host) Status() quorum.Status {
	s := quorum.Status{Host: h.cfg.Host, Voting: true, Majority: h.majority(), Reachable: 1}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.Registers = len(h.acceptor.Chosen(nil))
	for _, p := range h.peers {
		last := h.contacts[p.host]
		heard := time.Since(last) < contactAge
		if heard {
			s.Reachable++
		}
		s.Peers = append(s.Peers, quorum.PeerStatus{Host: p.host, Reachable: heard, LastContact: last})
	}
	return s
}

// History returns the latest values of a service that this host has learnt,
// oldest first, without their requests.
func (h *Host) History(name string) []quorum.Value {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.acceptor.Register(name).History)
}

// chosen returns all learnt values by name and a channel that is closed at
// the next change.
func (h *Host) chosen() ([]quorum.Value, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	values := h.acceptor.Chosen(nil)
	slices.SortFunc(values, func(a, b quorum.Value) int { return cmp.Compare(a.Name, b.Name) })
	return values, h.changed
}

// learn takes in a chosen value, keeps it and wakes all watchers.
func (h *Host) learn(v quorum.Value) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	fresh, register := h.acceptor.Learn(v)
	if !fresh {
		return nil
	}
	if err := h.folder.Save(register.Name, register); err != nil {
		return err
	}
	close(h.changed)
	h.changed = make(chan struct{})
	h.log.Info("document chosen", "service", v.Name, "revision", v.Revision, "deleted", v.Deleted)
	return nil
}
