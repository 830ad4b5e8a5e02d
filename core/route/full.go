package route

import (
	"math"
	"time"
)

// resetSigns says whether the targets of a service reset connections when they are full.
// This is learnt from resets of written calls at targets with all slots in use. The target
// must be shown to live on: one that crashes under load resets its connections too. The zero
// value has learnt nothing.
type resetSigns struct {
	// signs is the number of shown resets, each within signWindow of the one before, and
	// signAt is when the last one was shown.
	signs  int
	signAt time.Duration
	// until is the time until which the service counts as one that resets connections.
	until time.Duration
	// taken is the number of attempts that have ended by a reset which was taken as a sign of
	// a full target.
	taken uint64
}

const (
	// minSigns is the number of resets by which a service is learnt: one or two may be
	// those of a target that fails beside its load.
	minSigns   = 3
	signWindow = 10 * time.Second
	// resetMemory is how long a service counts as learnt after the last shown reset. To
	// learn it again costs minSigns calls.
	resetMemory = 5 * time.Minute
	// An answer shows that the target lives on if it comes later than proofFactor times the
	// mean latency after the reset, since results of calls that ended just before a crash
	// may arrive after that of a reset, from other hosts. One to a call that began after
	// the reset must come within restartTime, and a report that all slots are in use within
	// fillTime: a target that was started again, and filled, within that is not told apart
	// if no call or probe found it gone.
	proofFactor = 0.25
	minProof    = 5 * time.Millisecond
	maxProof    = 100 * time.Millisecond
	restartTime = time.Second
	fillTime    = 5 * time.Second
	// maxResetsInRow is the number of resets of one target without an answer between them
	// from which it counts as failing, unless its reports show that it is full.
	maxResetsInRow = 5
	// maxFullPause bounds the pause of a full target, which doubles with each further
	// reset without an answer between them.
	maxFullPause = time.Second
	// signReportAge is the age up to which a load report makes a reset a sign of a full
	// target. Hosts that decide alone get few reports.
	signReportAge = time.Second
	// fullReportAge is the age up to which a load report shows the calls of others at a
	// target: five probe intervals.
	fullReportAge = 500 * time.Millisecond
	// queueShare is the size of the queue at a target that calls may use which can be sent
	// again, as a share of its slots. It makes up for calls that have ended unnoticed.
	queueShare = 0.5
)

// SetSlotShare sets the share of the slots, from 0 to 1, that this host may use at targets
// that reset connections when they are full, if other hosts decide without knowing of each
// other; 0 and 1 set no limit.
func (t *Table) SetSlotShare(share float64) {
	t.slotShare = share
}

// ResetsWhenFull reports whether the service has shown that its targets reset connections
// when they are full.
func (t *Table) ResetsWhenFull(now time.Time) bool {
	return t.learntAt(t.offset(now))
}

// FullResets returns the number of attempts of this host's decisions that have ended by a reset
// which was taken as a sign of a full target.
func (t *Table) FullResets() uint64 {
	return t.resets.taken
}

// LearnResets records that another host has learnt that the targets reset connections when
// they are full.
func (t *Table) LearnResets(now time.Time) {
	t.resets.until = max(t.resets.until, t.offset(now)+resetMemory)
}

// ObserveReset records that the target called name has reset the connection of a call before a
// byte of the answer. The call is still in flight if this host has decided about it. written
// says that a byte of the call had been written; slots is as in Query. It reports whether the
// target is full rather than failing, so that the outcome of the attempt is Full, and pauses the
// target then. It returns false for a service that has not shown this behaviour.
func (t *Table) ObserveReset(name string, slots int, written bool, now time.Time) bool {
	i, ok := t.index[name]
	if !ok || t.states[i].draining {
		return false
	}
	at, s := t.offset(now), &t.states[i]
	reported := s.reportsFull(at)
	limit := t.callLimit(i, Query{Slots: slots})
	// With one slot, the call itself does not show that the target is full.
	full := reported || s.callsAt(at) >= max(limit, 2)
	if !full && (!t.learntAt(at) || s.inFlight < t.shareOf(limit)) {
		return false
	}
	if written && full && (!s.resetOpen || at-s.resetAt > restartTime) {
		s.resetOpen, s.resetAt = true, at
	}
	s.resetsInRow++
	if !t.learntAt(at) || !reported && s.resetsInRow > maxResetsInRow {
		return false
	}
	t.pauseFull(s, limit, at)
	return true
}

