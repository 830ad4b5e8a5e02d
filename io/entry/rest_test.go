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
	"cardamomspool/core/wire"
)

// askingTarget is a target that turns calls away and asks for rest, or answers them and
// says that it leaves. It notes when it gets requests.
type askingTarget struct {
	address netip.AddrPort
	rest    time.Duration // Asked for in each answer; 0 for none.
	leaving bool          // Each answer says so.

	mu       sync.Mutex
	requests []time.Time
}

const (
	// A target that has asked for rest may get restTolerance requests from a host
	// between restDelay after its answer and the end of the rest.
	restTolerance = 2
	restDelay     = 500 * time.Millisecond
)

func newAskingTarget(t *testing.T, rest time.Duration, leaving bool) *askingTarget {
	target := &askingTarget{rest: rest, leaving: leaving}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		target.mu.Lock()
		target.requests = append(target.requests, time.Now())
		target.mu.Unlock()
		if leaving {
			w.Header().Set(wire.HeaderState, member.Draining.String())
			io.WriteString(w, "ok")
			return
		}
		w.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
		w.Header().Set("Retry-After", strconv.Itoa(int(rest.Seconds())))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	target.address = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return target
}

// duringRest returns the largest number of requests in the rest after an answer.
func (a *askingTarget) duringRest() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for _, asked := range a.requests {
		n := 0
		for _, at := range a.requests {
			if since := at.Sub(asked); since > restDelay && since < a.rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// after returns the number of requests later than the given time after the first one.
func (a *askingTarget) after(delay time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.requests {
		if at.Sub(a.requests[0]) > delay {
			n++
		}
	}
	return n
}

// callWhileDecidersChange sends calls to a host of a fleet for a time, in the middle of
// which its control host is lost, and returns the answers by status.
func callWhileDecidersChange(t *testing.T, asking *askingTarget, duration time.Duration) map[int]int {
	sound := newCountingTarget(t)
	reports := []roster.Target{rosterTarget("asking", asking.address, member.Ready), rosterTarget("sound", sound.address, member.Ready)}
	control := newStaleControl(t, reports...)
	control.state.UpdateTargets(true, reports...)
	_, url := newFleetHost(t, control.address)
	time.AfterFunc(duration/2, control.stop)
	statuses := make(map[int]int)
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(5 * time.Millisecond) {
		statuses[callRoute(t, http.MethodGet, url, nil)]++
	}
	return statuses
}

// Guards against requests to a target that has asked for rest.
func TestTargetGetsTheRestThatItAskedFor(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	asking := newAskingTarget(t, 2*time.Second, false)
	statuses := callWhileDecidersChange(t, asking, 5*time.Second)
	g.Expect(asking.duringRest()).To(gomega.BeNumerically("<=", restTolerance))
	g.Expect(asking.after(0)).To(gomega.BeNumerically(">", 0), "it is used after its rest")
	g.Expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">", 100), "answers by status %v", statuses)
}
