package peer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

type (
	// Splitter divides the connections of one listener between a gRPC server and an
	// HTTP/1.1 server by the first bytes that the other side sends. Use NewSplitter.
	Splitter struct {
		listener net.Listener
		grpc     splitListener
		http     splitListener
		closed   context.Context // Ends when one of the listeners is closed.
		close    context.CancelFunc
	}

	// splitListener is the listener of one of the servers.
	splitListener struct {
		splitter *Splitter
		conns    chan net.Conn
	}
)

const (
	// prefaceStart begins the preface of HTTP/2, and no request of HTTP/1.1. Source:
	// RFC 9113, section 3.4.
	prefaceStart = "PRI"
	// prefaceTimeout is how long a new connection may send nothing.
	prefaceTimeout = 10 * time.Second
)

var _ net.Listener = (*splitListener)(nil)

// NewSplitter returns a splitter of the connections of l, which it closes when one of its
// listeners is closed. Run must be called for connections to be accepted.
func NewSplitter(l net.Listener) *Splitter {
	s := &Splitter{listener: l}
	s.closed, s.close = context.WithCancel(context.Background())
	s.grpc = splitListener{splitter: s, conns: make(chan net.Conn)}
	s.http = splitListener{splitter: s, conns: make(chan net.Conn)}
	return s
}

// GRPC returns the listener for the gRPC server.
func (s *Splitter) GRPC() net.Listener { return &s.grpc }

// HTTP returns the listener for the HTTP/1.1 server.
func (s *Splitter) HTTP() net.Listener { return &s.http }

// Run accepts connections until ctx ends, one of the listeners is closed, or accepting
// fails. It returns when no connection is left without a server.
func (s *Splitter) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, s.close)()
	defer context.AfterFunc(s.closed, func() { s.listener.Close() })()
	var group sync.WaitGroup
	defer group.Wait()
	defer s.close()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // The listener is closed; the servers get net.ErrClosed.
		}
		group.Go(func() { s.assign(conn) })
	}
}

// assign passes a connection to the server that its first bytes are meant for.
func (s *Splitter) assign(conn net.Conn) {
	defer context.AfterFunc(s.closed, func() { conn.SetReadDeadline(time.Now()) })()
	isGRPC, err := startsWithPreface(conn)
	if err != nil {
		conn.Close()
		return
	}
	conns := s.http.conns
	if isGRPC {
		conns = s.grpc.conns
	}
	select {
	case conns <- conn:
	case <-s.closed.Done():
		conn.Close()
	}
}

// startsWithPreface reports whether the first bytes on conn begin the preface of HTTP/2,
// and leaves them unread.
func startsWithPreface(conn net.Conn) (bool, error) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false, errors.Errorf("peer: connection of type %T has no socket", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, errors.Wrap(err, "peer: socket")
	}
	if err = conn.SetReadDeadline(time.Now().Add(prefaceTimeout)); err != nil {
		return false, errors.Wrap(err, "peer: deadline")
	}
	var (
		first   [len(prefaceStart)]byte
		n       int
		peekErr error
	)
	if err = raw.Read(func(fd uintptr) bool {
		n, _, peekErr = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK)
		if errors.Is(peekErr, unix.EINTR) || errors.Is(peekErr, unix.EAGAIN) {
			return false
		}
		return peekErr != nil || n == 0 || n == len(first) || string(first[:n]) != prefaceStart[:n]
	}); err != nil {
		return false, errors.Wrap(err, "peer: first bytes")
	}
	if peekErr != nil {
		return false, errors.Wrap(peekErr, "peer: first bytes")
	}
	return string(first[:n]) == prefaceStart, errors.Wrap(conn.SetReadDeadline(time.Time{}), "peer: deadline")
}

// Accept waits for the next connection of the server.
func (l *splitListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.splitter.closed.Done():
		return nil, net.ErrClosed
	}
}

// Close closes the listener of the splitter.
func (l *splitListener) Close() error {
	l.splitter.close()
	return nil
}

// Addr returns the address of the listener of the splitter.
func (l *splitListener) Addr() net.Addr {
	return l.splitter.listener.Addr()
}
