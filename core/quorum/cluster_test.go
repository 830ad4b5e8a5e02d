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
	// cluster runs nodes on a fake clock over a scripted network and disks.
	cluster struct {
		now     time.Time
		begin   time.Time
		rng     *rand.Rand
		names   []string
		hosts   map[string]*member
		wire    wire
		flights uint64
		// delay returns when copies of a message arrive; none is a loss.
		delay func(e quorum.Envelope) []time.Duration
		// create returns the node of a starting host.
		create func(m *member) (*quorum.Node, error)
		// on takes in what a host hands out.
		on    func(host string, out quorum.Output)
		trace io.Writer
		// quiet leaves the periodic fetches out of the trace.
		quiet bool
	}

	// member is one control host with its disk.
	member struct {
		name    string
		node    *quorum.Node
		disk    disk
		tick    time.Time
		frozen  bool
		inbox   []quorum.Envelope // what has arrived while frozen
		crashAt int               // number of saves after which the next step crashes; -1 never
	}

	disk struct {
		identity  *quorum.Identity
		registers map[string]quorum.Register
		learnt    map[string]quorum.Learnt
		damaged   bool
	}

	flight struct {
		due time.Duration
		seq uint64
		env quorum.Envelope
	}

	// wire is a heap of messages by arrival.
	wire []*flight
)

func (w wire) Len() int      { return len(w) }
func (w wire) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w *wire) Push(x any)   { *w = append(*w, x.(*flight)) }

func (w wire) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(w[i].due, w[j].due), cmp.Compare(w[i].seq, w[j].seq)) < 0
}

func (w *wire) Pop() any {
	last := (*w)[len(*w)-1]
	(*w)[len(*w)-1] = nil
	*w = (*w)[:len(*w)-1]
	return last
}

func newCluster(n int, seed uint64) *cluster {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &cluster{
		now: begin, begin: begin, rng: rand.New(rand.NewPCG(seed, 1)), hosts: make(map[string]*member), trace: io.Discard,
		delay: func(quorum.Envelope) []time.Duration { return []time.Duration{time.Millisecond} },
		on:    func(string, quorum.Output) {},
	}
	c.create = func(m *member) (*quorum.Node, error) { return quorum.NewNode(m.name, c.names, c.lifeRNG()) }
	for i := range n {
		name := string(rune('a' + i))
		c.names = append(c.names, name)
		c.hosts[name] = &member{name: name, crashAt: -1}
		c.hosts[name].wipe()
	}
	return c
}

func (m *member) wipe() {
	m.disk = disk{registers: make(map[string]quorum.Register), learnt: make(map[string]quorum.Learnt)}
}

// damage breaks the file of one register, or else that of the identity.
func (m *member) damage() {
	m.disk.damaged = true
	for _, name := range slices.Sorted(maps.Keys(m.disk.registers)) {
		delete(m.disk.registers, name)
		return
	}
	m.disk.identity = nil
}

func (m *member) copyDisk() disk {
	return disk{identity: m.disk.identity, registers: maps.Clone(m.disk.registers), learnt: maps.Clone(m.disk.learnt)}
}

func (m *member) voting() bool {
	return m.disk.identity != nil && m.disk.identity.Stage == quorum.StageVoting && !m.disk.damaged
}

// lifeRNG returns the randomness of one life of a host.
func (c *cluster) lifeRNG() *rand.Rand {
	return rand.New(rand.NewPCG(c.rng.Uint64(), 2))
}

// start begins a new process of the host on its disk.
func (c *cluster) start(name string) {
	m := c.hosts[name]
	node, err := c.create(m)
	if err != nil {
		panic(err)
	}
	m.node, m.frozen, m.inbox, m.crashAt, m.tick = node, false, nil, -1, c.now
	saved := quorum.Saved{Identity: m.disk.identity, Damaged: m.disk.damaged}
	for _, r := range m.disk.registers {
		saved.Registers = append(saved.Registers, r)
	}
	for _, l := range m.disk.learnt {
		saved.Learnt = append(saved.Learnt, l)
	}
	c.tracef("%s starts", name)
	c.carry(m, node.Start(c.now, saved))
}