// Abandon records that a call is given up that the target called name may still run. It
// counts as one in its slots until a report shows whether it is.
func (t *Table) Abandon(name string, now time.Time) {
	if i, ok := t.index[name]; ok {
		t.states[i].abandoned++
		t.states[i].abandonedAt = t.offset(now)
	}
}

// learntAt implements ResetsWhenFull.
func (t *Table) learntAt(at time.Duration) bool {
	return t.resets.until > at
}

// showReset counts the last reset of a target as shown, if an answer or report shows that the
// target lives on: an answer to a call that began at begin, before the reset, or one that comes
// within the time limit after it.
func (t *Table) showReset(s *targetState, begin, at, limit time.Duration) {
	if !s.resetOpen {
		return
	}
	proof := min(max(time.Duration(proofFactor*t.meanLatency), minProof), maxProof)
	if at-s.resetAt < proof || begin >= s.resetAt && at-s.resetAt > limit {
		return
	}
	s.resetOpen = false
	r := &t.resets
	if at-r.signAt > signWindow {
		r.signs = 0
	}
	r.signs++
	r.signAt = at
	if r.signs >= minSigns || t.learntAt(at) {
		r.until = at + resetMemory
	}
}

// pauseFull pauses a target that has reset a connection since it is full, for the time in
// which one of its slots becomes free.
func (t *Table) pauseFull(s *targetState, slots int, at time.Duration) {
	pause := t.meanLatency * t.expectedPace(s, at) / normalPace / float64(max(slots, 1))
	pause *= math.Exp2(float64(min(max(s.resetsInRow-1, 0), maxResetsInRow)))
	s.shedUntil = max(s.shedUntil, at+min(max(time.Duration(pause), minShedPause), maxFullPause))
}

// reportsFull reports whether a new load report says that all slots are in use.
func (s *targetState) reportsFull(at time.Duration) bool {
	return s.reported && at-s.reportAt <= signReportAge && s.load.FreeSlots() <= 0
}

// callsAt returns the number of calls at the target as far as known: those in flight from this
// host, those that it has given up, and those of others by the last report.
func (s *targetState) callsAt(at time.Duration) int {
	n := s.inFlight
	if at-s.abandonedAt <= fullReportAge {
		n += s.abandoned
	}
	if s.otherCalls > 0 && at-s.otherCallsAt <= fullReportAge {
		n += s.otherCalls
	}
	return n
}

// overfilled reports whether one more call with the conditions of q might be reset by the
// target of row i, of a service that resets connections when full.
func (t *Table) overfilled(i int, q *Query, at time.Duration) bool {
	limit, s := q.withQueue(t.callLimit(i, *q)), &t.states[i]
	return q.shareUsed || s.inFlight >= t.shareOf(limit) || s.callsAt(at) >= limit
}

// withQueue returns the number of calls that may be at a target with the given slots when one
// with the conditions of q is added.
func (q *Query) withQueue(slots int) int {
	if q.Once {
		return slots
	}
	return slots + int(queueShare*float64(slots))
}

// shareOf returns the part of slots that this host may use.
func (t *Table) shareOf(slots int) int {
	if t.slotShare <= 0 || t.slotShare >= 1 {
		return slots
	}
	return max(int(t.slotShare*float64(slots)), 1)
}

// shareUsed reports whether this host uses its share of all slots.
func (t *Table) shareUsed(q Query, at time.Duration) bool {
	if t.slotShare <= 0 || t.slotShare >= 1 || !t.learntAt(at) {
		return false
	}
	slots := 0
	for _, i := range t.readyRows {
		slots += t.callLimit(i, q)
	}
	return t.InFlight() >= t.shareOf(q.withQueue(slots))
}
