package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

const (
	keptGet  = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	keptPost = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	stray    = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
)

// caller is a keep-alive connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (b *bench) dial(t testing.TB) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err = conn.SetDeadline(time.Now().Add(testLimit)); err != nil {
		t.Fatal(err)
	}
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

// call sends a request and returns the answer with its body.
func (c *caller) call(t testing.TB, request string) (*http.Response, string) {
	t.Helper()
	io.WriteString(c, request)
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer, string(body)
}

// TestStrayBytesReachNoCaller sends bytes after a whole answer: at once, so
// that they lie in the same read, and later, into an idle connection.
func TestStrayBytesReachNoCaller(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 2 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sent := make(chan struct{}, 1)
			target := newRawTarget(t, func(c *rawConn) {
				for c.request() != nil {
					if pause == 0 {
						c.say(ok + stray)
					} else {
						c.say(ok)
						time.Sleep(pause)
						c.say(stray)
					}
					sent <- struct{}{}
				}
			})
			b := newBench(t, nil, target.address)
			c := b.dial(t)
			for range 200 {
				answer, body := c.call(t, keptPost)
				// The target may have been cut off before the stray bytes were
				// refused, but they are never an answer.
				g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK), b.logs.String())
				g.Expect(body).To(gomega.Equal("ok"))
				if pause > 0 {
					<-sent
					time.Sleep(pause)
				} else {
					<-sent
				}
			}
		})
	}
}

// TestBytesStayInTheSocketWhileTheLinkIsLocked holds the state of an idle link
// that has a reader: bytes that arrive must not leave the socket, where a
// request that begins would miss them, before the reader can judge them.
func TestBytesStayInTheSocketWhileTheLinkIsLocked(t *testing.T) {
	g := gomega.NewWithT(t)
	theirs := make(chan net.Conn, 1)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer target.Close()
	go func() {
		if c, err := target.Accept(); err == nil {
			theirs <- c
		}
	}()
	p := newPool(telem.NewSet())
	l, err := p.dial(t.Context(), netip.MustParseAddrPort(target.Addr().String()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer p.discard(l)
	c := <-theirs
	defer c.Close()
	reading := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.reading
	}
	g.Eventually(reading, time.Second).Should(gomega.BeTrue())
	time.Sleep(5 * time.Millisecond) // The reader reaches the system call.
	l.mu.Lock()
	io.WriteString(c, stray)
	time.Sleep(20 * time.Millisecond) // The reader wakes up.
	kept := unread(l.raw)
	l.mu.Unlock()
	g.Expect(kept).To(gomega.BeTrue())
	g.Expect(l.begin(time.Now())).To(gomega.BeFalse())
}

// TestLateDuplicateOfAnAnswerReachesNoOtherCaller repeats each answer at a
// moment when the next request may be under way. The target names its calls.
func TestLateDuplicateOfAnAnswerReachesNoOtherCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) {
		for n := 0; ; n++ {
			r := c.request()
			if r == nil {
				return
			}
			id := r.Header.Get("X-Id")
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nSpool-Call: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Spool-Call"), len(id), id)
			c.say(answer)
			time.Sleep(time.Duration(n%5) * 100 * time.Microsecond)
			c.say(answer)
		}
	})
	b := newBench(t, nil, target.address)
	c := b.dial(t)
	own := 0
	for i := range 300 {
		id := fmt.Sprintf("id-%d", i)
		answer, body := c.call(t, "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: "+id+"\r\nContent-Length: 1\r\n\r\nx")
		if answer.StatusCode == http.StatusOK {
			own++
			g.Expect(body).To(gomega.Equal(id))
			continue
		}
		g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal("unknown"))
	}
	g.Expect(own).To(gomega.BeNumerically(">", 100))
}

