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
	// view is a set of voting hosts, each with the number of its disk.
	view struct {
		epoch   uint64
		members []string // each as host/disk number
		initial quorum.Value
	}

	// viewCluster is a cluster whose voting hosts change. The disk of a host
	// holds the newest view that it knows and its votes in that view.
	viewCluster struct {
		*cluster
		views       map[string]view
		diskNumbers map[string]int
		// blocked holds the links, each from one host to another, that lose all
		// messages.
		blocked     map[[2]string]bool
		lossPercent int // share of messages lost on the other links
		// pendingOperations holds the operations without a result, by host and
		// ticket.
		pendingOperations map[string]map[uint64]viewOperation
		bodies            map[uint64]string // by bodyKey
		// bodyKey returns the number, the version by default, that tells values with
		// different bodies apart; planChange returns the change to a version.
		bodyKey       func(v quorum.Value) uint64
		planChange    func(version uint64) quorum.Change
		agreedVersion uint64            // highest version that an operator has received
		lastVersion   uint64            // highest version submitted
		successors    map[uint64]string // members of the view after each epoch
		// proposedSuccessors holds the members proposed for the view after
		// each epoch.
		proposedSuccessors map[uint64][][]string
		viewsEntered       int // views entered beyond the first
		answers            int
		fault              error
	}

	// viewOperation is an operator's change or read without a result yet.
	viewOperation struct {
		version uint64 // 0 for a read
		// minVersion is the lowest version that the result may have.
		minVersion uint64
	}
)

const (
	viewSchedules    = 1200
	viewShards       = 6
	viewClusterHosts = 8
	document         = "plan"
)

// newViewCluster returns a running cluster whose first view consists of the given
// number of hosts, the founders.
func newViewCluster(seed uint64, founders int) *viewCluster {
	f := &viewCluster{
		cluster: newCluster(viewClusterHosts, seed), views: make(map[string]view), diskNumbers: make(map[string]int),
		blocked: make(map[[2]string]bool), pendingOperations: make(map[string]map[uint64]viewOperation),
		bodies: make(map[uint64]string), successors: make(map[uint64]string),
		proposedSuccessors: make(map[uint64][][]string),
		bodyKey:            func(v quorum.Value) uint64 { return v.Version },
		planChange: func(version uint64) quorum.Change {
			return quorum.Change{Name: document, Version: version, Body: json.RawMessage(strconv.FormatUint(version, 10))}
		},
	}
	f.newNode = func(h *simulatedHost) (*quorum.Node, error) {
		v := f.views[h.name]
		return quorum.NewNode(h.name, v.hosts(), f.newProcessRNG(), quorum.WithEpoch(v.epoch))
	}
	f.delays = func(e quorum.Envelope) []time.Duration {
		if f.blocked[[2]string{e.From, e.To}] || f.rng.IntN(100) < f.lossPercent {
			return nil
		}
		return []time.Duration{time.Millisecond + time.Duration(f.rng.Int64N(int64(4*time.Millisecond)))}
	}
	f.onOutput = f.handleOutput
	f.skipPeriodic = true
	first := view{}
	for _, name := range f.names {
		f.diskNumbers[name] = 1
		if len(first.members) < founders {
			first.members = append(first.members, f.diskName(name))
		}
	}
	for _, name := range f.names {
		f.views[name] = first
		f.startInView(name)
	}
	return f
}

// founderCount returns the number of hosts in the first view of a schedule.
func founderCount(seed uint64) int { return []int{3, 3, 5}[seed%3] }

// hosts returns the names of the members' hosts, without the disk numbers.
func (v view) hosts() []string {
	var list []string
	for _, m := range v.members {
		host, _, _ := strings.Cut(m, "/")
		list = append(list, host)
	}
	return list
}

func (v view) has(host string) bool { return slices.Contains(v.hosts(), host) }

func (f *viewCluster) diskName(host string) string {
	return fmt.Sprintf("%s/%d", host, f.diskNumbers[host])
}

