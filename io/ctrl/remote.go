package ctrl

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/core/quorum"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
)

// remote is another control host.
type remote struct {
	host    string
	address netip.AddrPort
	ctx     context.Context // ends all messages to the host
	slots   chan struct{}
	options []grpc.DialOption

	mu      sync.Mutex
	conn    *grpc.ClientConn
	silent  int
	strange time.Time
}

const (
	exchangeTimeout = time.Second
	// maxExchanges bounds the messages on their way to one host; more are
	// dropped, as on a lossy network.
	maxExchanges = 64
	// silentLimit is the number of messages without an answer after which the
	// connection is replaced: it may have gone silent for good.
	silentLimit = 3
)

func (h *Host) dialPeers(ctx context.Context) error {
	for _, p := range h.cfg.Controls {
		if p.Host == h.cfg.Host {
			continue
		}
		if err := h.dialPeer(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// dialPeer makes a control host one that messages can be sent to.
func (h *Host) dialPeer(ctx context.Context, p setup.Peer) error {
	options := []grpc.DialOption{
		peer.WithTraffic(h.peerTraffic()), grpc.WithStatsHandler(newTraffic(h.metrics)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
	r := &remote{host: p.Host, address: p.PeerAddress, ctx: ctx, slots: make(chan struct{}, maxExchanges), options: options}
	if err := r.dial(); err != nil {
		return errors.Wrapf(err, "control: peer %s", p.Host)
	}
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	h.peers[p.Host] = r
	return nil
}

// peer returns the remote of a control host, or nil.
func (h *Host) peer(host string) *remote {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	return h.peers[host]
}

func (h *Host) closePeers() {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	for _, p := range h.peers {
		p.mu.Lock()
		p.conn.Close()
		p.mu.Unlock()
	}
}

// send hands a message to another host without waiting, and the answer to the
// node. Lost messages are the node's to repeat.
func (h *Host) send(e quorum.Envelope) {
	r := h.peer(e.To)
	if r == nil {
		h.metrics.Count("agreement_dropped").Add(1)
		return
	}
	select {
	case r.slots <- struct{}{}:
	default:
		h.metrics.Count("agreement_dropped").Add(1)
		return
	}
	h.sends.Add(1)
	go func() {
		defer h.sends.Done()
		defer func() { <-r.slots }()
		h.exchange(r, e)
	}()
}

func (h *Host) exchange(r *remote, e quorum.Envelope) {
	var (
		m      *peerpb.Envelope
		answer quorum.Envelope
		err    error
	)
	if m, err = r.exchange(peer.FromEnvelope(e)); err != nil {
		h.log.Debug("no answer from control host", "peer", r.host, "error", err)
		return
	}
	if m.GetMessage() == nil {
		return
	}
	if answer, err = peer.ToEnvelope(m); err != nil {
		h.log.Warn("answer not understood", "peer", r.host, "error", err)
		return
	}
	h.run(func(now time.Time) quorum.Output { return h.node.Receive(now, answer) })
}

func (r *remote) dial() error {
	var err error
	r.conn, err = peer.Dial(r.address, r.options...)
	return err
}

func (r *remote) exchange(m *peerpb.Envelope) (*peerpb.Envelope, error) {
	r.mu.Lock()
	conn := r.conn
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, exchangeTimeout)
	defer cancel()
	reply, err := peerpb.NewAgreementClient(conn).Exchange(ctx, m)
	r.note(conn, status.Code(err) == codes.DeadlineExceeded)
	return reply, err
}

// note counts messages without an answer and replaces a silent connection.
func (r *remote) note(used *grpc.ClientConn, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if used != r.conn {
		return
	}
	if !silent {
		r.silent = 0
		return
	}
	if r.silent++; r.silent < silentLimit || r.ctx.Err() != nil {
		return
	}
	r.silent = 0
	if err := r.dial(); err == nil {
		used.Close()
	}
}

// isStrange reports whether a log line about the host's list of control hosts
// is due.
func (r *remote) isStrange(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.strange) < strangerPeriod {
		return false
	}
	r.strange = now
	return true
}
