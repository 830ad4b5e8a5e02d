package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/links"
	"cardamomspool/io/setup"
)

// workingTarget answers at once until busy is set, and after the time work from then on. runs
// counts the requests that it has worked on, and cut the connections that were closed
// meanwhile.
func workingTarget(t *testing.T, work time.Duration, busy *atomic.Bool, runs, cut *atomic.Int64) *rawTarget {
	return newRawTarget(t, func(c *rawConn) {
		for c.readRequest() != nil {
			if busy.Load() {
				runs.Add(1)
				closed := make(chan struct{})
				go func() {
					defer close(closed)
					c.reader.Peek(1)
				}()
				select {
				case <-closed:
					cut.Add(1)
					return
				case <-time.After(work):
				}
				c.send(okResponse)
				<-closed
				return
			}
			c.send(okResponse)
		}
	})
}

// Guards against calls that are given up, and answered 502 or run once more, because their
// target works for longer than the silence timeout on a connection that was idle before.
func TestCallAtAWorkingTargetIsNotGivenUpAsSilent(t *testing.T) {
	const (
		work  = 1200 * time.Millisecond
		calls = 3
	)
	for name, configure := range map[string]func(*spec.Service){
		"all slots are taken": func(doc *spec.Service) { doc.Targets.Slots = calls },
		"no further attempts": func(doc *spec.Service) { doc.Retry.Attempts = 1 },
		"no retry budget is left": func(doc *spec.Service) {
			doc.Retry.Window, doc.Retry.BudgetPercent = strict.Duration(10*time.Second), 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			var (
				busy      atomic.Bool
				runs, cut atomic.Int64
			)
			target := workingTarget(t, work, &busy, &runs, &cut)
			b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
				manyRetries(doc, cfg)
				doc.Targets.Slots = calls
				configure(doc)
				doc.Receive.Deadline = strict.Duration(4 * time.Second)
			}, target.address)
			openConnections(t, b, calls)
			time.Sleep(links.MaxTrustedSilence + 100*time.Millisecond)
			busy.Store(true)
			var (
				group sync.WaitGroup
				mu    sync.Mutex
				codes []int
			)
			for range calls {
				c := b.dial(t)
				group.Go(func() {
					answer, _ := c.call(t, keepAliveGet)
					mu.Lock()
					defer mu.Unlock()
					codes = append(codes, answer.StatusCode)
				})
			}
			group.Wait()
			g.Expect(codes).To(gomega.Equal([]int{http.StatusOK, http.StatusOK, http.StatusOK}))
			g.Expect(cut.Load()).To(gomega.BeZero())
			g.Expect(runs.Load()).To(gomega.BeEquivalentTo(calls))
			g.Expect(b.logs.String()).To(gomega.ContainSubstring("connection silent"))
		})
	}
}

// Guards against a call that waits for its timeout on a connection that a device on the path
// has dropped, at the only target of its service, whose other connections work.
func TestCallOnADroppedConnectionIsAnsweredByTheSameTarget(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	var silenced atomic.Bool
	target := silentTarget(t, &silenced)
	b := newTestBed(t, func(doc *spec.Service, cfg *setup.Entry) {
		manyRetries(doc, cfg)
		doc.Receive.Deadline = strict.Duration(4 * time.Second)
	}, target.address)
	openConnections(t, b, 1)
	silenced.Store(true)
	time.Sleep(links.MaxTrustedSilence + 100*time.Millisecond)
	begin := time.Now()
	answer, _ := b.dial(t).call(t, keepAliveGet)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", 2*time.Second))
}

// Guards against second attempts for silent connections that count against the operators' limit of
// second attempts.
func TestSecondAttemptBesideASilentOneIsCountedApart(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	var silenced atomic.Bool
	target := silentTarget(t, &silenced)
	b := newTestBed(t, manyRetries, target.address)
	openConnections(t, b, 1)
	silenced.Store(true)
	time.Sleep(links.MaxTrustedSilence + 100*time.Millisecond)
	answer, _ := b.dial(t).call(t, keepAliveGet)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	count := func(name string) int64 { return b.host.metrics.Counter(name).Value() }
	g.Eventually(func() int64 { return count("silent_attempts_won") }, testTimeout).Should(gomega.BeEquivalentTo(1))
	g.Expect([]int64{count("silent_attempts"), count("extra_attempts"), count("extra_attempts_won")}).To(gomega.Equal([]int64{1, 0, 0}))
}