// failf records a violated invariant, unless one was violated before.
func (f *viewCluster) failf(format string, args ...any) {
	if f.fault == nil {
		f.fault = errors.Errorf(format, args...)
	}
}

// startInView starts the process of a host in the view on its disk, if the host
// is a member of it. A member with an empty disk starts with the first value of
// the view, if the view lists that disk.
func (f *viewCluster) startInView(host string) {
	h, v := f.hosts[host], f.views[host]
	delete(f.pendingOperations, host)
	h.node, h.frozen, h.inbox = nil, false, nil
	if !v.has(host) {
		return
	}
	if h.disk.identity == nil && v.initial.Revision > 0 && slices.Contains(v.members, f.diskName(host)) {
		saved := quorum.InitialState(v.initial, quorum.Incarnation{Number: 1, Nonce: uint64(f.diskNumbers[host])})
		h.disk.save(saved.Registers[0])
		h.disk.save(saved.Learnt[0])
		h.disk.save(*saved.Identity)
	}
	f.start(host)
}

// enterView makes v the view of a host that knows an older one. The host may
// stop before it has saved the first value.
func (f *viewCluster) enterView(host string, v view) {
	if known, ok := f.views[host]; ok && known.epoch >= v.epoch {
		return
	}
	f.tracef("%s enters view %d of %s", host, v.epoch, strings.Join(v.members, " "))
	f.views[host] = v
	f.hosts[host].disk = newDisk()
	f.viewsEntered++
	if f.lossPercent > 0 && f.rng.IntN(8) == 0 {
		f.stopHost(host)
		return
	}
	f.startInView(host)
}

func newDisk() disk {
	var h simulatedHost
	h.wipe()
	return h.disk
}

func (f *viewCluster) stopHost(host string) {
	f.stop(host)
	delete(f.pendingOperations, host)
}

// handleOutput checks the learnt values and the results in the output of a host.
func (f *viewCluster) handleOutput(host string, out quorum.Output) {
	for _, v := range out.Learnt {
		f.checkValue(host, v)
	}
	for _, r := range out.Results {
		c, ok := f.pendingOperations[host][r.Ticket]
		delete(f.pendingOperations[host], r.Ticket)
		if !ok {
			continue
		}
		var ended *quorum.ViewEndedError
		switch {
		case errors.As(r.Err, &ended):
			f.checkValue(host, ended.Last)
		case r.Err == nil:
			f.checkAnswer(host, c, r.Value)
		case errors.Is(r.Err, quorum.ErrNoMajority), errors.Is(r.Err, quorum.ErrRecovering):
		default:
			f.failf("unknown error %v", r.Err)
		}
	}
}

// checkAnswer checks that the result v of operation c is recent enough.
func (f *viewCluster) checkAnswer(host string, c viewOperation, v quorum.Value) {
	f.answers++
	if v.Version < max(c.minVersion, c.version) {
		f.failf("%s answered with version %d, want at least %d", host, v.Version, max(c.minVersion, c.version))
	}
	f.tracef("%s -> operator: version %d", host, v.Version)
	f.agreedVersion = max(f.agreedVersion, v.Version)
	f.checkValue(host, v)
}

// checkValue checks that each version has one body and each view one successor,
// and moves the host to the next view if v is the last value of its view.
func (f *viewCluster) checkValue(host string, v quorum.Value) {
	key := f.bodyKey(v)
	if first, ok := f.bodies[key]; ok && first != string(v.Body) {
		f.failf("number %d is both %s and %s", key, first, v.Body)
	}
	f.bodies[key] = string(v.Body)
	if len(v.Next) == 0 {
		return
	}
	current := f.views[host]
	next := strings.Join(v.Next, " ")
	if first, ok := f.successors[current.epoch]; ok && first != next {
		f.failf("view %d is followed by both %s and %s", current.epoch, first, next)
	}
	f.successors[current.epoch] = next
	initial := v
	initial.Next = nil
	f.enterView(host, view{epoch: current.epoch + 1, members: v.Next, initial: initial})
}

