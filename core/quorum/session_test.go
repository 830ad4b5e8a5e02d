package quorum_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/internal/golden"
)

// session is one scripted run whose trace is compared with a golden file.
type session struct {
	*cluster
	*checker
	g      *gomega.WithT
	output bytes.Buffer
	// results holds the results by host and ticket.
	results map[string]map[uint64]quorum.Result
}

// settleTime is long enough for all hosts to recover and to fetch.
const settleTime = 3 * time.Second

func newSession(t *testing.T, hosts int) *session {
	s := &session{
		cluster: newCluster(hosts, 1), checker: newChecker(), g: gomega.NewWithT(t),
		results: make(map[string]map[uint64]quorum.Result),
	}
	s.trace, s.skipPeriodic = &s.output, true
	s.onOutput = func(host string, out quorum.Output) {
		for _, v := range out.Learnt {
			s.checkValue(v)
		}
		for _, r := range out.Results {
			s.recordResult(host, r)
		}
	}
	return s
}

// recordResult stores and checks a result and writes it to the trace.
func (s *session) recordResult(host string, r quorum.Result) {
	if s.results[host] == nil {
		s.results[host] = make(map[uint64]quorum.Result)
	}
	s.results[host][r.Ticket] = r
	s.checkValue(r.Value)
	if r.Err != nil {
		s.tracef("%s -> operator: %v", host, r.Err)
		return
	}
	s.tracef("%s -> operator: %s is at revision %d %s", host, r.Value.Name, r.Value.Revision, r.Value.Body)
}

// golden checks the invariants and compares the trace with the golden file of
// the test.
func (s *session) golden(t *testing.T) {
	t.Helper()
	s.g.Expect(s.fault).NotTo(gomega.HaveOccurred())
	golden.Compare(t, t.Name(), s.output.String())
}

// startAll starts all hosts and waits until they are current.
func (s *session) startAll() {
	for _, name := range s.names {
		s.start(name)
	}
	s.run(settleTime)
	for _, name := range s.names {
		s.g.Expect(s.hosts[name].node.Current(s.now)).To(gomega.BeTrue(), name)
	}
}

// restartEmpty restarts a host with an empty disk.
func (s *session) restartEmpty(name string) {
	s.stop(name)
	s.hosts[name].wipe()
	s.tracef("%s: disk lost", name)
	s.start(name)
}

// set returns a change of document x that is based on revision base.
func set(base uint64, request, body string) quorum.Change {
	return quorum.Change{Name: "x", Base: base, Request: request, Body: json.RawMessage(body)}
}

// change applies a change at a host, waits and returns its result.
func (s *session) change(host string, c quorum.Change) quorum.Result {
	ticket := s.apply(host, c)
	s.run(settleTime)
	return s.results[host][ticket]
}

// readX reads document x at a host, waits and returns the result.
func (s *session) readX(host string) quorum.Result {
	ticket := s.read(host, "x")
	s.run(settleTime)
	return s.results[host][ticket]
}

// dropMessages makes the network drop the messages for which lost returns true.
func (s *session) dropMessages(lost func(e quorum.Envelope) bool) {
	s.delays = func(e quorum.Envelope) []time.Duration {
		if lost(e) {
			return nil
		}
		return []time.Duration{time.Millisecond}
	}
}

// isolate makes the network drop all messages from and to a host.
func (s *session) isolate(name string) {
	s.tracef("%s: cut off", name)
	s.dropMessages(func(e quorum.Envelope) bool { return e.From == name || e.To == name })
}

// reconnect makes the network deliver all messages.
func (s *session) reconnect() {
	s.tracef("the network is whole")
	s.dropMessages(func(quorum.Envelope) bool { return false })
}

func TestSessionFirstStart(t *testing.T) {
	s := newSession(t, 3)
	s.start("a")
	s.run(settleTime)
	s.g.Expect(s.change("a", set(0, "early", `1`)).Err).To(gomega.MatchError(quorum.ErrRecovering))
	s.start("b")
	s.start("c")
	s.run(settleTime)
	s.g.Expect(s.change("b", set(0, "r1", `1`)).Request.Revision).To(gomega.Equal(uint64(1)))
	s.g.Expect(s.readX("c").Value.Revision).To(gomega.Equal(uint64(1)))
	s.golden(t)
}

