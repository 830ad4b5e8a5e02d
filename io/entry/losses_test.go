package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
)

// endRecorder records the calls that a lossWatcher passes on.
type endRecorder struct {
	mu    sync.Mutex
	calls []string
}

func (e *endRecorder) add(calls []lostCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range calls {
		e.calls = append(e.calls, c.call)
	}
}

func (e *endRecorder) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.calls...)
}

// watcher returns a lossWatcher that passes calls to e. dials holds the results of the
// connections that it opens, and replaced says whether the target was started again.
func (e *endRecorder) watcher(replaced bool, dials ...error) *lossWatcher {
	var mu sync.Mutex
	return &lossWatcher{
		ended:    e.add,
		replaced: func(uint64, netip.AddrPort) bool { return replaced },
		dial: func(context.Context, netip.AddrPort) error {
			mu.Lock()
			defer mu.Unlock()
			if len(dials) == 0 {
				return nil
			}
			err := dials[0]
			dials = dials[1:]
			return err
		},
	}
}

func TestCallsAreLostWithTargetsThatHaveEnded(t *testing.T) {
	for name, row := range map[string]struct {
		replaced bool
		dials    []error
		lost     []string
	}{
		"nothing listens":                   {false, []error{syscall.ECONNREFUSED}, []string{"1", "2"}},
		"the listener closes last":          {false, []error{nil, syscall.ECONNREFUSED}, []string{"1", "2"}},
		"started again at once":             {true, nil, []string{"1", "2"}},
		"only the connections have ended":   {false, nil, []string{}},
		"silent, as behind a cut":           {false, []error{context.DeadlineExceeded, context.DeadlineExceeded}, []string{}},
		"connections beyond the limit fail": {false, []error{syscall.ECONNRESET, syscall.ECONNRESET}, []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			var e endRecorder
			w := e.watcher(row.replaced, row.dials...)
			for _, call := range []string{"1", "2"} {
				w.observe(t.Context(), lostCall{call: call, incarnation: 1})
			}
			g.Eventually(func() int {
				w.mu.Lock()
				defer w.mu.Unlock()
				return len(w.watches)
			}, 2*replacedChecks*replacedPeriod).Should(gomega.BeZero())
			g.Expect(e.list()).To(gomega.ConsistOf(row.lost))
		})
	}
}

func TestCallWhoseLossIsNoticedLaterIsLostAsWell(t *testing.T) {
	g := gomega.NewWithT(t)
	var e endRecorder
	w := e.watcher(false, syscall.ECONNREFUSED)
	w.observe(t.Context(), lostCall{call: "1", incarnation: 1})
	g.Eventually(e.list, time.Second).Should(gomega.Equal([]string{"1"}))
	w.observe(t.Context(), lostCall{call: "2", incarnation: 1})
	g.Expect(e.list()).To(gomega.Equal([]string{"1", "2"}))
}

// Guards against callers that are blocked since a full target, which was started again soon
// after, had reset their calls.
func TestCallsResetByFullTargetsAreNotLostWithThem(t *testing.T) {
	g := gomega.NewWithT(t)
	var (
		e       endRecorder
		started atomic.Bool
	)
	w := e.watcher(false)
	w.replaced = func(uint64, netip.AddrPort) bool { return started.Load() }
	w.answered = func(member.Key, time.Time) bool { return !started.Swap(true) } // Started again after it.
	w.observe(t.Context(), lostCall{call: "reset", incarnation: 1, mayBeFull: true})
	w.observe(t.Context(), lostCall{call: "lost", incarnation: 1})
	g.Eventually(e.list, 2*replacedChecks*replacedPeriod).Should(gomega.Equal([]string{"lost"}))
	w.observe(t.Context(), lostCall{call: "reset as it ended", incarnation: 1, mayBeFull: true})
	g.Expect(e.list()).To(gomega.Equal([]string{"lost", "reset as it ended"}))
}

func TestCallerAddressIsTheLastOneThatIsNotAProxy(t *testing.T) {
	g := gomega.NewWithT(t)
	trusted := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	for _, row := range []struct{ remote, forwarded, caller string }{
		{"192.0.2.1:99", "198.51.100.7", "192.0.2.1"},
		{"10.0.0.1:99", "198.51.100.7", "198.51.100.7"},
		{"10.0.0.1:99", "203.0.113.9, 198.51.100.7, 10.0.0.2", "198.51.100.7"},
		{"10.0.0.1:99", "", "10.0.0.1"},
	} {
		r := httptest.NewRequest(http.MethodGet, "/", strings.NewReader(""))
		r.RemoteAddr = row.remote
		if row.forwarded != "" {
			r.Header.Set("X-Forwarded-For", row.forwarded)
		}
		g.Expect(callerAddress(r, trusted).String()).To(gomega.Equal(row.caller))
	}
}

// Guards against a target that counts as ended because another one, which has ended, had
// its address before.
func TestEarlierTargetAtAnAddressReplacesNone(t *testing.T) {
	g := gomega.NewWithT(t)
	h, address := newTestHost(), netip.MustParseAddrPort("127.0.0.1:9")
	announce := func(target string, incarnation uint64) {
		h.members.handle(member.Announce{Record: member.Record{
			Key: member.Key{Service: "s", Target: target}, Address: address, State: member.Ready, Incarnation: incarnation, Owner: "entry-1",
		}})
	}
	announce("former", 5)
	announce("present", 7)
	g.Expect(h.targetReplaced(7, address)).To(gomega.BeFalse())
	g.Expect(h.targetReplaced(0, address)).To(gomega.BeFalse(), "an unknown incarnation")
	announce("next", 8)
	g.Expect(h.targetReplaced(7, address)).To(gomega.BeTrue())
}
