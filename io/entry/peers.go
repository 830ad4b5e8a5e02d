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

// peerConn is the connection to another entry host. A connection on which two
// messages in a row had no answer is given up, because the path may have lost
// track of it, and a new one is made.
type peerConn struct {
	host    string
	address netip.AddrPort
	from    string
	traffic peer.Traffic

	mu     sync.Mutex
	conn   *grpc.ClientConn
	missed int
	closed bool
}

const (
	messageTimeout = 500 * time.Millisecond
	mostMissed     = 2
)

var errClosed = errors.New("entry: the connection is closed")

func newPeerConn(from string, p setup.Peer, t peer.Traffic) *peerConn {
	return &peerConn{host: p.Host, address: p.PeerAddress, from: from, traffic: t}
}

// get returns the connection, making it when there is none.
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

// note counts messages without an answer and drops the connection after
// mostMissed of them.
func (p *peerConn) note(conn *grpc.ClientConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if status.Code(err) != codes.DeadlineExceeded {
		p.missed = 0
		return
	}
	p.missed++
	if p.missed < mostMissed || p.conn != conn {
		return
	}
	p.missed = 0
	p.conn = nil
	conn.Close()
}

// heard makes a connection that waits to be tried again try at once, since the
// other host has just shown that it runs.
func (p *peerConn) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.GetState() == connectivity.TransientFailure {
		p.conn.ResetConnectBackoff()
	}
}

func (p *peerConn) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// send sends one message and returns its reply.
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
	p.note(conn, err)
	return reply, err
}

func (p *peerConn) exchange(ctx context.Context, c peerpb.MembershipClient, m member.Message) (member.Reply, error) {
	switch m := m.(type) {
	case member.Spread:
		if _, err := c.Spread(ctx, &peerpb.SpreadRequest{Host: p.from, Records: peer.FromRecords(m.Records)}); err != nil {
			return nil, err
		}
		return member.SpreadReply{}, nil
	case member.Digest:
		reply, err := c.Digest(ctx, &peerpb.DigestRequest{Host: p.from, Sum: m.Sum, AnnounceAddress: m.AnnounceAddress.String()})
		if err != nil {
			return nil, err
		}
		return member.DigestReply{
			Same: reply.GetSame(), Sums: reply.GetSums(), AnnounceAddress: peer.ToAddress(reply.GetAnnounceAddress()),
		}, nil
	case member.Repair:
		reply, err := c.Repair(ctx, &peerpb.RepairRequest{Host: p.from, Mask: m.Mask, Records: peer.FromRecords(m.Records)})
		if err != nil {
			return nil, err
		}
		records, _ := peer.ToRecords(reply.GetRecords())
		return member.RepairReply{Records: records}, nil
	}
	return nil, errors.Errorf("entry: message of kind %T", m)
}
