package entry

import (
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

// faults are the ways in which a target fails at once.
var faults = map[string]func(*rawConn){
	"500":             respond("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"),
	"502":             respond("HTTP/1.1 502 E\r\nContent-Length: 0\r\n\r\n"),
	"503":             respond("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"),
	"503 after 0 s":   respond("HTTP/1.1 503 E\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"),
	"503 after -1 s":  respond("HTTP/1.1 503 E\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\n"),
	"429":             respond("HTTP/1.1 429 E\r\nContent-Length: 0\r\n\r\n"),
	"reset":           func(c *rawConn) { c.readRequest(); c.reset() },
	"empty answer":    func(c *rawConn) { c.readRequest() },
	"truncated":       func(c *rawConn) { c.readRequest(); c.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok") },
	"truncated early": func(c *rawConn) { c.readRequest(); c.send("HTTP/1.1 200 OK\r\nConte") },
}

// respond returns a script that gives the same answer to every request.
func respond(answer string) func(*rawConn) {
	return func(c *rawConn) {
		for c.readRequest() != nil {
			c.send(answer)
		}
	}
}

// serveSlowly answers after 20 ms, as targets that do their work.
func serveSlowly(c *rawConn) {
	for c.readRequest() != nil {
		time.Sleep(20 * time.Millisecond)
		c.send(okResponse)
	}
}

// TestFailingTargetsGetFewCalls sends calls that may repeat while some of four targets
// fail at once, which makes them look idle. The calls come at an even rate, and no more of
// them are open than the sound targets have slots. Otherwise the calls that fall due while
// this process does not get a processor would come all at once, and a burst uses up the
// retries that are allowed before a failure is known.
func TestFailingTargetsGetFewCalls(t *testing.T) {
	const (
		targets, slots = 4, 4
		rate           = 100 // Calls per second.
		measured       = 2 * time.Second
		// Failed calls that are allowed of 100, in the first second and after it. The
		// seconds count in calls.
		firstSecond, later = 3, 1
	)
	policies := spec.Policies
	for _, policy := range policies {
		for fault, script := range faults {
			for _, failing := range []int{1, targets / 2} {
				t.Run(policy+"/"+fault+"/"+string(rune('0'+failing)), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					var addresses []netip.AddrPort
					for i := range targets {
						s := serveSlowly
						if i < failing {
							s = script
						}
						addresses = append(addresses, newRawTarget(t, s).address)
					}
					b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
						doc.Route.Policy = policy
						doc.Hold.LongestWait = strict.Duration(time.Second)
						doc.Targets.Slots = slots
						cfg.DecisionLogOneIn = 1000
					}, addresses...)
					var (
						group  sync.WaitGroup
						mu     sync.Mutex
						failed [2]int
						open   = make(chan struct{}, (targets-failing)*slots)
					)
					for i := range int(measured.Seconds() * rate) {
						open <- struct{}{}
						group.Go(func() {
							defer func() { <-open }()
							if !served("http://" + b.address + "/x") {
								mu.Lock()
								defer mu.Unlock()
								failed[min(i/rate, 1)]++
							}
						})
						time.Sleep(time.Second / rate)
					}
					group.Wait()
					t.Logf("failed: %d in the first second, %d in the %s after it", failed[0], failed[1], measured-time.Second)
					g.Expect(failed[0]).To(gomega.BeNumerically("<=", firstSecond*rate/100))
					g.Expect(failed[1]).To(gomega.BeNumerically("<=", later*rate/100*int((measured-time.Second).Seconds())))
				})
			}
		}
	}
}

// served reports whether a call is answered whole with 200.
func served(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == "ok"
}