// shareView sends the view of one host to another, if they are connected.
func (f *viewCluster) shareView(from, to string) {
	v, ok := f.views[from]
	if !ok || f.hosts[from].frozen || f.hosts[to].frozen || f.blocked[[2]string{from, to}] {
		return
	}
	f.enterView(to, v)
}

func (f *viewCluster) newestView() view {
	var newest view
	for _, v := range f.views {
		if len(newest.members) == 0 || v.epoch > newest.epoch {
			newest = v
		}
	}
	return newest
}

// submit proposes a document with the given version, or reads the document if
// version is 0.
func (f *viewCluster) submit(host string, version uint64) {
	h := f.hosts[host]
	if h.node == nil || h.frozen {
		return
	}
	var (
		ticket uint64
		out    quorum.Output
	)
	c := viewOperation{version: version, minVersion: f.agreedVersion}
	if version > 0 {
		ticket, out = h.node.Apply(f.now, f.planChange(version))
	} else {
		ticket, out = h.node.Read(f.now, document)
	}
	f.trackOperation(h, ticket, c, out)
}

// endView proposes at a host that its view ends and that the members next (host
// and disk number) form the following view.
func (f *viewCluster) endView(host string, next ...string) {
	h := f.hosts[host]
	if h.node == nil || h.frozen {
		return
	}
	epoch := f.views[host].epoch
	f.proposedSuccessors[epoch] = append(f.proposedSuccessors[epoch], next)
	f.tracef("%s ends view %d for %s", host, epoch, strings.Join(next, " "))
	ticket, out := h.node.Apply(f.now, quorum.Change{Name: document, Next: next})
	f.trackOperation(h, ticket, viewOperation{}, out)
}

// trackOperation records an operation at h as pending and carries out its output.
func (f *viewCluster) trackOperation(h *simulatedHost, ticket uint64, c viewOperation, out quorum.Output) {
	if f.pendingOperations[h.name] == nil {
		f.pendingOperations[h.name] = make(map[uint64]viewOperation)
	}
	f.pendingOperations[h.name][ticket] = c
	f.execute(h, out)
}

// replaceDisk stops a host and replaces its disk with an empty one, without a
// view.
func (f *viewCluster) replaceDisk(host string) {
	f.stopHost(host)
	f.hosts[host].wipe()
	delete(f.views, host)
	f.diskNumbers[host]++
	f.tracef("%s: disk lost", host)
}

// canLoseDisk reports whether the newest view, and every proposed successor of
// it, tolerates the loss of a host's disk: without the host, a majority votes in
// the newest view, and a majority of each successor has the disks it lists.
func (f *viewCluster) canLoseDisk(host string) bool {
	newest := f.newestView()
	voting := 0
	for _, name := range newest.hosts() {
		if name != host && f.views[name].epoch == newest.epoch && f.hosts[name].voting() {
			voting++
		}
	}
	return voting >= quorum.Majority(len(newest.members)) && !slices.ContainsFunc(f.proposedSuccessors[newest.epoch], func(next []string) bool {
		intact := 0
		for _, name := range (view{members: next}).hosts() {
			if name != host && slices.Contains(next, f.diskName(name)) {
				intact++
			}
		}
		return intact < quorum.Majority(len(next))
	})
}

func (f *viewCluster) randomHost() string { return f.names[f.rng.IntN(len(f.names))] }

func (f *viewCluster) randomAction() {
	host := f.randomHost()
	switch p := f.rng.IntN(100); {
	case p < 25:
		f.lastVersion++
		f.submit(host, f.lastVersion)
	case p < 30:
		f.submit(host, max(1, f.lastVersion-uint64(f.rng.IntN(3))))
	case p < 42:
		f.submit(host, 0)
	case p < 58:
		f.shareView(host, f.randomHost())
	case p < 68:
		f.endWithRandomView(host)
	case p < 74:
		f.stopHost(host)
	case p < 80:
		f.resume(host)
	case p < 84 && f.canLoseDisk(host):
		f.replaceDisk(host)
	case p < 88:
		f.hosts[host].frozen = f.hosts[host].node != nil
	case p < 94:
		for _, other := range f.names {
			f.blocked[[2]string{host, other}] = true
			f.blocked[[2]string{other, host}] = f.rng.IntN(2) == 0
		}
	case p < 96:
		for _, name := range f.names {
			f.stopHost(name)
		}
		for _, name := range f.names {
			f.resume(name)
		}
	default:
		clear(f.blocked)
	}
}

