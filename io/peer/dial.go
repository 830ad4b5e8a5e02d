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
	// Traffic counts the bytes of one kind of connection, without what TCP and
	// IP add. Its counters must be set.
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
	// connectTimeout is some ten times the way between regions and back. TCP
	// sends a lost opening packet again only after a second.
	connectTimeout = 300 * time.Millisecond
	firstRetry     = 100 * time.Millisecond
	// firstPause is the pause before a stream that has ended is opened again.
	firstPause   = 50 * time.Millisecond
	longestRetry = time.Second
	retryGrowth  = 1.6
	retryJitter  = 0.2
	// window is set so that the library does not measure the path with pings.
	window = 64 << 10
	// buffer is what a connection reads or writes at once: most messages are a
	// few hundred bytes, and a control host has hundreds of connections.
	buffer = 4 << 10
)

var (
	_ net.Conn     = (*countedConn)(nil)
	_ net.Listener = (*countedListener)(nil)
)

// Dial returns a client connection to a process at address. The connection is
// made when it is first used and again whenever it is lost, at the latest one
// second after the other process can be reached again.
func Dial(address netip.AddrPort, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	opts = append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstRetry, Multiplier: retryGrowth, Jitter: retryJitter, MaxDelay: longestRetry},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithStaticStreamWindowSize(window), grpc.WithStaticConnWindowSize(window),
		grpc.WithReadBufferSize(buffer), grpc.WithWriteBufferSize(buffer), grpc.WithSharedWriteBuffer(true),
	}, opts...)
	return grpc.NewClient("passthrough:///"+address.String(), opts...)
}

// WithTraffic makes a client connection count its bytes in t.
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

// NewServer returns a server for the system's other processes.
func NewServer(opts ...grpc.ServerOption) *grpc.Server {
	opts = append([]grpc.ServerOption{
		grpc.StaticStreamWindowSize(window), grpc.StaticConnWindowSize(window),
		grpc.ReadBufferSize(buffer), grpc.WriteBufferSize(buffer), grpc.SharedWriteBuffer(true),
	}, opts...)
	return grpc.NewServer(opts...)
}

// CountListener returns a listener whose connections count their bytes in t.
func CountListener(l net.Listener, t Traffic) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

// Accept returns the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

// Read counts what it reads.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}