func TestSessionSecondHostLostAfterFirstRecovers(t *testing.T) {
	s := newSession(t, 3)
	s.startAll()
	s.isolate("c")
	s.g.Expect(s.change("a", set(0, "r1", `1`)).Err).NotTo(gomega.HaveOccurred())
	s.restartEmpty("b")
	s.g.Expect(s.readX("b").Err).To(gomega.MatchError(quorum.ErrRecovering))
	s.reconnect()
	s.run(settleTime)
	s.g.Expect(s.hosts["b"].voting()).To(gomega.BeTrue())
	s.restartEmpty("a")
	s.isolate("a")
	s.g.Expect(s.readX("c").Value.Revision).To(gomega.Equal(uint64(1)))
	s.reconnect()
	s.run(settleTime)
	s.g.Expect(s.readX("a").Value.Revision).To(gomega.Equal(uint64(1)))
	s.golden(t)
}

// Host c has not heard that all hosts were blank when it learns a first value and ends. Guards
// against a c that starts as another one than the founder that it was: with another disk lost, no
// two hosts of three would vote any more.
func TestSessionFounderEndsBeforeItVotes(t *testing.T) {
	s := newSession(t, 3)
	s.dropMessages(func(e quorum.Envelope) bool {
		_, isSnapshot := e.Message.(*quorum.Snapshot)
		return isSnapshot && e.To == "c"
	})
	for _, name := range s.names {
		s.start(name)
	}
	s.run(settleTime)
	s.g.Expect(s.hosts["c"].voting()).To(gomega.BeFalse())
	s.g.Expect(s.change("a", set(0, "r1", `1`)).Err).NotTo(gomega.HaveOccurred())
	s.stop("c")
	s.restartEmpty("b")
	s.start("c")
	s.reconnect()
	s.run(settleTime)
	for _, name := range s.names {
		s.g.Expect(s.hosts[name].voting()).To(gomega.BeTrue(), name)
		s.g.Expect(s.readX(name).Value.Revision).To(gomega.Equal(uint64(1)), name)
	}
	s.golden(t)
}

func TestSessionTwoOperatorsChangeOneRevision(t *testing.T) {
	s := newSession(t, 3)
	s.startAll()
	first := s.apply("a", set(0, "anna", `1`))
	second := s.apply("b", set(0, "bela", `2`))
	s.run(settleTime)
	won, lost := s.results["a"][first], s.results["b"][second]
	if won.Err != nil {
		won, lost = lost, won
	}
	s.g.Expect(won.Err).NotTo(gomega.HaveOccurred())
	var conflict *quorum.ConflictError
	s.g.Expect(errors.As(lost.Err, &conflict)).To(gomega.BeTrue())
	s.g.Expect(conflict.Current).To(gomega.Equal(won.Value.Versioned))
	s.golden(t)
}

func TestSessionResendWhileFirstIsInFlight(t *testing.T) {
	s := newSession(t, 3)
	s.startAll()
	c := set(0, "r1", `1`)
	first := s.apply("a", c)
	s.run(3 * time.Millisecond)
	s.g.Expect(s.results["a"]).NotTo(gomega.HaveKey(first))
	again := s.change("b", c)
	s.g.Expect(again.Err).NotTo(gomega.HaveOccurred())
	s.g.Expect(s.results["a"][first].Request).To(gomega.Equal(again.Request))
	s.stop("b")
	s.start("b")
	s.run(settleTime)
	s.g.Expect(s.change("b", c).Request).To(gomega.Equal(again.Request))
	var reused *quorum.RequestReusedError
	s.g.Expect(errors.As(s.change("c", set(1, "r1", `2`)).Err, &reused)).To(gomega.BeTrue())
	s.golden(t)
}

