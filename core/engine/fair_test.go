package engine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

type (
	// fairRun simulates the calls of client accounts to one service on a fake clock.
	fairRun struct {
		scheduler *engine.Scheduler
		now       time.Time
		rng       *rand.Rand
		events    fairEvents
		order     int // The number of events so far.
		calls     map[uint64]*fairCall
		lastCall  uint64
		accounts  []*fairAccount
		// countFrom and countTo are the times since start between which arrivals and work are
		// counted; 0 for countTo means to the end.
		countFrom, countTo time.Duration
		// blind leaves out the accounts' names, so that calls are ordered as without
		// accounts.
		blind   bool
		reasons map[engine.Reason]int
	}

	// fairAccount is a client account. Its callers send perSecond calls a second, evenly
	// spread by lot, from begin to end.
	fairAccount struct {
		name       string
		rank       int
		class      fairClass
		perSecond  float64
		begin, end time.Duration
		// Refused calls come back up to repeats times, after repeatAfter, or after the time
		// that the refusal names when repeatAfter is 0.
		repeats     int
		repeatAfter time.Duration
		// unchanged has repeats look like new calls: with the aim and the deadline of these.
		unchanged bool
		fairCounts
	}

	// fairCounts counts the calls of an account: all of them, those that were refused at
	// least once, those that a target served, those answered within the aim, and those
	// refused after they had waited for as long as they may.
	fairCounts struct {
		asked, refused, served, inTime, waitedInVain int
		// work is the slot time used, and waits the waits of the calls that were sent.
		work  time.Duration
		waits []time.Duration
	}

	fairClass struct {
		work, aim, deadline time.Duration
	}

	// fairCall is a call of a caller, with its repeats.
	fairCall struct {
		account *fairAccount
		asked   time.Time
		repeats int
		refused bool
		counted bool
	}

	fairEvent struct {
		at    time.Time
		order int
		do    func()
	}

	fairEvents []fairEvent
)

const (
	fairTargets = 20
	fairSlots   = 3
	fairTick    = 5 * time.Millisecond
	fairLength  = 20 * time.Second
	// fairWarmUp is the time that counts do not include.
	fairWarmUp = 4 * time.Second
)

var quickClass = fairClass{work: 100 * time.Millisecond, aim: 400 * time.Millisecond, deadline: 2 * time.Second}

// fairCapacity is the number of calls of quickClass a second that the targets can serve.
const fairCapacity = fairTargets * fairSlots * 10

func (e fairEvents) Len() int { return len(e) }

func (e fairEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e fairEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *fairEvents) Push(x any) { *e = append(*e, x.(fairEvent)) }

func (e *fairEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// fairDocument returns the document of the service.
func fairDocument() spec.Service {
	doc := spec.Default()
	doc.Name = "s"
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	doc.Hold = spec.Hold{Length: 4096, LongestWait: strict.Duration(10 * time.Second)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(100 * time.Millisecond), OpenCalls: 100_000}
	return doc
}

// newFairRun returns a run with the calls of the given accounts.
func newFairRun(accounts ...*fairAccount) *fairRun {
	r := newFairRunOf(fairDocument())
	r.accounts = accounts
	r.tick()
	for _, a := range accounts {
		if a.end == 0 {
			a.end = fairLength
		}
		r.after(a.begin, func() { r.arrivals(a) })
	}
	return r
}

// newFairRunOf returns a run without accounts.
func newFairRunOf(doc spec.Service) *fairRun {
	r := &fairRun{
		scheduler: engine.NewScheduler(doc, rand.New(rand.NewPCG(3, 3))), now: start, rng: rand.New(rand.NewPCG(4, 4)),
		calls: make(map[uint64]*fairCall), countFrom: fairWarmUp, reasons: make(map[engine.Reason]int),
	}
	var records []member.Record
	for i := range fairTargets {
		records = append(records, member.Record{
			Key: member.Key{Service: "s", Target: fmt.Sprint("t", i)}, State: member.Ready, Incarnation: 1, Slots: fairSlots,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
	}
	r.scheduler.Handle(nil, engine.SetTargets{Records: records}, r.now)
	return r
}

// submitOne passes a call of an account to the scheduler and returns its actions.
func (r *fairRun) submitOne(account string, class fairClass) []engine.Action {
	r.lastCall++
	return r.scheduler.Handle(nil, engine.Arrive{Call: r.lastCall, Deadline: r.now.Add(class.deadline), Class: spec.Class{
		Weight: 1, Deadline: class.deadline, Aim: class.aim, Account: account,
	}}, r.now)
}

// after schedules do, in d from now.
func (r *fairRun) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, fairEvent{r.now.Add(d), r.order, do})
}

func (r *fairRun) tick() {
	r.handle(engine.Tick{})
	r.after(fairTick, r.tick)
}

// arrivals sends the next call of an account and schedules the one after it.
func (r *fairRun) arrivals(a *fairAccount) {
	if r.now.Sub(start) >= a.end {
		return
	}
	c := &fairCall{account: a, asked: r.now, counted: r.counts()}
	if c.counted {
		a.asked++
	}
	r.submit(c)
	mean := float64(time.Second) / a.perSecond
	r.after(time.Duration(mean*(0.5+r.rng.Float64())), func() { r.arrivals(a) })
}

// counts reports whether a call that arrives now is counted.
func (r *fairRun) counts() bool {
	since := r.now.Sub(start)
	return since >= r.countFrom && (r.countTo == 0 || since < r.countTo)
}

// submit sends a call, or its repeat, to the scheduler. The time that the caller has spent
// before is taken off the aim, and from half of the aim the call is late, as entry hosts do.
func (r *fairRun) submit(c *fairCall) {
	r.lastCall++
	r.calls[r.lastCall] = c
	class, name := c.account.class, c.account.name
	if r.blind {
		name = ""
	}
	elapsed := r.now.Sub(c.asked)
	late := elapsed >= class.aim/2
	if !late {
		class.aim -= elapsed
	}
	deadline, returned := c.asked.Add(class.deadline), c.repeats > 0
	if c.account.unchanged {
		class, deadline, late, returned = c.account.class, r.now.Add(class.deadline), false, false
	}
	r.handle(engine.Arrive{Call: r.lastCall, Deadline: deadline, Class: spec.Class{
		Weight: 1, Deadline: class.deadline, Aim: class.aim, Rank: c.account.rank, Account: name, Late: late, Returned: returned,
	}})
}

// handle passes an event to the scheduler and carries out its actions.
func (r *fairRun) handle(e engine.Event) {
	for _, action := range r.scheduler.Handle(nil, e, r.now) {
		switch a := action.(type) {
		case engine.Send:
			r.serve(a)
		case engine.Refuse:
			r.refuse(a)
		}
	}
}

// serve runs a call at its target.
func (r *fairRun) serve(a engine.Send) {
	c := r.calls[a.Call]
	took := time.Duration(float64(c.account.class.work) * (0.7 + 0.6*r.rng.Float64()))
	if c.counted {
		c.account.waits = append(c.account.waits, a.HeldFor)
		c.account.work += took
	}
	r.after(took, func() {
		if c.counted {
			c.account.served++
			if r.now.Sub(c.asked) <= c.account.class.aim {
				c.account.inTime++
			}
		}
		delete(r.calls, a.Call)
		r.handle(engine.Finish{Call: a.Call, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}})
	})
}