// TestOwnAnswers mixes callers whose answers name them, over connections that
// are shared, cut, late and refused.
func TestOwnAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	script := func(c *rawConn) {
		for n := 0; ; n++ {
			r := c.request()
			if r == nil {
				return
			}
			id := r.Header.Get("X-Id")
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			switch n % 7 {
			case 3:
				c.say(whole + stray)
			case 5:
				time.Sleep(5 * time.Millisecond)
				c.say(whole)
			case 6:
				c.say(whole[:len(whole)-1])
				return
			default:
				c.say(whole)
			}
		}
	}
	b := newBench(t, nil, newRawTarget(t, script).address, newRawTarget(t, script).address, newRawTarget(t, script).address)
	client := &http.Client{Timeout: testLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var (
		group       sync.WaitGroup
		whole, lost atomic.Int64
	)
	for worker := range 16 {
		group.Go(func() {
			for i := range 100 {
				id := fmt.Sprintf("id-%d-%d-%s", worker, i, strings.Repeat("y", i))
				r, _ := http.NewRequest(http.MethodPost, "http://"+b.address+"/x", strings.NewReader("body"))
				r.Header.Set("X-Id", id)
				answer, err := client.Do(r)
				if err != nil {
					lost.Add(1)
					continue
				}
				body, err := io.ReadAll(answer.Body)
				answer.Body.Close()
				switch {
				case err != nil || answer.StatusCode != http.StatusOK:
					lost.Add(1)
				case string(body) == id:
					whole.Add(1)
				default:
					t.Errorf("call %s got %q", id, body)
				}
			}
		})
	}
	group.Wait()
	g.Expect(whole.Load() + lost.Load()).To(gomega.BeEquivalentTo(1600))
	g.Expect(whole.Load()).To(gomega.BeNumerically(">", 800))
}

// silentTarget answers until silenced; then its old connections say nothing
// more, while new ones work.
func silentTarget(t *testing.T, silenced *atomic.Bool) *rawTarget {
	var old sync.Map
	return newRawTarget(t, func(c *rawConn) {
		for c.request() != nil {
			if !silenced.Load() {
				old.Store(c, true)
			}
			if _, ok := old.Load(c); ok && silenced.Load() {
				c.untilClosed()
				return
			}
			c.say(ok)
		}
	})
}

func openConnections(t *testing.T, b *bench, n int) {
	t.Helper()
	var group sync.WaitGroup
	for range n {
		c := b.dial(t)
		group.Go(func() { c.call(t, keptGet) })
	}
	group.Wait()
}

func TestSilentConnectionsAreLeft(t *testing.T) {
	for _, row := range []struct {
		name      string
		request   string
		idle      time.Duration
		lostCalls int
	}{
		// Connections not heard from for a while carry no non-idempotent call.
		{"non-idempotent after a pause", keptPost, trustAge + 100*time.Millisecond, 0},
		// An idempotent call leaves such a connection and is sent again.
		{"idempotent after a pause", keptGet, trustAge + 100*time.Millisecond, 0},
		// One call finds out; those after it use new connections.
		{"non-idempotent at once", keptPost, 0, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			var silenced atomic.Bool
			first, second := silentTarget(t, &silenced), silentTarget(t, &silenced)
			b := newBench(t, func(doc *spec.Service, cfg *setup.Entry) {
				manyRetries(doc, cfg)
				doc.Targets.Slots = 8
				doc.Receive.Deadline = strict.Duration(2 * time.Second)
			}, first.address, second.address)
			openConnections(t, b, 8)
			silenced.Store(true)
			time.Sleep(row.idle)
			lost := 0
			for range 20 {
				c := b.dial(t)
				begin := time.Now()
				answer, _ := c.call(t, row.request)
				if answer.StatusCode != http.StatusOK {
					lost++
					g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal("unknown"))
				}
				if row.idle > 0 && row.request == keptGet {
					g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", 2*time.Second))
				}
			}
			// At most one per target, which the silence limit then clears.
			g.Expect(lost).To(gomega.BeNumerically("<=", 2*row.lostCalls), b.logs.String())
		})
	}
}

// TestSlowTargetIsNotTakenForSilent lets a target be slower than the silence
// limit: its calls are answered, each once.
func TestSlowTargetIsNotTakenForSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	var requests atomic.Int64
	target := newRawTarget(t, func(c *rawConn) {
		for c.request() != nil {
			requests.Add(1)
			time.Sleep(2 * silenceLimit)
			c.say(ok)
		}
	})
	b := newBench(t, nil, target.address)
	c := b.dial(t)
	for range 3 {
		answer, _ := c.call(t, keptPost)
		g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(requests.Load()).To(gomega.BeEquivalentTo(3))
}