// endWithRandomView ends the view of a host with three or five random hosts as
// the next view.
func (f *viewCluster) endWithRandomView(host string) {
	drawn := slices.Clone(f.names)
	f.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	var next []string
	for _, name := range drawn[:3+2*f.rng.IntN(2)] {
		next = append(next, f.diskName(name))
	}
	f.endView(host, slices.Sorted(slices.Values(next))...)
}

// resume starts the host if it is stopped, or ends its freeze.
func (f *viewCluster) resume(host string) {
	if f.hosts[host].node == nil {
		f.startInView(host)
	} else if f.hosts[host].frozen {
		f.unfreeze(host)
	}
}

// runAll runs random actions and returns the first violated invariant, or nil.
func (f *viewCluster) runAll() error {
	f.lossPercent = f.rng.IntN(25)
	f.run(2 * time.Second)
	for i := 0; i < actionsPerRun && f.fault == nil; i++ {
		f.randomAction()
		f.run(time.Duration(f.rng.IntN(120)) * time.Millisecond)
	}
	if f.fault == nil {
		f.healAndCheck()
	}
	return f.fault
}

// healAndCheck ends all faults and checks that all hosts are in the newest view,
// and that its members vote and read the document.
func (f *viewCluster) healAndCheck() {
	f.lossPercent = 0
	clear(f.blocked)
	for _, name := range f.names {
		f.resume(name)
	}
	for range 8 { // Each pass may find that a view had ended before any host learnt it.
		for _, from := range f.names {
			for _, to := range f.names {
				f.shareView(from, to)
			}
		}
		f.run(4 * time.Second)
	}
	newest := f.newestView()
	for _, name := range f.names {
		if f.views[name].epoch != newest.epoch {
			f.failf("%s is in view %d, the newest is %d", name, f.views[name].epoch, newest.epoch)
		}
	}
	for _, name := range newest.hosts() {
		if f.hosts[name].node == nil || !f.hosts[name].node.Status(f.now).Voting {
			f.failf("%s does not vote in view %d after all faults have ended", name, newest.epoch)
			continue
		}
		before := f.answers
		f.submit(name, 0)
		f.run(2 * time.Second)
		if f.answers == before {
			f.failf("%s can not read after all faults have ended", name)
		}
	}
}

// TestViewsUnderRandomFaults runs seeded schedules in which the voting hosts
// change while hosts stop, lose their disks, freeze, are partitioned and receive
// views late. If SPOOL_VIEW_SEED is set, it runs that seed only and prints the
// trace.
func TestViewsUnderRandomFaults(t *testing.T) {
	if text := os.Getenv("SPOOL_VIEW_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		f := newViewCluster(seed, founderCount(seed))
		f.trace = os.Stdout
		if err = f.runAll(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		return
	}
	for shard := range viewShards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			answers, changes := 0, 0
			for seed := uint64(shard); seed < viewSchedules; seed += viewShards {
				f := newViewCluster(seed, founderCount(seed))
				if err := f.runAll(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				answers += f.answers
				changes += f.viewsEntered
			}
			if want := viewSchedules / viewShards; answers < want || changes < want {
				t.Fatalf("only %d calls were answered and %d views entered, want at least one each per schedule", answers, changes)
			}
			t.Logf("%d calls answered, %d views entered", answers, changes)
		})
	}
}

// newScripted returns a cluster with three voting hosts, a to c, that holds
// version 1 of the document and records its trace. The returned function checks
// that no invariant was violated and compares the trace with the golden file of
// the test.
func newScripted(t *testing.T) (*viewCluster, *gomega.WithT, func()) {
	var trace bytes.Buffer
	f := newViewCluster(1, 3)
	f.run(settleTime)
	f.trace = &trace
	f.lastVersion = 1
	f.submit("a", 1)
	f.run(settleTime)
	g := gomega.NewWithT(t)
	g.Expect(f.agreedVersion).To(gomega.BeEquivalentTo(1))
	return f, g, func() {
		t.Helper()
		g.Expect(f.fault).NotTo(gomega.HaveOccurred())
		golden.Compare(t, t.Name(), trace.String())
	}
}

