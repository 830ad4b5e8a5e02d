package admit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/admit"
)

// TestFairnessBoundOfBacklog checks the bound of the source: while two accounts have calls
// waiting all the time, the work that they get differs by at most the sum of their largest
// calls. Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996,
// theorem 1.
func TestFairnessBoundOfBacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		f, q := admit.Fair{}, admit.Queue{MaxWeight: math.MaxInt}
		accounts := rapid.IntRange(2, 5).Draw(t, "accounts")
		work, largest := make([]float64, accounts), make([]float64, accounts)
		calls, account := map[uint64]float64{}, map[uint64]int{}
		var next uint64
		push := func(i int) {
			w := float64(rapid.IntRange(1, 50).Draw(t, "work")) / 10
			largest[i] = max(largest[i], w)
			flow := f.Join(0, fmt.Sprint(i), now)
			next++
			calls[next], account[next] = w, i
			if err := q.Push(admit.QueuedCall{Call: next, Weight: 1, Start: flow.Start(), Flow: flow}); err != nil {
				t.Fatal(err)
			}
			flow.Charge(w)
		}
		for i := range accounts {
			push(i)
			push(i)
		}
		for range rapid.IntRange(1, 200).Draw(t, "sent") {
			c, _ := q.Pop()
			c.Flow.Sent(c.Start, true)
			f.Leave(c.Flow)
			i := account[c.Call]
			work[i] += calls[c.Call]
			push(i)
			for a := range accounts {
				for b := range accounts {
					if work[a]-work[b] > largest[a]+largest[b]+1e-9 {
						t.Fatalf("work %v, largest calls %v", work, largest)
					}
				}
			}
		}
	})
}

// TestQueueOrderHoldsOverRandomRuns compares the queue with a sorted list, and checks that
// calls of a flow advance when one of them leaves without being served.
func TestQueueOrderHoldsOverRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		f, q := admit.Fair{}, admit.Queue{MaxWeight: math.MaxInt}
		flows := []*admit.Flow{f.Join(0, "a", now), f.Join(0, "b", now), f.Join(1, "a", now)}
		want := map[uint64]admit.QueuedCall{}
		var next uint64
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step < 2 || len(want) == 0:
				next++
				k := rapid.IntRange(0, len(flows)-1).Draw(t, "flow")
				c := admit.QueuedCall{Call: next, Weight: 1, Rank: k / 2, Start: flows[k].Start(), Flow: flows[k], Patient: rapid.Bool().Draw(t, "patient")}
				flows[k].Charge(1)
				want[next] = c
				if err := q.Push(c); err != nil {
					t.Fatal(err)
				}
			case step == 2:
				c, _ := q.Pop()
				for _, o := range want {
					if o.Rank < c.Rank || o.Rank == c.Rank && o.Start < c.Start {
						t.Fatalf("%+v was popped before %+v", c, o)
					}
				}
				c.Flow.Sent(c.Start, true)
				delete(want, c.Call)
			default:
				c := q.At(rapid.IntRange(0, q.Len()-1).Draw(t, "call"))
				if taken, ok := q.Take(c.Call); !ok || taken != c {
					t.Fatalf("%+v was taken in place of %+v", taken, c)
				}
				delete(want, c.Call)
				c.Flow.Refund(1)
				q.Advance(c.Flow, c.Start, 1)
				for id, o := range want {
					if o.Flow == c.Flow && o.Start > c.Start {
						o.Start--
						want[id] = o
					}
				}
			}
			if q.Len() != len(want) || q.Weight() != len(want) {
				t.Fatalf("the queue has %d calls of weight %d, %d were left", q.Len(), q.Weight(), len(want))
			}
		}
		for i := range q.Len() {
			if c := q.At(i); want[c.Call] != c {
				t.Fatalf("%+v is queued as %+v", want[c.Call], c)
			}
			if c, before := q.At(i), q.At(max(i-1, 0)); before.Rank > c.Rank || before.Rank == c.Rank && before.Start > c.Start {
				t.Fatalf("%+v is queued before %+v", before, c)
			}
		}
		waiting := map[*admit.Flow]bool{}
		for _, c := range want {
			waiting[c.Flow] = true
		}
		if f.Waiting() != len(waiting) {
			t.Fatalf("%d flows wait, %d were counted", len(waiting), f.Waiting())
		}
	})
}

// Guards against state that grows with all accounts that there have ever been, and against
// an account that gets rid of what it has used by a pause.
func TestFlowsOfIdleAccountsAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	f := admit.Fair{}
	for i := range 5000 {
		flow := f.Join(0, fmt.Sprint(i), now)
		start := flow.Start()
		flow.Charge(1)
		flow.Sent(start, false)
		f.Leave(flow)
	}
	g.Expect(f.Flows()).To(gomega.Equal(5000))
	busy := f.Join(0, "busy", now)
	for range 3 {
		start := busy.Start()
		busy.Charge(1)
		busy.Sent(start, false)
	}
	f.Leave(busy)
	now = now.Add(time.Minute)
	f.Leave(f.Join(0, "new", now))
	g.Expect(f.Flows()).To(gomega.Equal(2), "the new one, and the one whose finish tag is ahead of the virtual time")
	used := f.Join(0, "busy", now)
	g.Expect(used.Start()).To(gomega.Equal(3.0))
	g.Expect(f.Join(0, "new", now).Start()).To(gomega.Equal(2.0))
	f.Leave(used)
	f.EndBusyPeriod()
	g.Expect(f.Join(0, "0", now).Start()).To(gomega.Equal(3.0), "when all calls have ended, all start equal")
}

