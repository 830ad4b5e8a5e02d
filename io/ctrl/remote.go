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

// remote is the connection to another control host.
type remote struct {
	host     string
	address  netip.AddrPort
	ctx      context.Context // Cancels all messages to the host.
	inFlight chan struct{}   // Holds one element for each message in flight.
	options  []grpc.DialOption

	mu             sync.Mutex
	conn           *grpc.ClientConn
	unanswered     int       // Consecutive messages that timed out on conn.
	mismatchLogged time.Time // Start of the current mismatchLogPeriod.
}

const (
	// exchangeTimeout bounds the time from sending a message to its answer.
	exchangeTimeout = time.Second
	// maxExchanges bounds the messages in flight to one host; further messages
	// are dropped, as on a lossy network.
	maxExchanges = 64
	// maxUnanswered is the number of consecutive messages without an answer
	// within exchangeTimeout after which the connection is replaced, as it may
	// be dead.
	maxUnanswered = 3
)

// dialPeers creates the connections to the control hosts listed in the settings.
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

// dialPeer creates the connection to a control host, which is used until ctx ends.
func (h *Host) dialPeer(ctx context.Context, p setup.Peer) error {
	options := []grpc.DialOption{
		peer.WithTraffic(h.peerTraffic()), grpc.WithStatsHandler(newTraffic(h.metrics)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
	r := &remote{host: p.Host, address: p.PeerAddress, ctx: ctx, inFlight: make(chan struct{}, maxExchanges), options: options}
	if err := r.dial(); err != nil {
		return errors.Wrapf(err, "control: peer %s", p.Host)
	}
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	h.peers[p.Host] = r
	return nil
}

// peer returns the connection to a control host, or nil when there is none.
func (h *Host) peer(host string) *remote {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	return h.peers[host]
}

// closePeers closes the connections to all control hosts.
func (h *Host) closePeers() {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	for _, p := range h.peers {
		p.mu.Lock()
		p.conn.Close()
		p.mu.Unlock()
	}
}

// send sends a message to another host in a new goroutine, which delivers the
// answer to the node. A message that is dropped or lost is sent again by the node.
func (h *Host) send(e quorum.Envelope) {
	r := h.peer(e.To)
	if r == nil {
		h.metrics.Counter("agreement_dropped").Add(1)
		return
	}
	select {
	case r.inFlight <- struct{}{}:
	default:
		h.metrics.Counter("agreement_dropped").Add(1)
		return
	}
	h.sends.Add(1)
	go func() {
		defer h.sends.Done()
		defer func() { <-r.inFlight }()
		h.exchange(r, e)
	}()
}

// exchange sends e to r, waits for the answer and delivers it to the node. An
// empty answer is ignored.
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
		h.log.Warn("answer of the peer could not be decoded", "peer", r.host, "error", err)
		return
	}
	h.runAndSend(func(now time.Time) quorum.Output { return h.node.Receive(now, answer) })
}

// dial sets conn to a new connection.
func (r *remote) dial() error {
	var err error
	r.conn, err = peer.Dial(r.address, r.options...)
	return err
}

// exchange sends m and returns the answer. It fails when there is none within
// exchangeTimeout.
func (r *remote) exchange(m *peerpb.Envelope) (*peerpb.Envelope, error) {
	r.mu.Lock()
	conn := r.conn
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, exchangeTimeout)
	defer cancel()
	reply, err := peerpb.NewAgreementClient(conn).Exchange(ctx, m)
	r.recordResult(conn, status.Code(err) == codes.DeadlineExceeded)
	return reply, err
}

// recordResult counts consecutive messages that timed out and replaces the
// connection after maxUnanswered of them. used is the connection that carried the
// message; the result is ignored when another has replaced it.
func (r *remote) recordResult(used *grpc.ClientConn, timedOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if used != r.conn {
		return
	}
	if !timedOut {
		r.unanswered = 0
		return
	}
	if r.unanswered++; r.unanswered < maxUnanswered || r.ctx.Err() != nil {
		return
	}
	r.unanswered = 0
	if err := r.dial(); err == nil {
		used.Close()
	}
}

// isMismatchLogDue reports whether a log line is due that says that the host is
// configured with another list of control hosts. If so, it starts the next
// mismatchLogPeriod.
func (r *remote) isMismatchLogDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.mismatchLogged) < mismatchLogPeriod {
		return false
	}
	r.mismatchLogged = now
	return true
}
