package quorum_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomspool/core/quorum"
)

type (
	// cluster runs nodes on a fake clock with simulated network and disks.
	cluster struct {
		now       time.Time
		startTime time.Time
		rng       *rand.Rand
		names     []string
		hosts     map[string]*simulatedHost
		messages  messageHeap
		sequence  uint64
		// delays returns the delay of each copy of a message; the message is lost
		// if there is none.
		delays func(e quorum.Envelope) []time.Duration
		// newNode returns the node of a starting host.
		newNode func(h *simulatedHost) (*quorum.Node, error)
		// onOutput is called with the output of every step.
		onOutput func(host string, out quorum.Output)
		// trace receives a line for each message, event and call.
		trace io.Writer
		// skipPeriodic omits fetches and their replies from the trace.
		skipPeriodic bool
	}

	// simulatedHost is one control host with its disk.
	simulatedHost struct {
		name            string
		node            *quorum.Node
		disk            disk
		nextTick        time.Time
		frozen          bool
		inbox           []quorum.Envelope // messages that arrived while frozen
		crashAfterSaves int               // number of saves after which the next step crashes; -1 for no crash
	}

	// disk holds the synced records of one host.
	disk struct {
		identity  *quorum.Identity
		registers map[string]quorum.Register
		learnt    map[string]quorum.Learnt
		damaged   bool
	}

	// inFlight is one message in the network.
	inFlight struct {
		arrivesAt time.Duration
		seq       uint64
		envelope  quorum.Envelope
	}

	// messageHeap is a heap of messages by arrival time.
	messageHeap []*inFlight
)

func (h messageHeap) Len() int      { return len(h) }
func (h messageHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *messageHeap) Push(x any)   { *h = append(*h, x.(*inFlight)) }

func (h messageHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].arrivesAt, h[j].arrivesAt), cmp.Compare(h[i].seq, h[j].seq)) < 0
}

func (h *messageHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}

// newCluster returns a cluster of n hosts, not started, with empty disks. Its random
// choices follow from seed.
func newCluster(n int, seed uint64) *cluster {
	startTime := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &cluster{
		now: startTime, startTime: startTime, rng: rand.New(rand.NewPCG(seed, 1)), hosts: make(map[string]*simulatedHost), trace: io.Discard,
		delays:   func(quorum.Envelope) []time.Duration { return []time.Duration{time.Millisecond} },
		onOutput: func(string, quorum.Output) {},
	}
	c.newNode = func(h *simulatedHost) (*quorum.Node, error) {
		return quorum.NewNode(h.name, c.names, c.newProcessRNG())
	}
	for i := range n {
		name := string(rune('a' + i))
		c.names = append(c.names, name)
		c.hosts[name] = &simulatedHost{name: name, crashAfterSaves: -1}
		c.hosts[name].wipe()
	}
	return c
}

// wipe empties the disk.
func (h *simulatedHost) wipe() {
	h.disk = disk{registers: make(map[string]quorum.Register), learnt: make(map[string]quorum.Learnt)}
}

// damage marks the disk as damaged and removes one register, or the identity if
// there is no register.
func (h *simulatedHost) damage() {
	h.disk.damaged = true
	for _, name := range slices.Sorted(maps.Keys(h.disk.registers)) {
		delete(h.disk.registers, name)
		return
	}
	h.disk.identity = nil
}

func (h *simulatedHost) copyDisk() disk {
	return disk{identity: h.disk.identity, registers: maps.Clone(h.disk.registers), learnt: maps.Clone(h.disk.learnt)}
}

// voting reports whether the host votes according to its disk.
func (h *simulatedHost) voting() bool {
	return h.disk.identity != nil && h.disk.identity.Stage == quorum.StageVoting && !h.disk.damaged
}

// newProcessRNG returns a new random generator for one process of a host, seeded
// from the generator of the cluster.
func (c *cluster) newProcessRNG() *rand.Rand {
	return rand.New(rand.NewPCG(c.rng.Uint64(), 2))
}

// start starts a new process of the host with its disk.
func (c *cluster) start(name string) {
	h := c.hosts[name]
	node, err := c.newNode(h)
	if err != nil {
		panic(err)
	}
	h.node, h.frozen, h.inbox, h.crashAfterSaves, h.nextTick = node, false, nil, -1, c.now
	saved := quorum.Saved{Identity: h.disk.identity, Damaged: h.disk.damaged}
	for _, r := range h.disk.registers {
		saved.Registers = append(saved.Registers, r)
	}
	for _, l := range h.disk.learnt {
		saved.Learnt = append(saved.Learnt, l)
	}
	c.tracef("%s starts", name)
	c.execute(h, node.Start(c.now, saved))
}

// stop ends the process of the host.
func (c *cluster) stop(name string) {
	c.hosts[name].node = nil
	c.tracef("%s stops", name)
}

// execute performs the output of a step. If crashAfterSaves is set and there are
// saves, the host syncs only that many, sends nothing and stops.
func (c *cluster) execute(h *simulatedHost, out quorum.Output) {
	for i, r := range out.Saves {
		if h.crashAfterSaves == i {
			break
		}
		h.disk.save(r)
	}
	if h.crashAfterSaves >= 0 && len(out.Saves) > 0 {
		h.node, h.crashAfterSaves = nil, -1
		c.tracef("%s crashes in a step", h.name)
		return
	}
	for _, e := range out.Events {
		c.tracef("%s: %s%s%s%s", h.name, e.Kind, prefixed(" host=", e.Host), prefixed(" name=", e.Name), prefixed(" ", e.Detail))
	}
	for _, v := range out.Learnt {
		c.tracef("%s learns %s revision %d %s", h.name, v.Name, v.Revision, v.Body)
	}
	for _, e := range out.Sends {
		for _, d := range c.delays(e) {
			c.sequence++
			heap.Push(&c.messages, &inFlight{arrivesAt: c.now.Add(d).Sub(c.startTime), seq: c.sequence, envelope: e})
		}
	}
	c.onOutput(h.name, out)
}