// stop ends the process of the host.
func (c *cluster) stop(name string) {
	c.hosts[name].node = nil
	c.tracef("%s stops", name)
}

// carry does what a step asks for. A host set to crash loses the saves that
// were not synced yet and sends nothing.
func (c *cluster) carry(m *member, out quorum.Output) {
	for i, r := range out.Saves {
		if m.crashAt == i {
			break
		}
		m.disk.save(r)
	}
	if m.crashAt >= 0 && len(out.Saves) > 0 {
		m.node, m.crashAt = nil, -1
		c.tracef("%s crashes in a step", m.name)
		return
	}
	for _, e := range out.Events {
		c.tracef("%s: %s%s%s%s", m.name, e.Kind, prefixed(" host=", e.Host), prefixed(" name=", e.Name), prefixed(" ", e.Detail))
	}
	for _, v := range out.Learnt {
		c.tracef("%s learns %s revision %d %s", m.name, v.Name, v.Revision, v.Body)
	}
	for _, e := range out.Sends {
		for _, d := range c.delay(e) {
			c.flights++
			heap.Push(&c.wire, &flight{due: c.now.Add(d).Sub(c.begin), seq: c.flights, env: e})
		}
	}
	c.on(m.name, out)
}

func prefixed(prefix, s string) string {
	if s == "" {
		return ""
	}
	return prefix + s
}

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

// run lets time pass for d.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for c.step(end) {
	}
	c.now = end
}

// step handles the next tick or message before end.
func (c *cluster) step(end time.Time) bool {
	var ticking *member
	at := end
	for _, name := range c.names {
		if m := c.hosts[name]; m.node != nil && m.tick.Before(at) {
			ticking, at = m, m.tick
		}
	}
	if len(c.wire) > 0 && c.wire[0].due < at.Sub(c.begin) {
		f := heap.Pop(&c.wire).(*flight)
		c.now = c.begin.Add(f.due)
		c.arrive(f.env)
		return true
	}
	if ticking == nil {
		return false
	}
	c.now = at
	ticking.tick = c.now.Add(quorum.TickPeriod)
	if !ticking.frozen {
		c.carry(ticking, ticking.node.Tick(c.now))
	}
	return true
}

func (c *cluster) arrive(e quorum.Envelope) {
	m := c.hosts[e.To]
	if m.node == nil {
		return
	}
	if m.frozen {
		m.inbox = append(m.inbox, e)
		return
	}
	if !c.quiet || !periodic(e.Message) {
		c.tracef("%s -> %s %s", e.From, e.To, describe(e.Message))
	}
	c.carry(m, m.node.Receive(c.now, e))
}

// thaw lets a frozen host go on; what lay in its sockets comes in first.
func (c *cluster) thaw(name string) {
	m := c.hosts[name]
	m.frozen = false
	inbox := m.inbox
	m.inbox = nil
	for _, e := range inbox {
		c.arrive(e)
	}
}

func (c *cluster) apply(host string, change quorum.Change) uint64 {
	m := c.hosts[host]
	c.tracef("operator -> %s apply %s base %d request %s %s", host, change.Name, change.Base, change.Request, change.Body)
	ticket, out := m.node.Apply(c.now, change)
	c.carry(m, out)
	return ticket
}

func (c *cluster) read(host, name string) uint64 {
	m := c.hosts[host]
	c.tracef("operator -> %s read %s", host, name)
	ticket, out := m.node.Read(c.now, name)
	c.carry(m, out)
	return ticket
}

func (c *cluster) tracef(format string, args ...any) {
	if c.trace == io.Discard {
		return
	}
	fmt.Fprintf(c.trace, "%8.3f ", c.now.Sub(c.begin).Seconds())
	fmt.Fprintf(c.trace, format+"\n", args...)
}

func periodic(m quorum.Message) bool {
	switch m.(type) {
	case *quorum.Fetch, *quorum.Values:
		return true
	}
	return false
}

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

func short(b quorum.Ballot) string {
	if b.Round == 0 {
		return "none"
	}
	return fmt.Sprintf("%d.%s%d", b.Round, b.Host, b.Incarnation.Number)
}
