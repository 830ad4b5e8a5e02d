package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/route"
)

// replaySpreadCalls has many hosts send few calls each to many targets, as 115 entry
// hosts with five calls a second and 170 targets do, and returns the share of the calls
// for which the host had no idle connection.
func replaySpreadCalls(remember bool) float64 {
	const (
		hosts, targets, calls = 100, 150, 30_000
		interval              = 2 * time.Millisecond // Between two calls of any host.
		duration              = 100                  // Of a call, in intervals.
		idleTimeout           = 10 * time.Second
	)
	type inUse struct {
		name string
		host uint64
	}
	type key = inUse
	var (
		rng     = rand.New(rand.NewPCG(5, 6))
		table   = newTable(targets)
		open    = map[key][]time.Time{} // When each idle connection was last used.
		running []inUse
		fresh   int
		now     = start
	)
	for n := range calls {
		now = now.Add(interval)
		host := 1 + rng.Uint64N(hosts)
		pick, ok := table.Choose(route.Fastest{}, route.Query{Slots: 2, Now: now, Host: host}, rng)
		if !ok {
			continue
		}
		table.Begin(pick.Name, now)
		if remember {
			table.TakeConn(pick.Name, host)
		}
		k := key{pick.Name, host}
		if list := open[k]; len(list) > 0 && now.Sub(list[len(list)-1]) < idleTimeout {
			open[k] = list[:len(list)-1]
		} else if n > calls/2 {
			fresh++
		}
		if running = append(running, k); len(running) > duration {
			done := running[0]
			running = running[1:]
			table.Finish(done.name, route.Feedback{Outcome: route.Served}, duration*interval, now)
			if remember {
				table.ReturnConn(done.name, done.host, now)
			}
			open[done] = append(open[done], now)
		}
	}
	return float64(fresh) / (calls / 2)
}

func TestCallsGoWhereTheirHostHasAnIdleConnection(t *testing.T) {
	const goal = 0.3 // New connections for each call.
	g := gomega.NewWithT(t)
	before, after := replaySpreadCalls(false), replaySpreadCalls(true)
	t.Logf("new connections for each call: %.2f without, %.2f with the memory of idle connections", before, after)
	g.Expect(after).To(gomega.BeNumerically("<=", goal))
}

// Idle connections decide only between targets that are about equally fast.
func TestIdleConnectionsGoAfterSpeed(t *testing.T) {
	g := gomega.NewWithT(t)
	rng, table := newRand(), newTable(3)
	table.ReturnConn("t1", 7, start)
	q := route.Query{Slots: 2, Now: start, Host: 7}
	counts := func(n int) map[string]int {
		seen := map[string]int{}
		for range n {
			pick, ok := table.Choose(route.Fastest{}, q, rng)
			g.Expect(ok).To(gomega.BeTrue())
			seen[pick.Name]++
		}
		return seen
	}
	seen := counts(800)
	g.Expect(seen["t1"]).To(gomega.BeNumerically(">", 650))
	g.Expect(seen["t0"]).To(gomega.BeNumerically(">", 10), "others get calls too")
	g.Expect(seen["t2"]).To(gomega.BeNumerically(">", 10), "others get calls too")

	table.Begin("t1", start)
	g.Expect(counts(100)).NotTo(gomega.HaveKey("t1"), "a busy target is slower")

	q.Now = start.Add(time.Minute)
	table.Finish("t1", route.Feedback{Outcome: route.Served}, time.Second, q.Now)
	seen = counts(300)
	g.Expect(seen["t1"]).To(gomega.BeNumerically("~", 100, 40), "the connection is too old")
}
