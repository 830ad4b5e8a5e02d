package signs

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
)

// endRecorder records the calls that a Losses passes on.
type endRecorder struct {
	mu    sync.Mutex
	calls []string
}

func (e *endRecorder) add(calls []LostCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range calls {
		e.calls = append(e.calls, c.Call)
	}
}

func (e *endRecorder) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.calls...)
}

// watcher returns a Losses that passes calls to e. dials holds the results of the
// connections that it opens, and replaced says whether the target was started again.
func (e *endRecorder) watcher(replaced bool, dials ...error) *Losses {
	var mu sync.Mutex
	return NewLosses(LossChecks{
		Ended:    e.add,
		Replaced: func(uint64, netip.AddrPort) bool { return replaced },
		Dial: func(context.Context, netip.AddrPort) error {
			mu.Lock()
			defer mu.Unlock()
			if len(dials) == 0 {
				return nil
			}
			err := dials[0]
			dials = dials[1:]
			return err
		},
	})
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
				w.Observe(t.Context(), LostCall{Call: call, Incarnation: 1})
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
	w.Observe(t.Context(), LostCall{Call: "1", Incarnation: 1})
	g.Eventually(e.list, time.Second).Should(gomega.Equal([]string{"1"}))
	w.Observe(t.Context(), LostCall{Call: "2", Incarnation: 1})
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
	w.checks.Replaced = func(uint64, netip.AddrPort) bool { return started.Load() }
	w.checks.Answered = func(member.Key, time.Time) bool { return !started.Swap(true) } // Started again after it.
	w.Observe(t.Context(), LostCall{Call: "reset", Incarnation: 1, MayBeFull: true})
	w.Observe(t.Context(), LostCall{Call: "lost", Incarnation: 1})
	g.Eventually(e.list, 2*replacedChecks*replacedPeriod).Should(gomega.Equal([]string{"lost"}))
	w.Observe(t.Context(), LostCall{Call: "reset as it ended", Incarnation: 1, MayBeFull: true})
	g.Expect(e.list()).To(gomega.Equal([]string{"lost", "reset as it ended"}))
}
