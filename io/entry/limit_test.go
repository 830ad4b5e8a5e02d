package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
)

// limitedTarget is a target that names a limit in its answers and notes when it gets
// requests.
type limitedTarget struct {
	address netip.AddrPort
	limit   float64 // In requests a second; 0 for none.

	mu       sync.Mutex
	requests []time.Time
}

const (
	// limitWindow is the length of the windows over which a limit is measured.
	limitWindow = 4 * time.Second
	// In a window, a target may get limitTolerance times what its limit allows and
	// limitSlack requests more. This holds from limitDelay after it named the limit.
	limitTolerance = 1.5
	limitSlack     = 5
	limitDelay     = 3 * time.Second
)

func newLimitedTarget(t *testing.T, limit float64) *limitedTarget {
	target := &limitedTarget{limit: limit}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		target.mu.Lock()
		target.requests = append(target.requests, time.Now())
		target.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		if limit > 0 {
			w.Header().Set("Spool-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		}
		io.WriteString(w, "ok")
	}))
	t.Cleanup(server.Close)
	target.address = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return target
}

// most returns the largest number of requests in a window that begins after from.
func (l *limitedTarget) most(from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, begin := range l.requests {
		n := 0
		for _, at := range l.requests[i:] {
			if at.Sub(begin) < limitWindow {
				n++
			}
		}
		if begin.After(from) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against requests beyond the limit that a target has named, summed over all
// hosts, with a control host that decides and without.
func TestTargetGetsNoMoreThanItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit, hosts = 2.0, 3
	limited, sound := newLimitedTarget(t, limit), newLimitedTarget(t, 0)
	reports := []roster.Target{rosterTarget("limited", limited.address, member.Ready), rosterTarget("sound", sound.address, member.Ready)}
	control := newStaleControl(t, reports...)
	control.state.UpdateTargets(true, reports...)
	begin := time.Now()
	var callers sync.WaitGroup
	statuses := make([]map[int]int, hosts)
	for i := range hosts {
		_, url := newFleetHost(t, control.address)
		statuses[i] = make(map[int]int)
		callers.Go(func() {
			for time.Since(begin) < limitDelay+2*limitWindow {
				statuses[i][callRoute(t, http.MethodGet, url, nil)]++
			}
		})
	}
	time.AfterFunc(limitDelay+limitWindow, control.stop)
	callers.Wait()
	g.Expect(limited.most(begin.Add(limitDelay))).To(gomega.BeNumerically("<=", int(limitTolerance*limit*limitWindow.Seconds())+limitSlack))
	g.Expect(limited.most(begin)).To(gomega.BeNumerically(">", 0), "the limit is used")
	for i := range statuses {
		g.Expect(statuses[i][http.StatusOK]).To(gomega.BeNumerically(">", 50), "calls served at host %d, answers by status %v", i, statuses[i])
	}
}