// TestBodiesStreamInFlatMemory sends uploads of 50 MB each way at once.
func TestBodiesStreamInFlatMemory(t *testing.T) {
	const (
		size  = 50 << 20
		calls = 4
		bound = 64 << 20 // Far below the 400 MB that pass through.
	)
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) {
		r, err := http.ReadRequest(bufio.NewReader(c.TCPConn))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		c.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n))
		io.CopyN(c.TCPConn, zeros{}, n)
		c.untilClosed()
	})
	b := newBench(t, func(doc *spec.Service, _ *setup.Entry) {
		doc.Targets.Slots = calls
		doc.Receive.Deadline = strict.Duration(testLimit)
	}, target.address)
	var (
		group sync.WaitGroup
		peak  uint64
		stop  = make(chan struct{})
		done  = make(chan struct{})
	)
	runtime.GC()
	go func() {
		defer close(done)
		var m runtime.MemStats
		for {
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	for range calls {
		group.Go(func() {
			r, _ := http.NewRequest(http.MethodPost, "http://"+b.address+"/x", io.LimitReader(zeros{}, size))
			r.ContentLength = size
			answer, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Error(err)
				return
			}
			defer answer.Body.Close()
			n, err := io.Copy(io.Discard, answer.Body)
			if n != size || err != nil {
				t.Errorf("got %d bytes, %v", n, err)
			}
		})
	}
	group.Wait()
	close(stop)
	<-done
	t.Logf("peak heap of caller, entry host and target together: %d KB", peak>>10)
	g.Expect(peak).To(gomega.BeNumerically("<", bound))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestPartsOfAStreamingAnswerArriveAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	goOn := make(chan struct{})
	target := newRawTarget(t, func(c *rawConn) {
		c.request()
		c.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n")
		<-goOn
		c.say("3\r\ntwo\r\n0\r\n\r\n")
	})
	b := newBench(t, nil, target.address)
	answer, err := http.Get("http://" + b.address + "/x")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	part := make([]byte, 3)
	_, err = io.ReadFull(answer.Body, part)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(part)).To(gomega.Equal("one"))
	close(goOn)
	rest, err := io.ReadAll(answer.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(rest)).To(gomega.Equal("two"))
}

func TestCallerThatGoesCancelsAtTheTarget(t *testing.T) {
	for name, answer := range map[string]string{"before the answer": "", "within it": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			arrived, ended := make(chan struct{}), make(chan struct{})
			target := newRawTarget(t, func(c *rawConn) {
				c.request()
				c.say(answer)
				close(arrived)
				c.untilClosed()
				close(ended)
			})
			b := newBench(t, nil, target.address)
			conn := b.dial(t)
			io.WriteString(conn, keptPost)
			g.Eventually(arrived, testLimit).Should(gomega.BeClosed())
			conn.Close()
			g.Eventually(ended, testLimit).Should(gomega.BeClosed())
			g.Eventually(b.host.openCalls.Load, testLimit).Should(gomega.BeZero())
		})
	}
}

// TestHeldCallIsToldInTime holds a call behind a slow one: at its deadline it
// gets the truthful answer at once.
func TestHeldCallIsToldInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, func(c *rawConn) { c.request(); c.untilClosed() })
	b := newBench(t, func(doc *spec.Service, _ *setup.Entry) {
		doc.Targets.Slots = 1
		doc.Hold.LongestWait = strict.Duration(time.Minute)
		doc.Receive.Deadline = strict.Duration(10 * time.Second)
		doc.Receive.Routes = []spec.RouteRule{{PathPrefix: "/short", Deadline: strict.Duration(200 * time.Millisecond)}}
	}, target.address)
	slow := b.dial(t)
	io.WriteString(slow, keptPost)
	g.Eventually(target.reached, testLimit).Should(gomega.Equal(1))
	begin := time.Now()
	answer, _ := b.dial(t).call(t, "POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal("not_run"))
	g.Expect(answer.Header.Get("Retry-After")).To(gomega.Equal("1"))
	g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", 5*time.Second))
	g.Expect(target.reached()).To(gomega.Equal(1))
}

