package quorum_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
)

type (
	// checker checks the invariants on the outputs of all hosts.
	checker struct {
		// creators holds the request that created each revision, by document.
		creators map[string]map[uint64]string
		// bodies holds the body of each revision, by document.
		bodies map[string]map[uint64]string
		// accepted holds the first accepted revision of each request.
		accepted map[string]uint64
		// agreed is the highest revision that an operator has received, by
		// document.
		agreed map[string]uint64
		// learnt holds the newest learnt revision, by host and document.
		learnt map[string]map[string]uint64
		// pending holds the calls without a result, by host and ticket.
		pending map[string]map[uint64]operation
		// answers counts the results other than ErrNoMajority and
		// ErrRecovering.
		answers int
		// fault is the first violated invariant.
		fault error
	}

	// operation is an operator's call without a result yet.
	operation struct {
		change quorum.Change
		read   bool
		// minRevision is the lowest revision that the result may have.
		minRevision uint64
	}

	// schedule is one run of random calls and faults from a seed.
	schedule struct {
		*cluster
		*checker
		// blocked holds the links, each from one host to another, that lose all
		// messages.
		blocked          map[[2]string]bool
		lossPercent      int // share of messages lost on the other links
		duplicatePercent int // share of messages that arrive twice
		slowPercent      int // share of messages with a long delay
		diskLossWeight   int // chance of a disk loss per action, in percent
		// oneVoterEnough lets a host lose its disk while only one other host
		// votes. healAndCheck is then not run.
		oneVoterEnough bool
		requests       []quorum.Change // the changes submitted so far
	}
)

const (
	safetySchedules = 2400
	safetyShards    = 8
	actionsPerRun   = 110
)

func newChecker() *checker {
	return &checker{
		creators: make(map[string]map[uint64]string), bodies: make(map[string]map[uint64]string),
		accepted: make(map[string]uint64), agreed: make(map[string]uint64),
		learnt: make(map[string]map[string]uint64), pending: make(map[string]map[uint64]operation),
	}
}

// failf records a violated invariant, unless one was violated before.
func (c *checker) failf(format string, args ...any) {
	if c.fault == nil {
		c.fault = errors.Errorf(format, args...)
	}
}

// checkValue checks that every revision has one body and one creating request,
// the same as in all values seen before.
func (c *checker) checkValue(v quorum.Value) {
	if v.Revision == 0 {
		return
	}
	if c.bodies[v.Name] == nil {
		c.bodies[v.Name], c.creators[v.Name] = make(map[uint64]string), make(map[uint64]string)
	}
	body := fmt.Sprintf("%t %s", v.Deleted, v.Body)
	if first, ok := c.bodies[v.Name][v.Revision]; ok && first != body {
		c.failf("revision %d of %s is both %s and %s", v.Revision, v.Name, first, body)
	}
	c.bodies[v.Name][v.Revision] = body
	for _, r := range v.Requests {
		if first, ok := c.creators[v.Name][r.Revision]; ok && first != r.ID {
			c.failf("revision %d of %s was created by both %s and %s", r.Revision, v.Name, first, r.ID)
		}
		c.creators[v.Name][r.Revision] = r.ID
	}
}

// checkOutput checks that the learnt revisions of a host only increase, and passes
// each result, with the operation of its ticket, to checkResult.
func (c *checker) checkOutput(host string, out quorum.Output) {
	for _, v := range out.Learnt {
		c.checkValue(v)
		if c.learnt[host] == nil {
			c.learnt[host] = make(map[string]uint64)
		}
		if v.Revision <= c.learnt[host][v.Name] {
			c.failf("%s went back to revision %d of %s from %d", host, v.Revision, v.Name, c.learnt[host][v.Name])
		}
		c.learnt[host][v.Name] = v.Revision
	}
	for _, r := range out.Results {
		op := c.pending[host][r.Ticket]
		delete(c.pending[host], r.Ticket)
		c.checkResult(op, r)
	}
}

// checkResult checks the result of a call. ErrNoMajority and ErrRecovering are always
// allowed.
func (c *checker) checkResult(op operation, r quorum.Result) {
	var (
		conflict *quorum.ConflictError
		reused   *quorum.RequestReusedError
		name     = op.change.Name
	)
	if errors.Is(r.Err, quorum.ErrNoMajority) || errors.Is(r.Err, quorum.ErrRecovering) {
		return
	}
	c.answers++
	c.checkValue(r.Value)
	if r.Value.Revision < op.minRevision {
		c.failf("%s was read at revision %d after revision %d was chosen", name, r.Value.Revision, op.minRevision)
	}
	c.agreed[name] = max(c.agreed[name], r.Value.Revision)
	switch {
	case op.read:
	case r.Err == nil:
		c.checkAccepted(op, r)
	case errors.As(r.Err, &conflict):
		if conflict.Current.Revision == op.change.Base {
			c.failf("a change to revision %d of %s conflicts with that revision", op.change.Base, name)
		}
	case errors.As(r.Err, &reused):
		if reused.First.Digest == op.change.Digest() {
			c.failf("request %s was rejected as reused on its own retry", op.change.Request)
		}
	default:
		c.failf("unknown error %v", r.Err)
	}
}

