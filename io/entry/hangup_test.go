package entry

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/place"
	"cardamomspool/io/setup"
)

// heldTarget answers each request once release is closed, and records their paths.
type heldTarget struct {
	*rawTarget
	release chan struct{}

	mu    sync.Mutex
	paths []string
}

func newHeldTarget(t *testing.T) *heldTarget {
	h := &heldTarget{release: make(chan struct{})}
	h.rawTarget = newRawTarget(t, func(c *rawConn) {
		for {
			r := c.readHeader()
			if r == nil {
				return
			}
			h.mu.Lock()
			h.paths = append(h.paths, r.URL.Path)
			h.mu.Unlock()
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			<-h.release
			c.send(okResponse)
		}
	})
	return h
}

// reached returns the paths of the requests that have reached the target.
func (h *heldTarget) reached() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.paths...)
}

// leavingCallers lists requests for the path of the format whose callers leave, and what they
// send.
func leavingCallers() map[string]string {
	const head = " /a/%s HTTP/1.1\r\nHost: shop.example\r\n"
	chunk := func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("c", n)) }
	return map[string]string{
		"no body":                     "GET" + head + "\r\n",
		"a short body":                "POST" + head + "Content-Length: 1000\r\n\r\n" + strings.Repeat("b", 1000),
		"a body kept for retries":     "POST" + head + "Content-Length: 16384\r\n\r\n" + strings.Repeat("b", maxReplayBytes),
		"a long body":                 "POST" + head + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000),
		"a body cut short":            "POST" + head + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 30000),
		"short chunks":                "POST" + head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(100), 10) + "0\r\n\r\n",
		"long chunks":                 "POST" + head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(6000), 10) + "0\r\n\r\n",
		"a body that is not asked":    "POST" + head + "Content-Length: 60000\r\nExpect: 100-continue\r\n\r\n",
		"a pipelined request":         "GET" + head + "\r\nGET /a/next HTTP/1.1\r\nHost: shop.example\r\n\r\n",
		"a long body and a pipelined": "POST" + head + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000) + "GET /a/next HTTP/1.1\r\nHost: shop.example\r\n\r\n",
	}
}

// Guards against requests that reach a target long after their callers have left, since
// nobody looks at the connection while the call waits.
func TestRequestsOfCallersThatLeftReachNoTarget(t *testing.T) {
	for where, start := range map[string]func(*testing.T, *heldTarget) string{
		"held by this host": func(t *testing.T, target *heldTarget) string {
			return newTestBed(t, func(doc *spec.Service, _ *setup.Entry) {
				doc.Targets.Slots, doc.Hold.LongestWait = 1, strict.Duration(8*time.Second)
				doc.Hold.Length, doc.Receive.Deadline = 100, strict.Duration(10*time.Second)
			}, target.address).address
		},
		"held by a control host": func(t *testing.T, target *heldTarget) string {
			p := testPlan()
			p.Routes[0].Timeout, p.Routes[0].Aim = strict.Duration(10*time.Second), strict.Duration(8*time.Second)
			control := newConfiguredControl(t, p, func(cfg *place.Config) {
				cfg.ServiceTemplate.Targets.Slots = 1
				cfg.ServiceTemplate.Hold = spec.Hold{Length: 100, LongestWait: strict.Duration(8 * time.Second)}
			}, rosterTarget("t", target.address, member.Ready))
			control.state.UpdateTargets(true, rosterTarget("t", target.address, member.Ready))
			_, address := newFleetHost(t, control.address)
			u, err := url.Parse(address)
			if err != nil {
				t.Fatal(err)
			}
			return u.Host
		},
	} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			target := newHeldTarget(t)
			address := start(t, target)
			occupied := make(chan int, 8)
			var slots int
			// One slot, or as many as the target's record names.
			for slots = 1; slots <= 8; slots++ {
				go func() { occupied <- getStatus(address, "/a/first") }()
				time.Sleep(50 * time.Millisecond)
				if len(target.reached()) < slots {
					break
				}
			}
			g.Expect(slots).To(gomega.BeNumerically("<=", 8), "a call is held")
			var left sync.WaitGroup
			for name, text := range leavingCallers() {
				left.Go(func() {
					conn, err := net.Dial("tcp", address)
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					if _, err = fmt.Fprintf(conn, text, strings.ReplaceAll(name, " ", "_")); err != nil {
						t.Error(err)
					}
					time.Sleep(100 * time.Millisecond)
				})
			}
			left.Wait()
			time.Sleep(500 * time.Millisecond) // The time within which the close must be noticed.
			close(target.release)
			for range slots {
				g.Eventually(occupied, testTimeout).Should(gomega.Receive(gomega.Equal(http.StatusOK)))
			}
			g.Expect(getStatus(address, "/a/last")).To(gomega.Equal(http.StatusOK))
			for _, path := range target.reached() {
				g.Expect(path).To(gomega.BeElementOf("/a/first", "/a/last"))
			}
		})
	}
}

// getStatus makes a call on a connection of its own and returns the status of the answer.
func getStatus(address, path string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	r.Host, r.Close = "shop.example", true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against a caller that is taken for one that has left, since it sends its body
// slowly, waits for long after it or has sent another request behind it.
func TestCallersThatStayAreServed(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	target := newHeldTarget(t)
	b := newTestBed(t, func(doc *spec.Service, _ *setup.Entry) {
		doc.Targets.Slots, doc.Hold.LongestWait = 1, strict.Duration(8*time.Second)
		doc.Hold.Length, doc.Receive.Deadline = 100, strict.Duration(10*time.Second)
	}, target.address)
	callers := make(map[string]*caller)
	for name, text := range leavingCallers() {
		if name == "a body cut short" || name == "a body that is not asked" {
			continue
		}
		c := b.dial(t)
		fmt.Fprintf(c, text, strings.ReplaceAll(name, " ", "_"))
		callers[name] = c
	}
	slow := b.dial(t)
	fmt.Fprintf(slow, "POST /a/slow HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("b", 20000))
	time.Sleep(5 * hangUpInterval)
	io.WriteString(slow, strings.Repeat("b", 40000))
	callers["slow"] = slow
	close(target.release)
	for name, c := range callers {
		answer, err := http.ReadResponse(c.reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK), name)
	}
}

// Guards against a look at the connection that sees nothing through TLS.
func TestHangUpIsSeenThroughTLS(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	conn, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	c := unwrapCaller(tls.Server(&callerConn{Conn: conn, endRequests: func() {}}, nil))
	io.WriteString(client, "unread")
	g.Consistently(c.hungUp, hangUpInterval).Should(gomega.BeFalse())
	client.Close()
	g.Eventually(c.hungUp, testTimeout).Should(gomega.BeTrue())
}

// BenchmarkHungUp measures one look at the connection of a caller, which watchCallers takes of
// each open call every hangUpInterval.
func BenchmarkHungUp(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	conn, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	c := &callerConn{Conn: conn, endRequests: func() {}}
	for b.Loop() {
		if c.hungUp() {
			b.Fatal("the caller is there")
		}
	}
}