func TestSessionIsolatedHostReturns(t *testing.T) {
	s := newSession(t, 3)
	s.startAll()
	s.g.Expect(s.change("c", set(0, "r1", `1`)).Err).NotTo(gomega.HaveOccurred())
	s.isolate("c")
	stale := s.apply("c", set(1, "cut", `9`))
	s.run(10 * time.Second)
	s.g.Expect(s.results["c"][stale].Err).To(gomega.MatchError(quorum.ErrNoMajority))
	s.g.Expect(s.hosts["c"].node.Current(s.now)).To(gomega.BeFalse())
	s.g.Expect(s.change("a", set(1, "r2", `2`)).Err).NotTo(gomega.HaveOccurred())
	s.g.Expect(s.change("b", set(2, "r3", `3`)).Err).NotTo(gomega.HaveOccurred())
	s.reconnect()
	s.run(settleTime)
	s.g.Expect(s.hosts["c"].node.Current(s.now)).To(gomega.BeTrue())
	s.g.Expect(s.hosts["c"].node.Learnt("x").Chosen.Revision).To(gomega.Equal(uint64(3)))
	var conflict *quorum.ConflictError
	s.g.Expect(errors.As(s.change("c", set(1, "cut", `9`)).Err, &conflict)).To(gomega.BeTrue())
	s.golden(t)
}

func TestSessionFrozenHostIgnoresOldFetchReplies(t *testing.T) {
	s := newSession(t, 3)
	s.startAll()
	c := s.hosts["c"]
	for {
		s.run(time.Millisecond)
		if s.fetchInFlight("c") {
			break
		}
	}
	c.frozen = true
	s.run(time.Minute)
	s.g.Expect(s.change("a", set(0, "r1", `1`)).Err).NotTo(gomega.HaveOccurred())
	s.unfreeze("c")
	s.g.Expect(c.node.Current(s.now)).To(gomega.BeFalse())
	s.run(settleTime)
	s.g.Expect(c.node.Current(s.now)).To(gomega.BeTrue())
	s.g.Expect(c.node.Learnt("x").Chosen.Revision).To(gomega.Equal(uint64(1)))
	s.golden(t)
}

// fetchInFlight reports whether a Fetch of the host is in flight.
func (s *session) fetchInFlight(host string) bool {
	for _, f := range s.messages {
		if _, ok := f.envelope.Message.(*quorum.Fetch); ok && f.envelope.From == host {
			return true
		}
	}
	return false
}

// Host b promises a higher ballot and crashes. After its restart, it must not
// accept the lower ballot.
func TestSessionForgottenPromise(t *testing.T) {
	s := newSession(t, 3)
	s.startAll()
	s.delays = func(e quorum.Envelope) []time.Duration {
		switch m := e.Message.(type) {
		case *quorum.Prepare:
			if e.From == "a" && e.To == "c" || e.From == "c" && e.To == "a" {
				return nil
			}
		case *quorum.Accept:
			if m.Ballot.Host == "a" || m.Ballot.Host == "c" {
				if e.To != "b" {
					return nil
				}
				return []time.Duration{map[string]time.Duration{"a": 200 * time.Millisecond, "c": 400 * time.Millisecond}[e.From]}
			}
		}
		return []time.Duration{time.Millisecond}
	}
	s.apply("a", set(0, "anna", `1`))
	s.run(20 * time.Millisecond)
	s.apply("c", set(0, "cili", `2`))
	s.run(20 * time.Millisecond)
	s.stop("b")
	s.start("b")
	s.run(20 * time.Second)
	s.golden(t)
}

// Host a holds a promise of b. Then b loses its disk and, in a new incarnation,
// accepts a lower ballot. The promise must not count any more.
func TestSessionVoteOfFormerIncarnation(t *testing.T) {
	s := newSession(t, 5)
	s.startAll()
	s.dropMessages(func(e quorum.Envelope) bool { return e.From == "a" })
	s.change("a", set(0, "raises the round", `0`)) // All messages of a are lost.
	s.run(10 * time.Second)
	lost := false
	s.delays = func(e quorum.Envelope) []time.Duration {
		prepare, prepares := e.Message.(*quorum.Prepare)
		switch {
		case e.From == "b" && e.To == "a" && lost, e.From == "a" && e.To == "b" && lost:
			return nil // b recovers without a.
		case e.From == "a" && prepares && e.To == "c" && prepare.Ballot.Host == "a":
			return []time.Duration{700 * time.Millisecond}
		case e.From == "a" && (e.To == "d" || e.To == "e"), e.To == "a" && (e.From == "d" || e.From == "e"):
			return nil
		case e.From == "d" && (e.To == "a" || e.To == "c") && isProposerMessage(e.Message):
			if _, accepts := e.Message.(*quorum.Accept); accepts || e.To == "a" {
				return nil
			}
		}
		return []time.Duration{time.Millisecond}
	}
	s.apply("a", set(0, "anna", `1`))
	s.run(20 * time.Millisecond)
	lost = true
	s.restartEmpty("b")
	s.run(400 * time.Millisecond)
	s.g.Expect(s.hosts["b"].voting()).To(gomega.BeTrue())
	s.apply("d", set(0, "dora", `2`))
	s.run(200 * time.Millisecond)
	lost = false // The new incarnation of b would accept the ballot of a.
	s.run(20 * time.Second)
	s.golden(t)
}

