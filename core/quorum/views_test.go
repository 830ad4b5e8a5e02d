package quorum_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/internal/golden"
)

type (
	// view is a set of voting hosts, each with the disk that it votes with.
	view struct {
		epoch   uint64
		members []string // As host/disk.
		initial quorum.Value
	}

	// fleet is a cluster whose voting hosts change. A host keeps the newest
	// view that it knows on its disk, next to its votes in it.
	fleet struct {
		*cluster
		views map[string]view
		disks map[string]int
		cut   map[[2]string]bool
		loss  int // percent
		// waiting holds the calls that a process owes an answer, by ticket.
		waiting map[string]map[uint64]call
		bodies  map[uint64]string // By version.
		floor   uint64            // The highest version known to be agreed.
		version uint64            // The highest version sent.
		ends    map[uint64]string // The members that follow each epoch.
		// asked holds the successors that were proposed for each epoch.
		asked   map[uint64][][]string
		changes int // Views entered beyond the first.
		answers int
		fault   error
	}

	call struct {
		version uint64 // 0 for a read.
		floor   uint64
	}
)

const (
	viewSchedules = 1200
	viewShards    = 6
	fleetHosts    = 8
	document      = "plan"
)

func newFleet(seed uint64, founders int) *fleet {
	f := &fleet{
		cluster: newCluster(fleetHosts, seed), views: make(map[string]view), disks: make(map[string]int),
		cut: make(map[[2]string]bool), waiting: make(map[string]map[uint64]call),
		bodies: make(map[uint64]string), ends: make(map[uint64]string),
		asked: make(map[uint64][][]string),
	}
	f.create = func(m *member) (*quorum.Node, error) {
		v := f.views[m.name]
		return quorum.NewNode(m.name, v.hosts(), f.lifeRNG(), quorum.WithEpoch(v.epoch))
	}
	f.delay = func(e quorum.Envelope) []time.Duration {
		if f.cut[[2]string{e.From, e.To}] || f.rng.IntN(100) < f.loss {
			return nil
		}
		return []time.Duration{time.Millisecond + time.Duration(f.rng.Int64N(int64(4*time.Millisecond)))}
	}
	f.on = f.take
	f.quiet = true
	first := view{}
	for _, name := range f.names {
		f.disks[name] = 1
		if len(first.members) < founders {
			first.members = append(first.members, f.named(name))
		}
	}
	for _, name := range f.names {
		f.views[name] = first
		f.begin(name)
	}
	return f
}

func founders(seed uint64) int { return []int{3, 3, 5}[seed%3] }

func (v view) hosts() []string {
	var list []string
	for _, m := range v.members {
		host, _, _ := strings.Cut(m, "/")
		list = append(list, host)
	}
	return list
}

func (v view) has(host string) bool { return slices.Contains(v.hosts(), host) }

func (f *fleet) named(host string) string { return fmt.Sprintf("%s/%d", host, f.disks[host]) }

func (f *fleet) failf(format string, args ...any) {
	if f.fault == nil {
		f.fault = errors.Errorf(format, args...)
	}
}

// begin starts the process of a host in the view on its disk. A member that
// holds no votes takes over the first value of the view, if its disk is the
// one that the view names.
func (f *fleet) begin(host string) {
	m, v := f.hosts[host], f.views[host]
	delete(f.waiting, host)
	m.node, m.frozen, m.inbox = nil, false, nil
	if !v.has(host) {
		return
	}
	if m.disk.identity == nil && v.initial.Revision > 0 && slices.Contains(v.members, f.named(host)) {
		saved := quorum.Inherit(v.initial, quorum.Incarnation{Number: 1, Nonce: uint64(f.disks[host])})
		m.disk.save(saved.Registers[0])
		m.disk.save(saved.Learnt[0])
		m.disk.save(*saved.Identity)
	}
	f.start(host)
}

// adopt makes v the view of a host that knows an older one. The host may stop
// before it has taken over the first value.
func (f *fleet) adopt(host string, v view) {
	if known, ok := f.views[host]; ok && known.epoch >= v.epoch {
		return
	}
	f.tracef("%s enters view %d of %s", host, v.epoch, strings.Join(v.members, " "))
	f.views[host] = v
	f.hosts[host].disk = newDisk()
	f.changes++
	if f.loss > 0 && f.rng.IntN(8) == 0 {
		f.halt(host)
		return
	}
	f.begin(host)
}