// TestSlowCallerHoldsNoTarget stalls within a short body: no target sees it.
func TestSlowCallerHoldsNoTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, answering(ok))
	b := newBench(t, shortDeadline, target.address)
	raw, _ := b.session(t, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhe")
	g.Expect(finalAnswer(raw).StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	g.Expect(finalAnswer(raw).Header.Get(wire.HeaderOutcome)).To(gomega.Equal("not_run"))
	g.Expect(target.taken()).To(gomega.BeEmpty())
}

// TestRestOfARefusedUploadIsNoRequest answers before an upload is whole. What
// the caller sends further belongs to the upload, also when it looks like a
// request of its own.
func TestRestOfARefusedUploadIsNoRequest(t *testing.T) {
	for name, answer := range map[string]string{
		"answered early": ok,
		"refused":        "HTTP/1.1 503 Full\r\nSpool-Outcome: not_run\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := newRawTarget(t, func(c *rawConn) {
				if r := c.header(); r != nil && r.URL.Path == "/upload" {
					c.say(answer)
				}
				c.untilClosed()
			})
			b := newBench(t, shortDeadline, target.address)
			for range 10 {
				c := b.dial(t)
				inner := "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
				io.WriteString(c, "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 30000))
				if _, err := http.ReadResponse(c.reader, nil); err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, strings.Repeat(inner, 1000))
				rest, _ := io.ReadAll(c.reader)
				g.Expect(string(rest)).NotTo(gomega.ContainSubstring("HTTP/1.1"))
			}
			for _, got := range target.received() {
				g.Expect(got).NotTo(gomega.HavePrefix("POST /inner"))
			}
			g.Expect(b.logs.String()).NotTo(gomega.ContainSubstring("not_readable"))
		})
	}
}

// TestSlowTargetIsNotLeftWhileTheHostStops has an idempotent call wait, on a
// connection that was idle for long, for a target that is slower than the
// silence limit, while the host stops: the call is answered, by one attempt.
func TestSlowTargetIsNotLeftWhileTheHostStops(t *testing.T) {
	g := gomega.NewWithT(t)
	var requests atomic.Int64
	target := newRawTarget(t, func(c *rawConn) {
		for c.request() != nil {
			if requests.Add(1) > 1 {
				time.Sleep(3 * silenceLimit)
			}
			c.say(ok)
		}
	})
	b := newBench(t, manyRetries, target.address)
	c := b.dial(t)
	answer, _ := c.call(t, keptGet)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	time.Sleep(trustAge + 100*time.Millisecond)
	time.AfterFunc(silenceLimit/2, b.stop)
	answer, _ = c.call(t, keptGet)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK), b.logs.String())
	g.Expect(requests.Load()).To(gomega.BeEquivalentTo(2))
}

// A call whose answer is only due after a while waits longer for a first byte.
func TestSilenceLimitGrowsWithTheAim(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(silenceOf(spec.Class{})).To(gomega.Equal(silenceLimit))
	g.Expect(silenceOf(spec.Class{Aim: 100 * time.Millisecond})).To(gomega.Equal(silenceLimit))
	g.Expect(silenceOf(spec.Class{Aim: time.Second})).To(gomega.Equal(2 * time.Second))
}

// TestUnreadBytesAreSeenBeforeARequest has bytes, or an end, lie in the socket
// of an idle connection while nobody has read them yet.
func TestUnreadBytesAreSeenBeforeARequest(t *testing.T) {
	for name, row := range map[string]struct {
		act  func(*net.TCPConn)
		want bool
	}{
		"nothing":     {func(*net.TCPConn) {}, false},
		"stray bytes": {func(c *net.TCPConn) { io.WriteString(c, stray) }, true},
		"end":         {func(c *net.TCPConn) { c.CloseWrite() }, true},
		"reset":       {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer l.Close()
			ours, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer ours.Close()
			theirs, err := l.Accept()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer theirs.Close()
			raw, err := socketOf(ours)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			row.act(theirs.(*net.TCPConn))
			g.Eventually(func() bool { return unread(raw) }, time.Second).Should(gomega.Equal(row.want))
			g.Consistently(func() bool { return unread(raw) }, 20*time.Millisecond).Should(gomega.Equal(row.want))
		})
	}
}
