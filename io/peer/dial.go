package peer

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

type (
	// Traffic counts the bytes received (In) and sent (Out) on all connections
	// that it is given to, without TCP and IP headers. Both counters must be set.
	Traffic struct {
		In, Out *expvar.Int
	}

	// countedConn is a connection whose bytes are counted.
	countedConn struct {
		net.Conn
		traffic Traffic
	}

	// countedListener is a listener whose connections are countedConns.
	countedListener struct {
		net.Listener
		traffic Traffic
	}
)

const (
	// connectTimeout is the time that TCP gets to establish a connection. It is about
	// ten times the round-trip time between regions. TCP retransmits a lost SYN only
	// after one second, so a new attempt is faster.
	connectTimeout = 300 * time.Millisecond
	// handshakeTimeout is the time that an attempt to connect gets in all, or the
	// current delay between attempts if that is longer. The kernel establishes
	// connections without the process on the other side; with several hundred hosts
	// that connect at once, a control host with a quarter of a core answers the last
	// one after about a second. Attempts given up before that only add to its load.
	handshakeTimeout = 3 * time.Second
	// The delay between two attempts of a gRPC connection grows by
	// retryMultiplier from minRetryDelay to maxRetryDelay; each delay varies by
	// the fraction retryJitter.
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = time.Second
	retryMultiplier = 1.6
	retryJitter     = 0.2
	// minReconnectDelay is the mean delay before Reconnect opens a stream that
	// has ended again; it doubles up to maxRetryDelay while that fails.
	minReconnectDelay = 50 * time.Millisecond
	// windowBytes is the static flow control window of each stream and of each
	// connection. With a static window the gRPC library does not send pings to
	// estimate the bandwidth.
	windowBytes = 64 << 10
	// bufferBytes is the size of a connection's read and write buffers. It is
	// small, as most messages are a few hundred bytes and a control host has
	// hundreds of connections.
	bufferBytes = 4 << 10
)

var (
	_ net.Conn     = (*countedConn)(nil)
	_ net.Listener = (*countedListener)(nil)
)

// Dial returns a client connection to a process at address. It connects when it
// is first used and reconnects whenever the connection is lost. After a failed
// attempt it waits about one second at most before the next one. Dial fails only
// when the options are not valid.
func Dial(address netip.AddrPort, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	opts = append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRetryDelay, Multiplier: retryMultiplier, Jitter: retryJitter, MaxDelay: maxRetryDelay},
			MinConnectTimeout: handshakeTimeout,
		}),
		grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes), grpc.WithSharedWriteBuffer(true),
	}, opts...)
	return grpc.NewClient("passthrough:///"+address.String(), opts...)
}

// dial establishes a TCP connection.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// WithTraffic returns a dial option that counts the connection's bytes in t.
func WithTraffic(t Traffic) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	})
}

// NewServer returns a gRPC server for the system's other processes.
func NewServer(opts ...grpc.ServerOption) *grpc.Server {
	opts = append([]grpc.ServerOption{
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes), grpc.SharedWriteBuffer(true),
	}, opts...)
	return grpc.NewServer(opts...)
}

// CountListener returns a listener whose connections count their bytes in t.
func CountListener(l net.Listener, t Traffic) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

// Accept waits for the next connection and returns it as a countedConn.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

// SetDeadline sets the time at which a pending Accept fails.
func (l *countedListener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.Errorf("listener of type %T has no deadlines", l.Listener)
	}
	return d.SetDeadline(t)
}

// SyscallConn returns the socket that listens.
func (l *countedListener) SyscallConn() (syscall.RawConn, error) {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("listener of type %T has no socket", l.Listener)
	}
	return s.SyscallConn()
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}