func newDisk() disk {
	var m member
	m.wipe()
	return m.disk
}

func (f *fleet) halt(host string) {
	f.stop(host)
	delete(f.waiting, host)
}

func (f *fleet) take(host string, out quorum.Output) {
	for _, v := range out.Learnt {
		f.see(host, v)
	}
	for _, r := range out.Results {
		c, ok := f.waiting[host][r.Ticket]
		delete(f.waiting[host], r.Ticket)
		if !ok {
			continue
		}
		var sealed *quorum.SealedError
		switch {
		case errors.As(r.Err, &sealed):
			f.see(host, sealed.Last)
		case r.Err == nil:
			f.answered(host, c, r.Value)
		case errors.Is(r.Err, quorum.ErrNoMajority), errors.Is(r.Err, quorum.ErrRecovering):
		default:
			f.failf("unknown error %v", r.Err)
		}
	}
}

func (f *fleet) answered(host string, c call, v quorum.Value) {
	f.answers++
	if v.Version < max(c.floor, c.version) {
		f.failf("%s answered with version %d after %d had been agreed", host, v.Version, max(c.floor, c.version))
	}
	f.tracef("%s -> operator: version %d", host, v.Version)
	f.floor = max(f.floor, v.Version)
	f.see(host, v)
}

// see checks that a version has one body and a view one successor, and moves
// the host on when its view has ended.
func (f *fleet) see(host string, v quorum.Value) {
	if first, ok := f.bodies[v.Version]; ok && first != string(v.Body) {
		f.failf("version %d is both %s and %s", v.Version, first, v.Body)
	}
	f.bodies[v.Version] = string(v.Body)
	if len(v.Next) == 0 {
		return
	}
	present := f.views[host]
	next := strings.Join(v.Next, " ")
	if first, ok := f.ends[present.epoch]; ok && first != next {
		f.failf("view %d is followed by both %s and %s", present.epoch, first, next)
	}
	f.ends[present.epoch] = next
	initial := v
	initial.Next = nil
	f.adopt(host, view{epoch: present.epoch + 1, members: v.Next, initial: initial})
}

// tell hands the view that one host knows to another that it reaches.
func (f *fleet) tell(from, to string) {
	v, ok := f.views[from]
	if !ok || f.hosts[from].frozen || f.hosts[to].frozen || f.cut[[2]string{from, to}] {
		return
	}
	f.adopt(to, v)
}

func (f *fleet) newest() view {
	var top view
	for _, v := range f.views {
		if len(top.members) == 0 || v.epoch > top.epoch {
			top = v
		}
	}
	return top
}

// change sends a configuration of the given version, or reads with version 0.
func (f *fleet) change(host string, version uint64) {
	m := f.hosts[host]
	if m.node == nil || m.frozen {
		return
	}
	var (
		ticket uint64
		out    quorum.Output
	)
	c := call{version: version, floor: f.floor}
	if version > 0 {
		body := json.RawMessage(strconv.FormatUint(version, 10))
		ticket, out = m.node.Apply(f.now, quorum.Change{Name: document, Version: version, Body: body})
	} else {
		ticket, out = m.node.Read(f.now, document)
	}
	f.expect(m, ticket, c, out)
}

// end ends the view of a host: the hosts of next go on from it.
func (f *fleet) end(host string, next ...string) {
	m := f.hosts[host]
	if m.node == nil || m.frozen {
		return
	}
	epoch := f.views[host].epoch
	f.asked[epoch] = append(f.asked[epoch], next)
	f.tracef("%s ends view %d for %s", host, epoch, strings.Join(next, " "))
	ticket, out := m.node.Apply(f.now, quorum.Change{Name: document, Next: next})
	f.expect(m, ticket, call{}, out)
}

func (f *fleet) expect(m *member, ticket uint64, c call, out quorum.Output) {
	if f.waiting[m.name] == nil {
		f.waiting[m.name] = make(map[uint64]call)
	}
	f.waiting[m.name][ticket] = c
	f.carry(m, out)
}

// empty replaces the disk of a host, which forgets its view as well.
func (f *fleet) empty(host string) {
	f.halt(host)
	f.hosts[host].wipe()
	delete(f.views, host)
	f.disks[host]++
	f.tracef("%s: disk lost", host)
}