// refuse has the caller of a refused call come back, or give up.
func (r *fairRun) refuse(a engine.Refuse) {
	c := r.calls[a.Call]
	delete(r.calls, a.Call)
	if c.counted {
		r.reasons[a.Reason]++
		if a.Reason == engine.WaitedTooLong {
			c.account.waitedInVain++
		}
		if !c.refused {
			c.account.refused++
		}
	}
	c.refused = true
	back := c.account.repeatAfter
	if back == 0 {
		back = a.RetryAfter
	}
	if c.repeats >= c.account.repeats || r.now.Add(back).After(c.asked.Add(c.account.class.deadline)) {
		return
	}
	c.repeats++
	r.after(back, func() { r.submit(c) })
}

// run runs the events up to the end of the accounts' calls.
func (r *fairRun) run() {
	for end := start.Add(fairLength); ; {
		e := heap.Pop(&r.events).(fairEvent)
		if e.at.After(end) {
			return
		}
		r.now = e.at
		e.do()
	}
}

// maxMinShares returns the work in slot seconds that each account gets when the work that
// all have got is shared by the max-min rule: no account gets more than it asks for, and
// what one does not ask for is shared among the others.
func maxMinShares(accounts []*fairAccount) []float64 {
	left := 0.0
	shares, open := make([]float64, len(accounts)), make([]int, len(accounts))
	for i, a := range accounts {
		left += a.work.Seconds()
		open[i] = i
	}
	slices.SortStableFunc(open, func(i, j int) int { return int(accounts[i].demand() - accounts[j].demand()) })
	for k, i := range open {
		shares[i] = min(accounts[i].demand().Seconds(), left/float64(len(open)-k))
		left -= shares[i]
	}
	return shares
}

// demand returns the slot time that the counted calls of an account ask for.
func (a *fairAccount) demand() time.Duration {
	return time.Duration(a.asked) * a.class.work
}

// percentile returns the p-th percentile of the waits.
func (c *fairCounts) percentile(p int) time.Duration {
	if len(c.waits) == 0 {
		return 0
	}
	list := slices.Sorted(slices.Values(c.waits))
	return list[min(len(list)*p/100, len(list)-1)].Round(time.Millisecond)
}

// servedShare returns the share of the calls that were served.
func (c *fairCounts) servedShare() float64 {
	return float64(c.served) / float64(max(c.asked, 1))
}

// inTimeShare returns the share of the calls that were answered within the aim.
func (c *fairCounts) inTimeShare() float64 {
	return float64(c.inTime) / float64(max(c.asked, 1))
}

// sumOf returns the sum of the counts of some accounts.
func sumOf(accounts []*fairAccount) fairCounts {
	sum := fairCounts{}
	for _, a := range accounts {
		sum.asked += a.asked
		sum.refused += a.refused
		sum.served += a.served
		sum.inTime += a.inTime
		sum.waitedInVain += a.waitedInVain
		sum.work += a.work
		sum.waits = append(sum.waits, a.waits...)
	}
	return sum
}

// String lists the accounts: who waits, who is refused, and the work that each got beside
// its max-min share.
func (r *fairRun) String() string {
	var text strings.Builder
	shares := maxMinShares(r.accounts)
	for i, a := range r.accounts {
		fmt.Fprintf(&text, "%-8s rank %d asked %5d refused %5d served %5d in time %5d waited in vain %3d wait p50 %4d ms p95 %4d ms work %6.1f max-min %6.1f\n",
			a.name, a.rank, a.asked, a.refused, a.served, a.inTime, a.waitedInVain, a.percentile(50).Milliseconds(), a.percentile(95).Milliseconds(),
			a.work.Seconds(), shares[i])
	}
	sum := sumOf(r.accounts)
	fmt.Fprintf(&text, "all             asked %5d refused %5d served %5d in time %5d waited in vain %3d\n", sum.asked, sum.refused, sum.served, sum.inTime, sum.waitedInVain)
	return text.String()
}