func prefixed(prefix, s string) string {
	if s == "" {
		return ""
	}
	return prefix + s
}

// save syncs a record. The identity of a new incarnation makes the disk undamaged.
func (d *disk) save(r quorum.Record) {
	switch r := r.(type) {
	case quorum.Identity:
		if d.identity == nil || d.identity.Incarnation != r.Incarnation {
			d.damaged = false
		}
		d.identity = &r
	case quorum.Register:
		d.registers[r.Name] = r
	case quorum.Learnt:
		d.learnt[r.Chosen.Name] = r
	}
}

// run handles all ticks and messages of the next d and advances the clock by d.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for c.step(end) {
	}
	c.now = end
}

// step handles the next tick or message before end and reports whether there
// was one.
func (c *cluster) step(end time.Time) bool {
	var ticking *simulatedHost
	at := end
	for _, name := range c.names {
		if h := c.hosts[name]; h.node != nil && h.nextTick.Before(at) {
			ticking, at = h, h.nextTick
		}
	}
	if len(c.messages) > 0 && c.messages[0].arrivesAt < at.Sub(c.startTime) {
		f := heap.Pop(&c.messages).(*inFlight)
		c.now = c.startTime.Add(f.arrivesAt)
		c.deliver(f.envelope)
		return true
	}
	if ticking == nil {
		return false
	}
	c.now = at
	ticking.nextTick = c.now.Add(quorum.TickPeriod)
	if !ticking.frozen {
		c.execute(ticking, ticking.node.Tick(c.now))
	}
	return true
}

// deliver passes a message to its receiver, or keeps it while the receiver is
// frozen. A stopped host gets none.
func (c *cluster) deliver(e quorum.Envelope) {
	h := c.hosts[e.To]
	if h.node == nil {
		return
	}
	if h.frozen {
		h.inbox = append(h.inbox, e)
		return
	}
	if !c.skipPeriodic || !periodic(e.Message) {
		c.tracef("%s -> %s %s", e.From, e.To, describe(e.Message))
	}
	c.execute(h, h.node.Receive(c.now, e))
}

// unfreeze resumes a frozen host; it first receives the messages that arrived
// meanwhile.
func (c *cluster) unfreeze(name string) {
	h := c.hosts[name]
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, e := range inbox {
		c.deliver(e)
	}
}

func (c *cluster) apply(host string, change quorum.Change) uint64 {
	h := c.hosts[host]
	c.tracef("operator -> %s apply %s base %d request %s %s", host, change.Name, change.Base, change.Request, change.Body)
	ticket, out := h.node.Apply(c.now, change)
	c.execute(h, out)
	return ticket
}

func (c *cluster) read(host, name string) uint64 {
	h := c.hosts[host]
	c.tracef("operator -> %s read %s", host, name)
	ticket, out := h.node.Read(c.now, name)
	c.execute(h, out)
	return ticket
}

func (c *cluster) tracef(format string, args ...any) {
	if c.trace == io.Discard {
		return
	}
	fmt.Fprintf(c.trace, "%8.3f ", c.now.Sub(c.startTime).Seconds())
	fmt.Fprintf(c.trace, format+"\n", args...)
}

// periodic reports whether m is a Fetch or the reply to one.
func periodic(m quorum.Message) bool {
	switch m.(type) {
	case *quorum.Fetch, *quorum.Values:
		return true
	}
	return false
}

// describe returns the line of a message in the trace.
func describe(m quorum.Message) string {
	switch m := m.(type) {
	case *quorum.Prepare:
		return fmt.Sprintf("prepare %s %s", m.Name, short(m.Ballot))
	case *quorum.Promise:
		return fmt.Sprintf("promise %s %s ok=%t holds %d by %s", m.Name, short(m.Ballot), m.OK, m.Value.Revision, short(m.Accepted))
	case *quorum.Accept:
		return fmt.Sprintf("accept %s %s revision %d", m.Value.Name, short(m.Ballot), m.Value.Revision)
	case *quorum.Accepted:
		return fmt.Sprintf("accepted %s %s ok=%t", m.Name, short(m.Ballot), m.OK)
	case *quorum.Query:
		return "query " + m.Name
	case *quorum.Answer:
		return fmt.Sprintf("answer %s holds %d by %s", m.Name, m.Value.Revision, short(m.Accepted))
	case *quorum.Learn:
		return fmt.Sprintf("learn %s revision %d", m.Value.Name, m.Value.Revision)
	case *quorum.Fetch:
		return fmt.Sprintf("fetch %d listed=%t", m.Sequence, m.Listed)
	case *quorum.Values:
		return fmt.Sprintf("values %d differ=%t: %d", m.Sequence, m.Differ, len(m.Values))
	case *quorum.Recover:
		return fmt.Sprintf("recover round %d", m.Round)
	case *quorum.Snapshot:
		return fmt.Sprintf("snapshot round %d by a %s host: %d registers", m.Round, m.Stage, len(m.Registers))
	}
	return "unknown"
}

// short formats a ballot as round, host and incarnation number, such as "3.a1".
func short(b quorum.Ballot) string {
	if b.Round == 0 {
		return "none"
	}
	return fmt.Sprintf("%d.%s%d", b.Round, b.Host, b.Incarnation.Number)
}
