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
	// audit checks what hosts hand out against what must always hold.
	audit struct {
		// makers holds the request that made each revision of each document.
		makers map[string]map[uint64]string
		bodies map[string]map[uint64]string
		// accepted holds the first answer to each request.
		accepted map[string]uint64
		// floor is the highest revision that an operator knows to be agreed.
		floor   map[string]uint64
		learnt  map[string]map[string]uint64
		pending map[string]map[uint64]operation
		answers int
		fault   error
	}

	// operation is an operator's call that has not been answered.
	operation struct {
		change quorum.Change
		read   bool
		floor  uint64
	}

	// schedule is one seeded run of random calls and faults.
	schedule struct {
		*cluster
		*audit
		cut      map[[2]string]bool
		loss     int // percent
		repeat   int // percent
		slow     int // percent
		wipes    int // weight of lost disks
		deep     bool
		requests []quorum.Change
	}
)

const (
	safetySchedules = 2400
	safetyShards    = 8
	beats           = 110
)

func newAudit() *audit {
	return &audit{
		makers: make(map[string]map[uint64]string), bodies: make(map[string]map[uint64]string),
		accepted: make(map[string]uint64), floor: make(map[string]uint64),
		learnt: make(map[string]map[string]uint64), pending: make(map[string]map[uint64]operation),
	}
}

func (a *audit) failf(format string, args ...any) {
	if a.fault == nil {
		a.fault = errors.Errorf(format, args...)
	}
}

// value checks that every revision has one body and one maker, and that the
// value descends from the ones seen before.
func (a *audit) value(v quorum.Value) {
	if v.Revision == 0 {
		return
	}
	if a.bodies[v.Name] == nil {
		a.bodies[v.Name], a.makers[v.Name] = make(map[uint64]string), make(map[uint64]string)
	}
	body := fmt.Sprintf("%t %s", v.Deleted, v.Body)
	if first, ok := a.bodies[v.Name][v.Revision]; ok && first != body {
		a.failf("revision %d of %s is both %s and %s", v.Revision, v.Name, first, body)
	}
	a.bodies[v.Name][v.Revision] = body
	for _, r := range v.Requests {
		if first, ok := a.makers[v.Name][r.Revision]; ok && first != r.ID {
			a.failf("revision %d of %s was made by both %s and %s", r.Revision, v.Name, first, r.ID)
		}
		a.makers[v.Name][r.Revision] = r.ID
	}
}

func (a *audit) take(host string, out quorum.Output) {
	for _, v := range out.Learnt {
		a.value(v)
		if a.learnt[host] == nil {
			a.learnt[host] = make(map[string]uint64)
		}
		if v.Revision <= a.learnt[host][v.Name] {
			a.failf("%s went back to revision %d of %s from %d", host, v.Revision, v.Name, a.learnt[host][v.Name])
		}
		a.learnt[host][v.Name] = v.Revision
	}
	for _, r := range out.Results {
		op := a.pending[host][r.Ticket]
		delete(a.pending[host], r.Ticket)
		a.result(op, r)
	}
}

func (a *audit) result(op operation, r quorum.Result) {
	var (
		conflict *quorum.ConflictError
		reused   *quorum.ReusedError
		name     = op.change.Name
	)
	if errors.Is(r.Err, quorum.ErrNoMajority) || errors.Is(r.Err, quorum.ErrRecovering) {
		return
	}
	a.answers++
	a.value(r.Value)
	if r.Value.Revision < op.floor {
		a.failf("%s was read at revision %d after %d had been agreed", name, r.Value.Revision, op.floor)
	}
	a.floor[name] = max(a.floor[name], r.Value.Revision)
	switch {
	case op.read:
	case r.Err == nil:
		a.acceptance(op, r)
	case errors.As(r.Err, &conflict):
		if conflict.Current.Revision == op.change.Base {
			a.failf("a change to revision %d of %s conflicts with that revision", op.change.Base, name)
		}
	case errors.As(r.Err, &reused):
		if reused.First.Digest == op.change.Digest() {
			a.failf("request %s was refused as reused by its own resend", op.change.Request)
		}
	default:
		a.failf("unknown error %v", r.Err)
	}
}

func (a *audit) acceptance(op operation, r quorum.Result) {
	id := op.change.Name + "/" + op.change.Request // An identity belongs to one document.
	if first, ok := a.accepted[id]; ok && first != r.Done.Revision {
		a.failf("request %s was answered with revision %d and %d", id, first, r.Done.Revision)
	}
	a.accepted[id] = r.Done.Revision
	if r.Done.Revision != op.change.Base+1 {
		a.failf("a change to revision %d was accepted as %d", op.change.Base, r.Done.Revision)
	}
	if r.Done.Digest != op.change.Digest() {
		a.failf("request %s was accepted with another body", op.change.Request)
	}
}

func newSchedule(seed uint64) *schedule {
	sizes := []int{3, 3, 3, 4, 5, 5, 2}
	s := &schedule{cluster: newCluster(sizes[seed%uint64(len(sizes))], seed), audit: newAudit(), cut: make(map[[2]string]bool)}
	s.loss, s.repeat, s.slow = s.rng.IntN(30), s.rng.IntN(20), s.rng.IntN(60)
	s.wipes = 2 + s.rng.IntN(10)
	s.deep = seed%8 == 0
	s.delay = s.travel
	s.on = s.take
	return s
}

// travel loses, repeats, delays and reorders messages.
func (s *schedule) travel(e quorum.Envelope) []time.Duration {
	if s.cut[[2]string{e.From, e.To}] || s.rng.IntN(100) < s.loss {
		return nil
	}
	list := []time.Duration{s.latency()}
	if s.rng.IntN(100) < s.repeat {
		list = append(list, s.latency())
	}
	return list
}

