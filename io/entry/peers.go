package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"cardamomspool/core/member"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
)

// peerConn is the connection to another entry host. It is replaced after
// maxTimeouts consecutive timeouts, because a device on the path may have dropped
// it.
type peerConn struct {
	host      string
	address   netip.AddrPort
	localHost string
	traffic   peer.Traffic

	mu       sync.Mutex
	conn     *grpc.ClientConn
	timeouts int
	closed   bool
}

const (
	// messageTimeout bounds the time from sending a message to its reply.
	messageTimeout = 500 * time.Millisecond
	maxTimeouts    = 2
)

var errClosed = errors.New("entry: the connection is closed")

func newPeerConn(localHost string, p setup.Peer, t peer.Traffic) *peerConn {
	return &peerConn{host: p.Host, address: p.PeerAddress, localHost: localHost, traffic: t}
}

// get returns the connection and dials when there is none. It returns errClosed
// after close.
func (p *peerConn) get() (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if p.conn != nil {
		return p.conn, nil
	}
	var err error
	if p.conn, err = peer.Dial(p.address, peer.WithTraffic(p.traffic)); err != nil {
		return nil, err
	}
	return p.conn, nil
}

// recordResult counts consecutive timeouts and closes conn after maxTimeouts of
// them, so that the next message dials again. err is the result of a message over
// conn.
func (p *peerConn) recordResult(conn *grpc.ClientConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if status.Code(err) != codes.DeadlineExceeded {
		p.timeouts = 0
		return
	}
	p.timeouts++
	if p.timeouts < maxTimeouts || p.conn != conn {
		return
	}
	p.timeouts = 0
	p.conn = nil
	conn.Close()
}

// resetBackoff makes a failed connection retry at once. It is called when a
// message from the other host shows that it is running.
func (p *peerConn) resetBackoff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.GetState() == connectivity.TransientFailure {
		p.conn.ResetConnectBackoff()
	}
}

// close closes the connection for good: get then returns errClosed.
func (p *peerConn) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// send sends one message and returns its reply. It returns an error when there is
// none within messageTimeout.
func (p *peerConn) send(ctx context.Context, m member.Message) (member.Reply, error) {
	var (
		conn  *grpc.ClientConn
		reply member.Reply
		err   error
	)
	if conn, err = p.get(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, err = p.exchange(ctx, peerpb.NewMembershipClient(conn), m)
	p.recordResult(conn, err)
	return reply, err
}

// exchange sends m by the method for its kind and decodes the reply. It returns an
// error for a message of unknown kind.
func (p *peerConn) exchange(ctx context.Context, c peerpb.MembershipClient, m member.Message) (member.Reply, error) {
	switch m := m.(type) {
	case member.Spread:
		if _, err := c.Spread(ctx, &peerpb.SpreadRequest{Host: p.localHost, Records: peer.FromRecords(m.Records)}); err != nil {
			return nil, err
		}
		return member.SpreadReply{}, nil
	case member.Digest:
		reply, err := c.Digest(ctx, &peerpb.DigestRequest{Host: p.localHost, Sum: m.Sum, AnnounceAddress: m.AnnounceAddress.String()})
		if err != nil {
			return nil, err
		}
		return member.DigestReply{
			Same: reply.GetSame(), Sums: reply.GetSums(), AnnounceAddress: peer.ParseAddress(reply.GetAnnounceAddress()),
		}, nil
	case member.Repair:
		reply, err := c.Repair(ctx, &peerpb.RepairRequest{Host: p.localHost, Mask: m.Mask, Records: peer.FromRecords(m.Records)})
		if err != nil {
			return nil, err
		}
		records, _ := peer.ToRecords(reply.GetRecords())
		return member.RepairReply{Records: records}, nil
	}
	return nil, errors.Errorf("entry: message of kind %T", m)
}