// checkAccepted checks that an accepted change has one revision, the one after its
// base, in all results of its request, and the body of the request.
func (c *checker) checkAccepted(op operation, r quorum.Result) {
	id := op.change.Name + "/" + op.change.Request // A request ID is unique per document.
	if first, ok := c.accepted[id]; ok && first != r.Request.Revision {
		c.failf("request %s was answered with revision %d and %d", id, first, r.Request.Revision)
	}
	c.accepted[id] = r.Request.Revision
	if r.Request.Revision != op.change.Base+1 {
		c.failf("a change to revision %d was accepted as %d", op.change.Base, r.Request.Revision)
	}
	if r.Request.Digest != op.change.Digest() {
		c.failf("request %s was accepted with another body", op.change.Request)
	}
}

// newSchedule returns a schedule whose number of hosts and rates of faults follow
// from seed.
func newSchedule(seed uint64) *schedule {
	sizes := []int{3, 3, 3, 4, 5, 5, 2}
	s := &schedule{cluster: newCluster(sizes[seed%uint64(len(sizes))], seed), checker: newChecker(), blocked: make(map[[2]string]bool)}
	s.lossPercent, s.duplicatePercent, s.slowPercent = s.rng.IntN(30), s.rng.IntN(20), s.rng.IntN(60)
	s.diskLossWeight = 2 + s.rng.IntN(10)
	s.oneVoterEnough = seed%8 == 0
	s.delays = s.deliveryDelays
	s.onOutput = s.checkOutput
	return s
}

// deliveryDelays drops, duplicates, delays and reorders messages at random.
func (s *schedule) deliveryDelays(e quorum.Envelope) []time.Duration {
	if s.blocked[[2]string{e.From, e.To}] || s.rng.IntN(100) < s.lossPercent {
		return nil
	}
	list := []time.Duration{s.latency()}
	if s.rng.IntN(100) < s.duplicatePercent {
		list = append(list, s.latency())
	}
	return list
}

// latency draws the delay of a message: 1 to 6 ms, or for slowPercent of the messages
// up to 900 ms or 4 s.
func (s *schedule) latency() time.Duration {
	if s.rng.IntN(100) < s.slowPercent {
		longest := []time.Duration{900 * time.Millisecond, 4 * time.Second}[s.rng.IntN(2)]
		return time.Duration(s.rng.Int64N(int64(longest)))
	}
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(5*time.Millisecond)))
}

func (s *schedule) randomHost() *simulatedHost {
	return s.hosts[s.names[s.rng.IntN(len(s.names))]]
}

func (s *schedule) randomAction() {
	h := s.randomHost()
	switch p := s.rng.IntN(100); {
	case p < 52:
		s.randomCall(h)
	case p < 58:
		s.stop(h.name)
	case p < 72:
		s.resume(h)
	case p < 76:
		h.crashAfterSaves = s.rng.IntN(3)
	case p < 76+s.diskLossWeight:
		s.loseDisk(h)
	case p < 89:
		h.frozen = h.node != nil
	case p < 95:
		s.isolate(h, s.rng.IntN(3))
	default:
		clear(s.blocked)
	}
}

// resume starts the host if it is stopped, and ends its freeze.
func (s *schedule) resume(h *simulatedHost) {
	if h.node == nil {
		s.start(h.name)
	}
	s.unfreeze(h.name)
}

// isolate blocks the links of a host: all for 0, incoming for 1 and outgoing
// for 2.
func (s *schedule) isolate(h *simulatedHost, direction int) {
	for _, other := range s.names {
		if direction != 1 {
			s.blocked[[2]string{h.name, other}] = true
		}
		if direction != 2 {
			s.blocked[[2]string{other, h.name}] = true
		}
	}
}

// loseDisk wipes or damages a host's disk if enough other hosts vote: a majority,
// which keeps the chosen values, or one if oneVoterEnough is set.
func (s *schedule) loseDisk(h *simulatedHost) {
	voting := 0
	for _, other := range s.hosts {
		if other != h && other.voting() {
			voting++
		}
	}
	required := quorum.Majority(len(s.names))
	if s.oneVoterEnough {
		required = 1
	}
	if voting < required {
		return
	}
	s.stop(h.name)
	if s.rng.IntN(2) == 0 {
		h.damage()
		s.tracef("%s: disk damaged", h.name)
	} else {
		h.wipe()
		delete(s.learnt, h.name)
		s.tracef("%s: disk lost", h.name)
	}
	if s.rng.IntN(3) > 0 {
		s.start(h.name)
	}
}