// isProposerMessage reports whether m is a Prepare, an Accept or a Learn, all sent by
// proposers.
func isProposerMessage(m quorum.Message) bool {
	switch m.(type) {
	case *quorum.Prepare, *quorum.Accept, *quorum.Learn:
		return true
	}
	return false
}

// Every host is blank when it replies to host a, but never all at the same time.
// Host a must recover, not bootstrap an empty cluster.
func TestSessionBlankHostsInTurn(t *testing.T) {
	s := newSession(t, 5)
	s.startAll()
	s.g.Expect(s.change("b", set(0, "r1", `1`)).Err).NotTo(gomega.HaveOccurred())
	s.delays = func(e quorum.Envelope) []time.Duration {
		if _, ok := e.Message.(*quorum.Recover); ok && e.From == "a" {
			return []time.Duration{time.Duration(e.To[0]-'a')*time.Second - 500*time.Millisecond}
		}
		return []time.Duration{time.Millisecond}
	}
	s.restartEmpty("a")
	s.hosts["a"].frozen = true
	for _, name := range s.names[1:] {
		s.run(400 * time.Millisecond)
		dropping := true
		prevDelays := s.delays
		s.delays = func(e quorum.Envelope) []time.Duration {
			if dropping && e.From == name && e.To != "a" {
				return nil
			}
			return prevDelays(e)
		}
		s.restartEmpty(name)
		s.run(200 * time.Millisecond)
		dropping = false
		s.run(400 * time.Millisecond)
		s.g.Expect(s.hosts[name].voting()).To(gomega.BeTrue(), name)
	}
	s.delays = func(quorum.Envelope) []time.Duration { return []time.Duration{time.Millisecond} }
	s.unfreeze("a")
	s.run(settleTime)
	s.g.Expect(s.hosts["a"].node.Status(s.now).Recoveries).To(gomega.Equal(int64(1)), "it must recover, not bootstrap")
	s.g.Expect(s.readX("a").Value.Revision).To(gomega.Equal(uint64(1)))
	s.golden(t)
}

// A host restarts with a disk copy of an earlier incarnation; the votes on it
// must not count again.
func TestSessionOldDiskRestored(t *testing.T) {
	s := newSession(t, 3)
	s.startAll()
	old := s.hosts["b"].copyDisk()
	s.isolate("c")
	s.g.Expect(s.change("a", set(0, "r1", `1`)).Err).NotTo(gomega.HaveOccurred())
	s.reconnect()
	s.restartEmpty("b")
	s.run(settleTime)
	s.stop("b")
	s.hosts["b"].disk = old
	s.tracef("b: an old copy of the disk is put back")
	s.start("b")
	s.run(settleTime)
	s.g.Expect(s.readX("b").Value.Revision).To(gomega.Equal(uint64(1)))
	s.g.Expect(s.hosts["b"].node.Status(s.now).Recoveries).To(gomega.Equal(int64(1)))
	s.golden(t)
}

func TestSessionProposerCrashesBeforeLearn(t *testing.T) {
	s := newSession(t, 3)
	s.startAll()
	s.dropMessages(func(e quorum.Envelope) bool {
		_, isLearn := e.Message.(*quorum.Learn)
		return isLearn
	})
	s.apply("a", set(0, "r1", `1`))
	s.run(20 * time.Millisecond)
	s.stop("a")
	s.tracef("a: lost for good")
	s.run(settleTime)
	for _, name := range []string{"b", "c"} {
		s.g.Expect(s.hosts[name].node.Learnt("x").Chosen.Revision).To(gomega.Equal(uint64(1)), name)
	}
	s.golden(t)
}