func (s *schedule) latency() time.Duration {
	if s.rng.IntN(100) < s.slow {
		longest := []time.Duration{900 * time.Millisecond, 4 * time.Second}[s.rng.IntN(2)]
		return time.Duration(s.rng.Int64N(int64(longest)))
	}
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(5*time.Millisecond)))
}

func (s *schedule) any() *member {
	return s.hosts[s.names[s.rng.IntN(len(s.names))]]
}

func (s *schedule) beat() {
	m := s.any()
	switch p := s.rng.IntN(100); {
	case p < 52:
		s.operate(m)
	case p < 58:
		s.stop(m.name)
	case p < 72:
		s.revive(m)
	case p < 76:
		m.crashAt = s.rng.IntN(3)
	case p < 76+s.wipes:
		s.loseDisk(m)
	case p < 89:
		m.frozen = m.node != nil
	case p < 95:
		s.isolate(m, s.rng.IntN(3))
	default:
		clear(s.cut)
	}
}

func (s *schedule) revive(m *member) {
	if m.node == nil {
		s.start(m.name)
	}
	s.thaw(m.name)
}

// isolate cuts a host off, in both or in one direction.
func (s *schedule) isolate(m *member, way int) {
	for _, other := range s.names {
		if way != 1 {
			s.cut[[2]string{m.name, other}] = true
		}
		if way != 2 {
			s.cut[[2]string{other, m.name}] = true
		}
	}
}

// loseDisk takes away a host's disk, or damages it, when the others can still
// hold the truth: a majority of them votes, or, in deep runs, any one.
func (s *schedule) loseDisk(m *member) {
	voting := 0
	for _, other := range s.hosts {
		if other != m && other.voting() {
			voting++
		}
	}
	need := quorum.Majority(len(s.names))
	if s.deep {
		need = 1
	}
	if voting < need {
		return
	}
	s.stop(m.name)
	if s.rng.IntN(2) == 0 {
		m.damage()
		s.tracef("%s: disk damaged", m.name)
	} else {
		m.wipe()
		delete(s.learnt, m.name)
		s.tracef("%s: disk lost", m.name)
	}
	if s.rng.IntN(3) > 0 {
		s.start(m.name)
	}
}

func (s *schedule) operate(m *member) {
	if m.node == nil || m.frozen {
		return
	}
	name := []string{"x", "y"}[s.rng.IntN(2)]
	change := quorum.Change{Name: name, Base: s.floor[name], Request: "r" + strconv.Itoa(len(s.requests))}
	change.Body = json.RawMessage(strconv.Itoa(len(s.requests)))
	change.Deleted = s.rng.IntN(10) == 0
	switch p := s.rng.IntN(10); {
	case p < 3 && len(s.requests) > 0:
		change = s.requests[max(0, len(s.requests)-1-s.rng.IntN(6))]
	case p == 3 && len(s.requests) > 0:
		change.Request = s.requests[s.rng.IntN(len(s.requests))].Request
	case p < 6:
		s.call(m, operation{read: true, change: quorum.Change{Name: name}})
		return
	case p == 6 && change.Base > 0:
		change.Base--
	}
	s.requests = append(s.requests, change)
	s.call(m, operation{change: change})
}

func (s *schedule) call(m *member, op operation) {
	op.floor = s.floor[op.change.Name]
	if s.pending[m.name] == nil {
		s.pending[m.name] = make(map[uint64]operation)
	}
	var (
		ticket uint64
		out    quorum.Output
	)
	if op.read {
		ticket, out = m.node.Read(s.now, op.change.Name)
	} else {
		ticket, out = m.node.Apply(s.now, op.change)
	}
	s.pending[m.name][ticket] = op
	s.carry(m, out)
}

// stop ends a process; nobody gets the answers that it owes.
func (s *schedule) stop(name string) {
	s.cluster.stop(name)
	delete(s.pending, name)
}

func (s *schedule) start(name string) {
	delete(s.pending, name)
	s.cluster.start(name)
}

func (s *schedule) play() error {
	for _, name := range s.names {
		s.start(name)
	}
	s.run(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	for i := 0; i < beats && s.fault == nil; i++ {
		s.beat()
		pause := time.Duration(s.rng.IntN(60)) * time.Millisecond
		if s.rng.IntN(12) == 0 {
			pause = time.Duration(s.rng.IntN(12)) * time.Second
		}
		s.run(pause)
	}
	if s.fault == nil && !s.deep {
		s.heal()
	}
	return s.fault
}

// heal ends all faults and checks that every host votes and reads the same.
func (s *schedule) heal() {
	s.loss, s.repeat, s.slow = 0, 0, 0
	clear(s.cut)
	for _, name := range s.names {
		s.hosts[name].crashAt = -1
		s.revive(s.hosts[name])
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
			if got := s.hosts[name].node.Learnt(doc).Chosen.Revision; got != s.floor[doc] {
				s.failf("%s has learnt revision %d of %s, %d was agreed", name, got, doc, s.floor[doc])
			}
		}
	}
}

// TestSafetyUnderRandomFaults runs seeded schedules of calls, crashes with
// lost writes, lost and damaged disks, freezes, cuts, loss, repetition and
// reordering. SPOOL_SEED runs one seed and prints its trace.
func TestSafetyUnderRandomFaults(t *testing.T) {
	if one := os.Getenv("SPOOL_SEED"); one != "" {
		seed, err := strconv.ParseUint(one, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		s := newSchedule(seed)
		s.trace = os.Stdout
		if err = s.play(); err != nil {
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
				if err := s.play(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				answers += s.answers
			}
			if answers < safetySchedules/safetyShards {
				t.Fatalf("only %d calls were answered; the runs show too little", answers)
			}
			t.Logf("%d calls answered", answers)
		})
	}
}