// canLose reports whether the newest view, and each that may follow it
// unnoticed, bears the loss of a host's disk: a majority of the others votes in
// the one and holds the disks that the others name.
func (f *fleet) canLose(host string) bool {
	top := f.newest()
	voting := 0
	for _, name := range top.hosts() {
		if name != host && f.views[name].epoch == top.epoch && f.hosts[name].voting() {
			voting++
		}
	}
	return voting >= quorum.Majority(len(top.members)) && !slices.ContainsFunc(f.asked[top.epoch], func(next []string) bool {
		held := 0
		for _, name := range (view{members: next}).hosts() {
			if name != host && slices.Contains(next, f.named(name)) {
				held++
			}
		}
		return held < quorum.Majority(len(next))
	})
}

func (f *fleet) any() string { return f.names[f.rng.IntN(len(f.names))] }

func (f *fleet) beat() {
	host := f.any()
	switch p := f.rng.IntN(100); {
	case p < 25:
		f.version++
		f.change(host, f.version)
	case p < 30:
		f.change(host, max(1, f.version-uint64(f.rng.IntN(3))))
	case p < 42:
		f.change(host, 0)
	case p < 58:
		f.tell(host, f.any())
	case p < 68:
		f.propose(host)
	case p < 74:
		f.halt(host)
	case p < 80:
		f.revive(host)
	case p < 84 && f.canLose(host):
		f.empty(host)
	case p < 88:
		f.hosts[host].frozen = f.hosts[host].node != nil
	case p < 94:
		for _, other := range f.names {
			f.cut[[2]string{host, other}] = true
			f.cut[[2]string{other, host}] = f.rng.IntN(2) == 0
		}
	case p < 96:
		for _, name := range f.names {
			f.halt(name)
		}
		for _, name := range f.names {
			f.revive(name)
		}
	default:
		clear(f.cut)
	}
}

// propose ends the view of a host for three or five hosts, drawn at random.
func (f *fleet) propose(host string) {
	drawn := slices.Clone(f.names)
	f.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	var next []string
	for _, name := range drawn[:3+2*f.rng.IntN(2)] {
		next = append(next, f.named(name))
	}
	f.end(host, slices.Sorted(slices.Values(next))...)
}

func (f *fleet) revive(host string) {
	if f.hosts[host].node == nil {
		f.begin(host)
	} else if f.hosts[host].frozen {
		f.thaw(host)
	}
}

func (f *fleet) play() error {
	f.loss = f.rng.IntN(25)
	f.run(2 * time.Second)
	for i := 0; i < beats && f.fault == nil; i++ {
		f.beat()
		f.run(time.Duration(f.rng.IntN(120)) * time.Millisecond)
	}
	if f.fault == nil {
		f.heal()
	}
	return f.fault
}

// heal ends all faults and checks that all hosts agree on the view, and its
// members on the document.
func (f *fleet) heal() {
	f.loss = 0
	clear(f.cut)
	for _, name := range f.names {
		f.revive(name)
	}
	for range 8 { // A view that had ended unnoticed is learnt on the way.
		for _, from := range f.names {
			for _, to := range f.names {
				f.tell(from, to)
			}
		}
		f.run(4 * time.Second)
	}
	top := f.newest()
	for _, name := range f.names {
		if f.views[name].epoch != top.epoch {
			f.failf("%s is in view %d, the newest is %d", name, f.views[name].epoch, top.epoch)
		}
	}
	for _, name := range top.hosts() {
		if f.hosts[name].node == nil || !f.hosts[name].node.Status(f.now).Voting {
			f.failf("%s does not vote in view %d after all faults have ended", name, top.epoch)
			continue
		}
		before := f.answers
		f.change(name, 0)
		f.run(2 * time.Second)
		if f.answers == before {
			f.failf("%s can not read after all faults have ended", name)
		}
	}
}

// TestViewsUnderRandomFaults runs seeded schedules in which the voting hosts
// change while others stop, lose their disks, freeze, are cut off and learn of
// views late. SPOOL_VIEW_SEED runs one seed and prints its trace.
func TestViewsUnderRandomFaults(t *testing.T) {
	if one := os.Getenv("SPOOL_VIEW_SEED"); one != "" {
		seed, err := strconv.ParseUint(one, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		f := newFleet(seed, founders(seed))
		f.trace = os.Stdout
		if err = f.play(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		return
	}
	for shard := range viewShards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			answers, changes := 0, 0
			for seed := uint64(shard); seed < viewSchedules; seed += viewShards {
				f := newFleet(seed, founders(seed))
				if err := f.play(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				answers += f.answers
				changes += f.changes
			}
			if least := viewSchedules / viewShards; answers < least || changes < least {
				t.Fatalf("only %d calls were answered and %d views entered; the runs show too little", answers, changes)
			}
			t.Logf("%d calls answered, %d views entered", answers, changes)
		})
	}
}