// Guards against a rank that is never served again because it was not served once: while no
// call waits, the estimate returns to what the slots in use can do.
func TestWaitFollowsWhatIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	f, q := admit.Fair{}, admit.Queue{MaxWeight: 100}
	busy := admit.Busy{InFlight: 10, CallTime: 100 * time.Millisecond}
	f.Observe(busy)
	flow := f.Join(1, "a", now)
	g.Expect(flow.Wait(0, 9)).To(gomega.Equal(100*time.Millisecond), "10 calls at 100 a second")
	g.Expect(flow.Wait(20, 0)).To(gomega.Equal(2*time.Second), "20 s of work in 10 slots")
	flow.Charge(0.1)
	g.Expect(flow.Wait(flow.Start(), 0)).To(gomega.Equal(10*time.Millisecond), "no other call of the account waits")
	g.Expect(q.Push(admit.QueuedCall{Call: 1, Weight: 1, Rank: 1, Flow: flow})).To(gomega.Succeed())
	busy.Waited += 5 * time.Second
	f.Observe(busy)
	g.Expect(flow.Wait(0, 9)).To(gomega.BeNumerically(">", 10*time.Second), "nothing was served for 5 s")
	q.Pop()
	busy.Waited += time.Second
	f.Observe(busy)
	g.Expect(flow.Wait(0, 9)).To(gomega.BeNumerically(">", 10*time.Second), "only calls of other ranks waited since")
	busy.Idle += 3 * time.Second
	f.Observe(busy)
	g.Expect(flow.Wait(0, 9)).To(gomega.BeNumerically("~", 100*time.Millisecond, 5*time.Millisecond))
}

func TestFloorOwesItsPartOfTheShare(t *testing.T) {
	g := gomega.NewWithT(t)
	floor, share := admit.Floor{}, admit.Share{}
	for i := range 1000 {
		share.Observe(i%2 == 0)
	}
	g.Expect(share.Value()).To(gomega.BeNumerically("~", 0.5, 0.02))
	served, now := 0, time.Unix(0, 0)
	for range 1000 {
		owed := floor.Owes()
		floor.Earn(0.5, now)
		if owed {
			floor.Serve(now)
			served++
		}
	}
	g.Expect(served).To(gomega.And(gomega.BeNumerically(">=", 125), gomega.BeNumerically("<=", 170)), "a quarter of 0.5, and some more")
	refusedAfter := func(wait time.Duration) int {
		for range 1000 {
			floor.Earn(1, now)
			floor.Serve(now)
		}
		now = now.Add(wait)
		refused := 0
		for ; !floor.Owes(); refused++ {
			floor.Earn(0.5, now)
		}
		return refused
	}
	g.Expect(refusedAfter(2*time.Second)).To(gomega.BeNumerically("<=", 25), "good service of long ago counts for few calls")
	g.Expect(refusedAfter(0)).To(gomega.BeNumerically(">=", 50), "that of just now for more")
}

// BenchmarkFair measures the queue's part of a call of one of some accounts, while 1,000
// calls are queued.
func BenchmarkFair(b *testing.B) {
	for _, n := range []int{82, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("account-%04d", i)
			}
			now := time.Unix(0, 0)
			f, q := admit.Fair{}, admit.Queue{MaxWeight: math.MaxInt}
			busy := admit.Busy{InFlight: 600, CallTime: 200 * time.Millisecond}
			next := uint64(0)
			push := func() {
				next++
				now = now.Add(300 * time.Microsecond)
				busy.Waited += 300 * time.Microsecond
				f.Observe(busy)
				// A tenth of the calls are those of one account.
				name := names[int(next*7919)%n]
				if next%10 == 0 {
					name = names[0]
				}
				flow := f.Join(int(next%3), name, now)
				flow.Arrive(f.FairRate(), now)
				c := admit.QueuedCall{Call: next, Weight: 1, Until: now, Rank: int(next % 3), Start: flow.Start(), Flow: flow}
				ahead := q.Ahead(c)
				flow.Wait(c.Start, ahead-q.AheadOfRank(c.Rank))
				if err := q.Push(c); err != nil {
					b.Fatal(err)
				}
				flow.Charge(0.2)
			}
			pop := func() {
				c, _ := q.Pop()
				c.Flow.Sent(c.Start, true)
				f.Leave(c.Flow)
			}
			for range 1000 {
				push()
			}
			for range 20 * n {
				push()
				pop()
			}
			b.ReportAllocs()
			for b.Loop() {
				push()
				pop()
			}
		})
	}
}
