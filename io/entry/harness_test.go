package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/internal/free"
	"cardamomspool/internal/granted"
	"cardamomspool/io/setup"
)

type (
	// rawTarget is a target on a raw socket that runs a script for each
	// connection.
	rawTarget struct {
		listener net.Listener
		address  netip.AddrPort
		script   func(*rawConn)

		mu    sync.Mutex
		conns []*rawConn
	}

	// rawConn is one connection that a rawTarget accepted.
	rawConn struct {
		*net.TCPConn
		number int // Counts the connections of the target from 0.
		reader *bufio.Reader

		mu  sync.Mutex
		got bytes.Buffer // The bytes read through reader.
	}

	// testBed is an entry host with one service, "s"; see newTestBed.
	testBed struct {
		host    *Host
		address string
		logs    *lockedBuffer
		stop    func()
		done    chan error
	}

	// lockedBuffer is a buffer that is safe for concurrent use.
	lockedBuffer struct {
		mu      sync.Mutex
		buf     bytes.Buffer
		onWrite func([]byte) // Called before each write; nil for nothing.
	}
)

const testTimeout = 20 * time.Second

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.onWrite != nil {
		b.onWrite(p)
	}
	return b.buf.Write(p)
}

// setOnWrite has f called before each write.
func (b *lockedBuffer) setOnWrite(f func([]byte)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onWrite = f
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// newRawTarget starts a target that runs script for each connection and then closes the
// connection. It stops at the end of the test.
func newRawTarget(t testing.TB, script func(*rawConn)) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &rawTarget{listener: l, address: l.Addr().(*net.TCPAddr).AddrPort(), script: script}
	t.Cleanup(func() {
		l.Close()
		for _, c := range target.accepted() {
			c.Close()
		}
	})
	go target.serve()
	return target
}

func (t *rawTarget) serve() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		c := &rawConn{TCPConn: conn.(*net.TCPConn)}
		c.reader = bufio.NewReader(io.TeeReader(c.TCPConn, c))
		t.mu.Lock()
		c.number = len(t.conns)
		t.conns = append(t.conns, c)
		t.mu.Unlock()
		go func() {
			defer c.Close()
			t.script(c)
		}()
	}
}

// accepted returns all connections that were accepted so far.
func (t *rawTarget) accepted() []*rawConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*rawConn(nil), t.conns...)
}

// received returns the bytes that each connection received.
func (t *rawTarget) received() []string {
	var list []string
	for _, c := range t.accepted() {
		list = append(list, c.received())
	}
	return list
}

// connsWithData returns the number of connections that received any byte.
func (t *rawTarget) connsWithData() int {
	n := 0
	for _, got := range t.received() {
		if got != "" {
			n++
		}
	}
	return n
}

// Write records what reader receives; it sends nothing, unlike send.
func (c *rawConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got.Write(p)
}

// received returns all bytes that were read through reader so far.
func (c *rawConn) received() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got.String()
}

// readRequest reads one request with its body. It returns nil if they don't arrive
// complete.
func (c *rawConn) readRequest() *http.Request {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil
	}
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return nil
	}
	return r
}

// readHeader reads the header of a request and leaves its body unread. It returns nil
// if the header does not arrive complete.
func (c *rawConn) readHeader() *http.Request {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil
	}
	return r
}

func (c *rawConn) send(s string) {
	io.WriteString(c.TCPConn, s)
}

// reset closes the connection with a reset.
func (c *rawConn) reset() {
	c.SetLinger(0)
	c.Close()
}

// waitClosed waits until the other side closes the connection.
func (c *rawConn) waitClosed() {
	io.Copy(io.Discard, c.reader)
}

// freeAddress returns an address that was free when it was checked; see free.Address.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	address, err := free.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newTestBed starts an entry host with one service, "s", that receives all paths
// and has a target "a", "b" and so on at each given address. configure, unless nil,
// may change the document and the settings before the start.
func newTestBed(t testing.TB, configure func(*spec.Service, *setup.Entry), targets ...netip.AddrPort) *testBed {
	t.Helper()
	return newTestBedWith(t, nil, configure, targets...)
}

