package admit

import "time"

type (
	// Fair assigns start tags to the calls of client accounts by start-time fair queueing,
	// so that the accounts of one rank that have calls waiting get equal amounts of work.
	// Work is in seconds of a slot. The zero value is ready for use. Times must not
	// decrease from call to call. Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair
	// Queueing", SIGCOMM 1996.
	//
	// The start tag of a call is the larger of the virtual time of its rank and the
	// account's last finish tag. The virtual time is the largest start tag of the calls
	// that were sent.
	Fair struct {
		flows  map[flowKey]*Flow
		unused []*Flow // Reused by Join, so that returning accounts cost no allocation.
		clocks map[int]*clock
		busy   Busy
		// sweepAt is when the flows of idle accounts are dropped next.
		sweepAt time.Time
	}

	// Flow is the state of one account in one rank.
	Flow struct {
		key   flowKey
		clock *clock
		// finish is the finish tag of the last call, work the work of that call.
		finish, work float64
		// Floor guarantees the account its part of the calls that are served.
		Floor  Floor
		demand demand
		// open is the number of open calls, queued that of the queued ones.
		open, queued int
		lastUse      time.Time
	}

	flowKey struct {
		rank    int
		account string
	}

	// clock is the virtual time of one rank.
	clock struct {
		virtual float64
		// maxFinish is the largest finish tag of any flow.
		maxFinish float64
		// flows is the number of flows of the rank, waiting that of those with queued calls.
		flows, waiting int
		// progress measures how fast the rank is served while calls of it wait.
		progress progress
		busy     *Busy // That of Fair.
	}
)

const (
	// flowMemory is how long the flow of an account without open calls is kept: the time
	// over which Flow.Floor counts the calls of accounts that call rarely.
	flowMemory = 10 * time.Second
	// sweepPeriod is the time between two looks for flows to drop, each of which passes
	// over all flows.
	sweepPeriod = time.Second
)

// Observe sets the load at the time of an event. It must come before the changes that the
// event makes to flows and to the queue.
func (f *Fair) Observe(busy Busy) {
	f.busy = busy
}

// Join returns the flow of an account in a rank for a call that arrives at now. Leave must
// follow when the call has ended.
func (f *Fair) Join(rank int, account string, now time.Time) *Flow {
	if f.flows == nil {
		f.flows, f.clocks = make(map[flowKey]*Flow), make(map[int]*clock)
	}
	f.sweep(now)
	key := flowKey{rank: rank, account: account}
	flow := f.flows[key]
	if flow == nil {
		flow = f.newFlow(key)
		f.flows[key] = flow
	}
	flow.open++
	flow.lastUse = now
	return flow
}

// newFlow returns a flow without calls.
func (f *Fair) newFlow(key flowKey) *Flow {
	c := f.clocks[key.rank]
	if c == nil {
		c = &clock{busy: &f.busy}
		f.clocks[key.rank] = c
	}
	flow := &Flow{}
	if n := len(f.unused); n > 0 {
		flow = f.unused[n-1]
		f.unused = f.unused[:n-1]
	}
	*flow = Flow{key: key, clock: c}
	c.flows++
	return flow
}

// sweep drops the flows that have been without calls for flowMemory and whose next start
// tag would be the virtual time in any case. The memory of Fair thus depends on the
// accounts of the last seconds, not on all that there are.
func (f *Fair) sweep(now time.Time) {
	if now.Before(f.sweepAt) {
		return
	}
	f.sweepAt = now.Add(sweepPeriod)
	for key, flow := range f.flows {
		if flow.open == 0 && flow.finish <= flow.clock.virtual && now.Sub(flow.lastUse) >= flowMemory {
			delete(f.flows, key)
			flow.clock.flows--
			f.unused = append(f.unused, flow)
		}
	}
	if spare := len(f.flows) + 1; len(f.unused) > spare {
		clear(f.unused[spare:])
		f.unused = f.unused[:spare]
	}
}

// Leave reports that a call of the flow has ended.
func (f *Fair) Leave(flow *Flow) {
	flow.open--
}

// Flows returns the number of flows that are held.
func (f *Fair) Flows() int {
	return len(f.flows)
}

// Waiting returns the number of flows with queued calls.
func (f *Fair) Waiting() int {
	n := 0
	for _, c := range f.clocks {
		n += c.waiting
	}
	return n
}

// LargestOpen returns the largest number of open calls of a flow.
func (f *Fair) LargestOpen() int {
	n := 0
	for _, flow := range f.flows {
		n = max(n, flow.open)
	}
	return n
}

// EndBusyPeriod reports that no call is open. The virtual times advance to the largest
// finish tags, so that what accounts have used before counts no more.
func (f *Fair) EndBusyPeriod() {
	for _, c := range f.clocks {
		c.virtual = c.maxFinish
	}
}

// Start returns the start tag that the next call of the flow gets.
func (flow *Flow) Start() float64 {
	return max(flow.clock.virtual, flow.finish)
}

// Charge adds the work of a call, or of a repeated attempt of one, to what the account
// has used.
func (flow *Flow) Charge(work float64) {
	flow.finish, flow.work = flow.Start()+work, work
	flow.clock.maxFinish = max(flow.clock.maxFinish, flow.finish)
}

// Refund takes back the Charge of a call that leaves the queue without being sent.
func (flow *Flow) Refund(work float64) {
	flow.finish -= work
}

// Sent advances the virtual time to the start tag of a call that is sent. waited says that
// the call was queued.
func (flow *Flow) Sent(start float64, waited bool) {
	c := flow.clock
	c.advance()
	gain := max(start-c.virtual, 0)
	c.virtual += gain
	if waited {
		c.progress.count(gain)
	}
}

// Wait estimates how long a call of the flow waits that has the given start tag and
// aheadInRank calls of its rank before it: until the rank has been served that often, and
// until the calls of its own account before it have been served. Both go on as they have
// lately while calls of the rank waited, so that calls of other accounts and ranks that
// arrive later are allowed for.
//
// The virtual time goes on by the work of one call while each of many accounts has one, so
// a tag that is one call ahead of it says nothing of a queue of the account.
//
// Wait returns 0 when no call was at a target lately, as EstimateWait does: how long targets take to
// start or to become usable again says nothing of the shares.
func (flow *Flow) Wait(start float64, aheadInRank int) time.Duration {
	c := flow.clock
	c.advance()
	if c.busy.InFlight <= 0 {
		return 0
	}
	return c.progress.wait(float64(aheadInRank+1), start-c.virtual-flow.work, c, flow.work)
}

// advance brings the measurement of the rank's progress up to the last Observe.
func (c *clock) advance() {
	c.progress.advance(c.busy, c.waiting)
}

// addQueued adds n to the number of queued calls.
func (flow *Flow) addQueued(n int) {
	before := flow.queued
	flow.queued += n
	switch {
	case before == 0 && flow.queued > 0:
		flow.clock.advance()
		flow.clock.waiting++
	case before > 0 && flow.queued == 0:
		flow.clock.advance()
		flow.clock.waiting--
	}
}