// isolate blocks all links of a host in both directions.
func (f *viewCluster) isolate(host string) {
	for _, other := range f.names {
		f.blocked[[2]string{host, other}], f.blocked[[2]string{other, host}] = true, true
	}
}

// A new host replaces a lost one in the next view and holds the values that were
// chosen before.
func TestViewReplacesLostHost(t *testing.T) {
	f, g, golden := newScripted(t)
	f.stopHost("c")
	f.endView("a", "a/1", "b/1", "d/1")
	f.run(settleTime)
	f.shareView("a", "d")
	f.run(settleTime)
	f.stopHost("b")
	f.submit("d", 0)
	f.run(settleTime)
	g.Expect(f.answers).To(gomega.Equal(2))
	golden()
}

// The host that ends a view stops before it sends a Learn. A host that was
// partitioned meanwhile must not continue the ended view.
func TestViewEndedBeforeLearnStaysEnded(t *testing.T) {
	f, g, golden := newScripted(t)
	f.isolate("c")
	f.endView("a", "b/1", "d/1", "e/1")
	for len(f.hosts["b"].disk.registers[document].Value.Next) == 0 {
		f.run(time.Millisecond) // Shorter than any message takes.
	}
	f.stopHost("a")
	f.run(settleTime)
	clear(f.blocked)
	f.lastVersion = 2
	f.submit("c", 2)
	f.run(settleTime)
	f.shareView("b", "d")
	f.shareView("b", "e")
	f.run(settleTime)
	g.Expect(f.newestView().epoch).To(gomega.BeEquivalentTo(1))
	f.submit("e", 2)
	f.run(settleTime)
	g.Expect(f.agreedVersion).To(gomega.BeEquivalentTo(2))
	golden()
}

// A member loses its disk after its view was chosen. It has promised nothing in
// the view, but must recover as if it had.
func TestViewMemberWithNewDiskRecovers(t *testing.T) {
	f, g, golden := newScripted(t)
	f.endView("a", "a/1", "b/1", "d/1")
	f.run(settleTime)
	f.replaceDisk("d")
	f.shareView("a", "d")
	f.run(settleTime)
	g.Expect(f.hosts["d"].node.Status(f.now).Voting).To(gomega.BeTrue())
	f.stopHost("a")
	f.submit("d", 0)
	f.run(settleTime)
	g.Expect(f.agreedVersion).To(gomega.BeEquivalentTo(1))
	golden()
}

// All hosts are killed at once while a view ends. The acknowledged version must
// be readable from the views on their disks.
func TestViewChangeSurvivesKillOfAllHosts(t *testing.T) {
	f, g, golden := newScripted(t)
	f.endView("a", "c/1", "d/1", "e/1")
	for len(f.hosts["c"].disk.registers[document].Value.Next) == 0 {
		f.run(time.Millisecond)
	}
	for _, name := range f.names {
		f.stopHost(name)
	}
	for _, name := range f.names {
		f.startInView(name)
	}
	f.run(settleTime)
	f.shareView("c", "d")
	f.shareView("c", "e")
	f.run(settleTime)
	f.submit("d", 0)
	f.run(settleTime)
	g.Expect(f.agreedVersion).To(gomega.BeEquivalentTo(1))
	g.Expect(f.answers).To(gomega.Equal(2))
	golden()
}

// Two hosts end the same view with different successors: exactly one is chosen.
func TestViewHasOneSuccessor(t *testing.T) {
	f, g, golden := newScripted(t)
	f.endView("a", "a/1", "b/1", "d/1")
	f.endView("b", "b/1", "c/1", "e/1")
	f.run(settleTime)
	g.Expect(f.successors).To(gomega.HaveLen(1))
	golden()
}
