package peer

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

type (
	// Traffic counts the bytes of one kind of connection, without TCP and IP
	// headers. Both counters must be set.
	Traffic struct {
		In, Out *expvar.Int
	}

	countedConn struct {
		net.Conn
		traffic Traffic
	}

	countedListener struct {
		net.Listener
		traffic Traffic
	}
)

const (
	// connectTimeout is about ten times the round-trip time between regions. TCP
	// retransmits a lost SYN only after one second, so a new attempt is faster.
	connectTimeout = 300 * time.Millisecond
	minRetryDelay  = 100 * time.Millisecond
	// minReconnectDelay is the mean delay before a stream that has ended is
	// opened again; it doubles up to maxRetryDelay while that fails.
	minReconnectDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	retryMultiplier   = 1.6
	retryJitter       = 0.2
	// windowBytes is the static flow control window. With a static window the
	// gRPC library does not send pings to estimate the bandwidth.
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
// is first used and reconnects whenever the connection is lost, no later than one
// second after the other process can be reached again.
func Dial(address netip.AddrPort, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	opts = append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRetryDelay, Multiplier: retryMultiplier, Jitter: retryJitter, MaxDelay: maxRetryDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes), grpc.WithSharedWriteBuffer(true),
	}, opts...)
	return grpc.NewClient("passthrough:///"+address.String(), opts...)
}

// WithTraffic returns a dial option that counts the connection's bytes in t.
func WithTraffic(t Traffic) grpc.DialOption {
	var d net.Dialer
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, "tcp", address)
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

// Accept returns the next connection, wrapped so that its bytes are counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
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