// newTestBedWith is newTestBed with options of the host.
func newTestBedWith(t testing.TB, opts []Option, configure func(*spec.Service, *setup.Entry), targets ...netip.AddrPort) *testBed {
	t.Helper()
	g := gomega.NewGomega(func(message string, _ ...int) { t.Fatal(message) })
	peer := setup.Peer{Host: "entry-1", DataCentre: "lab", PeerAddress: freeAddress(t)}
	cfg := setup.Entry{
		Common: setup.Common{
			Host: "entry-1", DataCentre: "lab", LogLevel: "info", AdminAddress: freeAddress(t), PeerAddress: peer.PeerAddress,
			Controls: []setup.Peer{{Host: "control-1", DataCentre: "lab", PeerAddress: freeAddress(t)}},
		},
		CallAddress: freeAddress(t), AnnounceAddress: freeAddress(t), Entries: []setup.Peer{peer},
		Tick: strict.Duration(5 * time.Millisecond), AnnounceInterval: strict.Duration(time.Minute),
		DecisionLogOneIn: 1, StopGrace: strict.Duration(10 * time.Second),
	}
	doc := spec.Default()
	doc.Name = "s"
	doc.Receive.PathPrefixes = []string{"/"}
	doc.Hold.LongestWait = strict.Duration(50 * time.Millisecond)
	if configure != nil {
		configure(&doc, &cfg)
	}
	b := &testBed{address: cfg.CallAddress.String(), logs: &lockedBuffer{}, done: make(chan error, 1)}
	b.host = New(cfg, append([]Option{WithLogger(slog.New(slog.NewTextHandler(b.logs, nil)))}, opts...)...)
	body, err := json.Marshal(doc)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(b.host.apply(spec.Versioned{Name: "s", Revision: 1, Body: body})).To(gomega.Succeed())
	for i, address := range targets {
		b.host.members.handle(member.Announce{Record: member.Record{
			Key: member.Key{Service: "s", Target: string(rune('a' + i))}, Address: address, DataCentre: "lab",
			State: member.Ready, Incarnation: 1, Owner: "entry-1",
		}})
	}
	var ctx context.Context
	ctx, b.stop = context.WithCancel(context.Background())
	go func() { b.done <- b.host.Run(ctx) }()
	t.Cleanup(b.stop)
	logOnFailure(t, cfg.Host, b.logs)
	g.Eventually(func() error {
		c, err := net.Dial("tcp", b.address)
		if err == nil {
			c.Close()
		}
		return err
	}, testTimeout, 2*time.Millisecond).Should(gomega.Succeed())
	return b
}

// session sends raw bytes to the host on a new connection and reads until the host
// closes it. It returns all received bytes and whether the connection ended with a
// reset.
func (b *testBed) session(t testing.TB, parts ...string) (string, bool) {
	t.Helper()
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	begin, grantedAtBegin := time.Now(), granted.Now()
	go func() {
		for _, part := range parts {
			io.WriteString(conn, part)
		}
	}()
	answer, err := readUntilClosed(conn, testTimeout)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatalf("the host neither ended nor reset the connection; it said %q; from %s to %s, granted %s",
			answer, begin.Format(time.RFC3339Nano), time.Now().Format(time.RFC3339Nano), granted.Now()-grantedAtBegin)
	}
	return string(answer), err != nil
}

// readUntilClosed reads until the other side ends or resets the connection. It returns a
// timeout as an error when that takes longer than limit in granted time.
func readUntilClosed(conn net.Conn, limit time.Duration) ([]byte, error) {
	var answer bytes.Buffer
	for end := granted.Now() + limit; ; {
		if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			return answer.Bytes(), err
		}
		_, err := answer.ReadFrom(conn)
		if e, ok := err.(net.Error); !ok || !e.Timeout() || granted.Now() > end {
			return answer.Bytes(), err
		}
	}
}

// logOnFailure prints the log of a host at the end of a test that has failed.
func logOnFailure(t testing.TB, host string, logs *lockedBuffer) {
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("at %s, log of %s:\n%s", time.Now().Format(time.RFC3339Nano), host, logs)
		}
	})
}
