package entry

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
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
	"cardamomspool/platform"
)

type (
	// refuser is a set of targets that refuse calls and may repeat a refusal on the
	// connection on which it came, as the answer to a later call that they run.
	refuser struct {
		platform bool          // They speak the platform's dialect.
		names    bool          // Their answers name the call.
		nameless bool          // Their refusals never do.
		repeats  int           // How many earlier calls of the connection the repeated refusal lies back.
		delay    time.Duration // From the request to the repeated refusal; negative: it is sent before the request.
		strips   bool          // The repeated refusal does not name the call.
		interim  bool          // An informational response comes before it.
		same     bool          // Only an attempt of the refused call gets the refusal again.

		mu       sync.Mutex
		runs     map[string]int
		refusals int
		repeated int
	}

	// toldCall is a call with what its caller was told of it.
	toldCall struct {
		id     string
		status int
		notRun bool
	}
)

const (
	callID    = "X-Id"
	lateAfter = 40 * time.Millisecond // From a request to the answer of a target that runs it.
)

// answer returns an answer to r.
func (f *refuser) answer(r *http.Request, refused, named bool) string {
	header := http.Header{}
	switch {
	case f.platform && named:
		call, _ := platform.ReadAttempt(r.Header)
		platform.SetAnswer(header, call, wire.Load{Slots: 3}, 0)
	case named:
		header.Set(wire.HeaderCall, r.Header.Get(wire.HeaderCall))
	}
	status, body := http.StatusOK, "ok"
	if refused {
		status, body = http.StatusServiceUnavailable, "full"
		platform.SetNotRun(header)
		header.Set(wire.HeaderOutcome, wire.OutcomeNotRun)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if err := header.Write(&text); err != nil {
		panic(err)
	}
	return text.String() + "\r\n" + body
}

// serve refuses a call in four of a connection, the second one for a start. The others run,
// and the one that is f.repeats later gets the refusal once more before its answer.
func (f *refuser) serve(c *rawConn) {
	var (
		refusal string
		refused string // The call that got it.
		left    int    // The number of calls until it is repeated.
	)
	for n := 0; ; n++ {
		r := c.readRequest()
		if r == nil {
			return
		}
		id := r.Header.Get(callID)
		if refusal == "" && n%4 == 1 {
			refusal, refused, left = f.answer(r, true, f.names && !f.nameless), id, f.repeats
			f.count(&f.refusals)
			c.send(refusal)
			if f.strips {
				refusal = f.answer(r, true, false)
			}
			if f.delay < 0 {
				f.count(&f.repeated)
				time.Sleep(-f.delay)
				c.send(refusal)
				refusal = ""
			}
			continue
		}
		f.mu.Lock()
		f.runs[id]++
		f.mu.Unlock()
		left--
		if refusal == "" || left > 0 || f.same && id != refused {
			c.send(f.answer(r, false, f.names))
			continue
		}
		time.Sleep(f.delay)
		if f.interim {
			c.send("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
		}
		f.count(&f.repeated)
		c.send(refusal)
		time.Sleep(lateAfter)
		c.send(f.answer(r, false, f.names))
		refusal = ""
	}
}

func (f *refuser) count(n *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n++
}

// start starts n targets.
func (f *refuser) start(t testing.TB, n int) []netip.AddrPort {
	f.runs = make(map[string]int)
	f.repeats = max(f.repeats, 1)
	var list []netip.AddrPort
	for range n {
		list = append(list, newRawTarget(t, f.serve).address)
	}
	return list
}

// check fails if a call has run twice, or has run although its caller was told that it has
// not. It returns the number of calls that were answered.
func (f *refuser) check(t testing.TB, calls []toldCall) int {
	t.Helper()
	time.Sleep(lateAfter) // A target may still read a request.
	f.mu.Lock()
	defer f.mu.Unlock()
	answered, twice, falseNotRun, statuses := 0, 0, 0, make(map[int]int)
	for _, c := range calls {
		statuses[c.status]++
		if c.status == http.StatusOK {
			answered++
		}
		if f.runs[c.id] > 1 {
			twice++
		}
		if c.notRun && f.runs[c.id] > 0 {
			falseNotRun++
		}
	}
	t.Logf("%d calls %v: %d twice, %d not run by what their caller was told; %d refusals, %d repeated", len(calls), statuses, twice, falseNotRun, f.refusals, f.repeated)
	if twice > 0 || falseNotRun > 0 {
		t.Errorf("of %d calls that may run once %d ran twice, and %d ran whose callers were told that they did not", len(calls), twice, falseNotRun)
	}
	return answered
}

// postCalls sends calls that may run once, by several callers, to the URL of a host.
func postCalls(t testing.TB, url string, callers, each int) []toldCall {
	t.Helper()
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		calls []toldCall
	)
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	t.Cleanup(client.CloseIdleConnections)
	for caller := range callers {
		group.Go(func() {
			for i := range each {
				c := toldCall{id: fmt.Sprintf("%d-%d", caller, i)}
				r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
				if err != nil {
					t.Error(err)
					return
				}
				r.Host = "shop.example"
				r.Header.Set(callID, c.id)
				platform.SetCall(r.Header, c.id, "")
				resp, err := client.Do(r)
				if err != nil {
					t.Error(err)
					return
				}
				if _, err = io.Copy(io.Discard, resp.Body); err != nil {
					t.Error(err)
				}
				resp.Body.Close()
				c.status = resp.StatusCode
				c.notRun = resp.Header.Get(wire.HeaderOutcome) == wire.OutcomeNotRun || platform.IsNotRun(resp.StatusCode)
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return calls
}

// Guards against calls that run at a second target, or whose callers are told that they have
// not run, as a target has repeated an earlier refusal on a kept connection (issue 51).
func TestRepeatedRefusalIsNoAnswerToALaterCall(t *testing.T) {
	for name, f := range map[string]*refuser{
		"at once":                       {},
		"5 ms later":                    {delay: 5 * time.Millisecond},
		"20 ms later":                   {delay: 20 * time.Millisecond},
		"before the request":            {delay: -time.Millisecond},
		"after early hints":             {interim: true},
		"of the call before the last":   {repeats: 2, delay: time.Millisecond},
		"named":                         {names: true},
		"named, 5 ms later":             {names: true, delay: 5 * time.Millisecond},
		"named, after early hints":      {names: true, interim: true},
		"nameless of targets that name": {names: true, nameless: true},
		"named, repeated without it":    {names: true, strips: true},
		"platform, repeated without it": {platform: true, names: true, strips: true},
		"platform":                      {platform: true, names: true},
		"platform, 20 ms later":         {platform: true, names: true, delay: 20 * time.Millisecond},
		"platform, nameless":            {platform: true, names: true, nameless: true},
		"platform, after early hints":   {platform: true, names: true, interim: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			opts := []Option{}
			if f.platform {
				opts = append(opts, WithDialect(platform.Dialect()))
			}
			b := newTestBedWith(t, opts, nil, f.start(t, 2)...)
			calls := postCalls(t, "http://"+b.address+"/x", 4, 30)
			g.Expect(calls).To(gomega.HaveLen(120))
			g.Expect(f.check(t, calls)).To(gomega.BeNumerically(">", 20), b.logs.String())
			doubted := b.host.metrics.Counter("refusals_doubted").Value()
			g.Expect(strings.Count(b.logs.String(), `msg="refusal doubted"`)).To(gomega.BeEquivalentTo(doubted))
			if f.names && (f.platform || !f.nameless) {
				g.Expect(doubted).To(gomega.BeNumerically(">", 0))
			} else {
				g.Expect(doubted).To(gomega.BeZero())
				g.Expect(b.host.metrics.Counter("refusals_unnamed").Value()).To(gomega.BeEquivalentTo(f.refusals))
			}
		})
	}
}

// Guards against a call that is sent again to the target that has refused it, and whose
// caller is told that it has not run, as the target has repeated that refusal (issue 51).
func TestRefusalOfAnEarlierAttemptIsNoAnswerToTheNext(t *testing.T) {
	for name, f := range map[string]*refuser{
		"nameless":              {same: true},
		"named":                 {same: true, names: true},
		"named, 5 ms later":     {same: true, names: true, delay: 5 * time.Millisecond},
		"platform":              {same: true, names: true, platform: true},
		"platform, 20 ms later": {same: true, names: true, platform: true, delay: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			opts := []Option{}
			if f.platform {
				opts = append(opts, WithDialect(platform.Dialect()))
			}
			b := newTestBedWith(t, opts, func(doc *spec.Service, _ *setup.Entry) {
				doc.Retry.Attempts = 3
				doc.Hold.LongestWait = strict.Duration(time.Second)
			}, f.start(t, 1)...)
			calls := postCalls(t, "http://"+b.address+"/x", 1, 10)
			g.Expect(f.check(t, calls)).To(gomega.BeNumerically(">", 5), b.logs.String())
			g.Expect(f.refusals).To(gomega.BeNumerically(">", 0))
		})
	}
}

// Guards against the same where another entry host carries the calls (issue 51).
func TestRepeatedRefusalIsNoAnswerToACarriedCall(t *testing.T) {
	for name, f := range map[string]*refuser{
		"nameless":                        {},
		"nameless, 5 ms later":            {delay: 5 * time.Millisecond},
		"named, of an earlier attempt":    {same: true, names: true},
		"nameless of targets that name":   {names: true, nameless: true},
		"named, repeated without it":      {names: true, strips: true},
		"named, of another call, 5 ms":    {names: true, delay: 5 * time.Millisecond},
		"nameless, of an earlier attempt": {same: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			targets := 2
			if f.same {
				targets = 1
			}
			peers := []setup.Peer{
				{Host: "entry-1", DataCentre: "lab", PeerAddress: freeAddress(t)}, {Host: "entry-2", DataCentre: "lab", PeerAddress: freeAddress(t)},
			}
			addresses := f.start(t, targets)
			configure := func(peer setup.Peer) func(*spec.Service, *setup.Entry) {
				return func(doc *spec.Service, cfg *setup.Entry) {
					cfg.Host, cfg.PeerAddress, cfg.Entries = peer.Host, peer.PeerAddress, peers
					doc.Retry.Attempts = 3
					doc.Hold.LongestWait = strict.Duration(time.Second)
				}
			}
			carrier := newTestBed(t, configure(peers[1]), addresses...)
			b := newTestBed(t, configure(peers[0]), addresses...)
			links := newTargetLinks(t, b.host)
			for _, address := range addresses {
				links.add(address)
			}
			links.begin(cutMode{refuses: true})
			calls := postCalls(t, "http://"+b.address+"/x", 2, 30)
			answered := f.check(t, calls)
			g.Expect(b.host.metrics.Counter("calls_carried_out").Value()).To(gomega.BeNumerically(">", 20), b.logs.String()+carrier.logs.String())
			g.Expect(answered).To(gomega.BeNumerically(">", 10), b.logs.String()+carrier.logs.String())
		})
	}
}

// shed turns away a share of the calls of a target without running them. The others take
// 2 ms.
func (f *refuser) shed(share float64) func(*rawConn) {
	var received atomic.Int64
	return func(c *rawConn) {
		for {
			r := c.readRequest()
			if r == nil {
				return
			}
			n := float64(received.Add(1))
			if math.Floor(n*share) > math.Floor((n-1)*share) {
				f.count(&f.refusals)
				c.send(f.answer(r, true, f.names))
				continue
			}
			time.Sleep(2 * time.Millisecond)
			f.mu.Lock()
			f.runs[r.Header.Get(callID)]++
			f.mu.Unlock()
			c.send(f.answer(r, false, f.names))
		}
	}
}

// Guards against a new connection for each call to targets that turn many calls away.
func TestRefusalsCostFewConnections(t *testing.T) {
	const (
		callers, each = 8, 100
		renewals      = 200 // The bound of a target, each second and at once.
	)
	for _, row := range []struct {
		targets int
		share   float64
	}{{1, 0.1}, {3, 0.1}, {1, 0.5}, {3, 0.5}, {1, 0.9}, {3, 0.9}} {
		for name, f := range map[string]*refuser{"nameless": {}, "named": {names: true}, "platform": {names: true, platform: true}} {
			t.Run(fmt.Sprintf("%v of the calls, %d targets, %s", row.share, row.targets, name), func(t *testing.T) {
				g := gomega.NewWithT(t)
				f.start(t, 0)
				var opts []Option
				if f.platform {
					opts = append(opts, WithDialect(platform.Dialect()))
				}
				var addresses []netip.AddrPort
				for range row.targets {
					addresses = append(addresses, newRawTarget(t, f.shed(row.share)).address)
				}
				b := newTestBedWith(t, opts, func(doc *spec.Service, _ *setup.Entry) {
					if row.share <= 0.5 {
						doc.Hold.LongestWait = strict.Duration(time.Second) // The machine may be busy.
					}
				}, addresses...)
				begin := time.Now()
				calls := postCalls(t, "http://"+b.address+"/x", callers, each)
				elapsed := time.Since(begin)
				answered := f.check(t, calls)
				opened := b.host.metrics.Counter("connections_opened").Value()
				withheld := b.host.metrics.Counter("attempts_without_connection").Value()
				t.Logf("%d of %d answered in %v; %d refusals; %d connections opened, %d attempts without one", answered, len(calls), elapsed, f.refusals, opened, withheld)
				inUse := callers * row.targets
				if f.names {
					g.Expect(opened).To(gomega.BeNumerically("<=", f.refusals/10+inUse))
					g.Expect(withheld).To(gomega.BeZero())
				} else {
					g.Expect(opened).To(gomega.BeNumerically("<=", f.refusals+inUse))
					g.Expect(opened).To(gomega.BeNumerically("<=", answered+inUse+int(float64(row.targets*renewals)*(1+elapsed.Seconds()))))
				}
				if row.share <= 0.5 {
					g.Expect(answered).To(gomega.BeNumerically(">=", len(calls)*9/10))
				}
			})
		}
	}
}