// scripted returns a fleet of three voting hosts, a to c, that holds version 1
// and writes its trace.
func scripted(t *testing.T) (*fleet, *gomega.WithT, func()) {
	var trace bytes.Buffer
	f := newFleet(1, 3)
	f.run(settle)
	f.trace = &trace
	f.version = 1
	f.change("a", 1)
	f.run(settle)
	g := gomega.NewWithT(t)
	g.Expect(f.floor).To(gomega.BeEquivalentTo(1))
	return f, g, func() {
		t.Helper()
		g.Expect(f.fault).NotTo(gomega.HaveOccurred())
		golden.Compare(t, t.Name(), trace.String())
	}
}

func (f *fleet) isolate(host string) {
	for _, other := range f.names {
		f.cut[[2]string{host, other}], f.cut[[2]string{other, host}] = true, true
	}
}

// A host that was replaced at another address takes a lost one's place, and
// holds what was agreed before it came.
func TestViewReplacesALostHost(t *testing.T) {
	f, g, golden := scripted(t)
	f.halt("c")
	f.end("a", "a/1", "b/1", "d/1")
	f.run(settle)
	f.tell("a", "d")
	f.run(settle)
	f.halt("b")
	f.change("d", 0)
	f.run(settle)
	g.Expect(f.answers).To(gomega.Equal(2))
	golden()
}

// The host that ends a view stops before it tells anybody. One that was cut
// off meanwhile can not bring the ended view back.
func TestViewEndedUnnoticedIsNotRevived(t *testing.T) {
	f, g, golden := scripted(t)
	f.isolate("c")
	f.end("a", "b/1", "d/1", "e/1")
	for len(f.hosts["b"].disk.registers[document].Value.Next) == 0 {
		f.run(time.Millisecond) // Shorter than any message takes.
	}
	f.halt("a")
	f.run(settle)
	clear(f.cut)
	f.version = 2
	f.change("c", 2)
	f.run(settle)
	f.tell("b", "d")
	f.tell("b", "e")
	f.run(settle)
	g.Expect(f.newest().epoch).To(gomega.BeEquivalentTo(1))
	f.change("e", 2)
	f.run(settle)
	g.Expect(f.floor).To(gomega.BeEquivalentTo(2))
	golden()
}

// A member whose disk is lost after the view was agreed has promised nothing
// in it, but recovers as if it had.
func TestViewMemberWithAnotherDiskRecovers(t *testing.T) {
	f, g, golden := scripted(t)
	f.end("a", "a/1", "b/1", "d/1")
	f.run(settle)
	f.empty("d")
	f.tell("a", "d")
	f.run(settle)
	g.Expect(f.hosts["d"].node.Status(f.now).Voting).To(gomega.BeTrue())
	f.halt("a")
	f.change("d", 0)
	f.run(settle)
	g.Expect(f.floor).To(gomega.BeEquivalentTo(1))
	golden()
}

// All hosts are killed at once while a view ends; what was acknowledged is
// read back from whichever view they find on their disks.
func TestViewChangeSurvivesKillOfAll(t *testing.T) {
	f, g, golden := scripted(t)
	f.end("a", "c/1", "d/1", "e/1")
	for len(f.hosts["c"].disk.registers[document].Value.Next) == 0 {
		f.run(time.Millisecond)
	}
	for _, name := range f.names {
		f.halt(name)
	}
	for _, name := range f.names {
		f.begin(name)
	}
	f.run(settle)
	f.tell("c", "d")
	f.tell("c", "e")
	f.run(settle)
	f.change("d", 0)
	f.run(settle)
	g.Expect(f.floor).To(gomega.BeEquivalentTo(1))
	g.Expect(f.answers).To(gomega.Equal(2))
	golden()
}

// Two hosts end one view for different successors: one of them wins.
func TestViewHasOneSuccessor(t *testing.T) {
	f, g, golden := scripted(t)
	f.end("a", "a/1", "b/1", "d/1")
	f.end("b", "b/1", "c/1", "e/1")
	f.run(settle)
	g.Expect(f.ends).To(gomega.HaveLen(1))
	golden()
}