// randomCall makes a read, a new change, a retry of a change, a change with a
// reused request ID or a change based on an old revision at h.
func (s *schedule) randomCall(h *simulatedHost) {
	if h.node == nil || h.frozen {
		return
	}
	name := []string{"x", "y"}[s.rng.IntN(2)]
	change := quorum.Change{Name: name, Base: s.agreed[name], Request: "r" + strconv.Itoa(len(s.requests))}
	change.Body = json.RawMessage(strconv.Itoa(len(s.requests)))
	change.Deleted = s.rng.IntN(10) == 0
	switch p := s.rng.IntN(10); {
	case p < 3 && len(s.requests) > 0:
		change = s.requests[max(0, len(s.requests)-1-s.rng.IntN(6))]
	case p == 3 && len(s.requests) > 0:
		change.Request = s.requests[s.rng.IntN(len(s.requests))].Request
	case p < 6:
		s.call(h, operation{read: true, change: quorum.Change{Name: name}})
		return
	case p == 6 && change.Base > 0:
		change.Base--
	}
	s.requests = append(s.requests, change)
	s.call(h, operation{change: change})
}

// call starts an operator's read or change at h. Its result must be at least as new
// as the results that operators have received before.
func (s *schedule) call(h *simulatedHost, op operation) {
	op.minRevision = s.agreed[op.change.Name]
	if s.pending[h.name] == nil {
		s.pending[h.name] = make(map[uint64]operation)
	}
	var (
		ticket uint64
		out    quorum.Output
	)
	if op.read {
		ticket, out = h.node.Read(s.now, op.change.Name)
	} else {
		ticket, out = h.node.Apply(s.now, op.change)
	}
	s.pending[h.name][ticket] = op
	s.execute(h, out)
}

// stop ends a process; its pending calls get no result.
func (s *schedule) stop(name string) {
	s.cluster.stop(name)
	delete(s.pending, name)
}

func (s *schedule) start(name string) {
	delete(s.pending, name)
	s.cluster.start(name)
}

// runAll runs the schedule and returns the first violated invariant, or nil.
func (s *schedule) runAll() error {
	for _, name := range s.names {
		s.start(name)
	}
	s.run(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	for i := 0; i < actionsPerRun && s.fault == nil; i++ {
		s.randomAction()
		pause := time.Duration(s.rng.IntN(60)) * time.Millisecond
		if s.rng.IntN(12) == 0 {
			pause = time.Duration(s.rng.IntN(12)) * time.Second
		}
		s.run(pause)
	}
	if s.fault == nil && !s.oneVoterEnough {
		s.healAndCheck()
	}
	return s.fault
}

// healAndCheck ends all faults and checks that every host votes, is current and
// has learnt the agreed revisions.
func (s *schedule) healAndCheck() {
	s.lossPercent, s.duplicatePercent, s.slowPercent = 0, 0, 0
	clear(s.blocked)
	for _, name := range s.names {
		s.hosts[name].crashAfterSaves = -1
		s.resume(s.hosts[name])
	}
	s.run(25 * time.Second)
	for _, name := range s.names {
		if !s.hosts[name].node.Status(s.now).Voting {
			s.failf("%s does not vote after all faults have ended", name)
		}
		if !s.hosts[name].node.Current(s.now) {
			s.failf("%s is not current after all faults have ended", name)
		}
		for _, doc := range []string{"x", "y"} {
			before := s.answers
			s.call(s.hosts[name], operation{read: true, change: quorum.Change{Name: doc}})
			s.run(2 * time.Second)
			if s.answers == before {
				s.failf("%s can not read %s after all faults have ended", name, doc)
			}
			if got := s.hosts[name].node.Learnt(doc).Chosen.Revision; got != s.agreed[doc] {
				s.failf("%s has learnt revision %d of %s, but revision %d was chosen", name, got, doc, s.agreed[doc])
			}
		}
	}
}

// TestSafetyUnderRandomFaults runs seeded schedules of calls, crashes with lost
// writes, lost and damaged disks, frozen hosts, partitions, and lost,
// duplicated and reordered messages. If SPOOL_SEED is set, it runs that seed
// only and prints the trace.
func TestSafetyUnderRandomFaults(t *testing.T) {
	if text := os.Getenv("SPOOL_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		s := newSchedule(seed)
		s.trace = os.Stdout
		if err = s.runAll(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		return
	}
	for shard := range safetyShards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			answers := 0
			for seed := uint64(shard); seed < safetySchedules; seed += safetyShards {
				s := newSchedule(seed)
				if err := s.runAll(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				answers += s.answers
			}
			if answers < safetySchedules/safetyShards {
				t.Fatalf("only %d calls were answered, want at least one per schedule", answers)
			}
			t.Logf("%d calls answered", answers)
		})
	}
}
