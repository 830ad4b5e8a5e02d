package route

import (
	"math"
	"net/netip"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

type (
	// Table holds the targets of one service, one row each; equal indexes in its
	// columns belong to one target. Times are offsets from epoch, the first time
	// passed to a method. The zero value is an empty table.
	Table struct {
		epoch      time.Time
		dataCentre string
		limitShare float64 // See SetLimitShare.
		slotShare  float64 // See SetSlotShare.
		cold       ColdLimit
		resets     resetSigns
		index      map[string]int
		readyRows  []int // The rows of the targets that accept new calls.
		coldCount  int   // The number of targets in state member.Cold.

		// Columns from the announcements. A target is remote when it is in
		// another data centre than this entry host; warmAt is when a target that
		// has just started reaches its normal speed, as a time since epoch; 0 if
		// unknown.
		names        []string
		addresses    []netip.AddrPort
		incarnations []uint64
		remote       []bool
		slots        []int
		dataCentres  []string
		warmAt       []time.Duration

		states []targetState

		// restsUntil is the end of the last rest of any target.
		restsUntil time.Duration

		// meanLatency is the moving average latency of all targets in
		// nanoseconds; 0 before the first answer.
		meanLatency float64
		// excessPace is the moving average by which reported paces exceed
		// normalPace, in percent; a pace below normalPace counts as 0.
		excessPace float64

		// ties is a buffer for the equally good rows of one choice.
		ties []int
		// costs is a buffer for the expected times of the rows in ties, in one
		// choice of Fastest.
		costs []float64
	}

	// Occupancy describes the ready targets of a Table.
	Occupancy struct {
		// Ready is the number of targets that accept new calls.
		Ready int
		// Full is the number of those without a free slot.
		Full int
		// Failing is the number of those that are ejected or get fewer calls
		// because attempts or probes have failed.
		Failing int
		// Limited is the number of those that have named a limit.
		Limited int
		// Cold is the number of those that are cold.
		Cold int
		// ReportedCalls is the number of calls at them by their load reports.
		ReportedCalls int
	}

	// targetState is what attempts, probes and load reports have revealed about
	// one target.
	targetState struct {
		// inFlight is the number of calls in flight from this entry host.
		inFlight int
		// lastProgressAt is when a call at the target last ended, or when the
		// target was last sent one while it had none.
		lastProgressAt time.Duration
		// shedUntil is the end of the pause after a shed.
		shedUntil time.Duration
		// fullUntil is the time until which the target counts as full by its
		// last load report.
		fullUntil time.Duration
		// load is the last load report, received at reportAt; both are valid
		// when reported is true.
		reportAt time.Duration
		load     wire.Load
		reported bool
		// failureRate is the exponentially weighted moving average of the share
		// of attempts that failed, from 0 to 1, as of ratedAt; see
		// expectedFailureRate.
		failureRate float64
		ratedAt     time.Duration
		// lostProbes counts the probes that were lost since the last answer to
		// a probe or an attempt, the latest of them at probeLostAt.
		lostProbes  int
		probeLostAt time.Duration
		// probedAt is when a probe was last answered; valid when probed is true.
		probedAt time.Duration
		probed   bool
		// ejectedUntil is the end of the last ejection.
		ejectedUntil time.Duration
		// ejections counts the target's ejections since its failure rate was
		// last below clearedFailureRate.
		ejections int
		// meanLatency is the moving average latency in nanoseconds over
		// latencySamples answers, the last of them received at lastAnswerAt.
		meanLatency    float64
		latencySamples int
		lastAnswerAt   time.Duration
		// rampStart and rampEnd bound the time in which the traffic share grows
		// to 1.
		rampStart time.Duration
		rampEnd   time.Duration
		// draining says that an answer was marked as from a draining target.
		draining bool
		// suspect says that the target's announcements have stopped.
		suspect bool
		// otherCalls is the number of calls at the target beyond inFlight by its
		// load report, received at otherCallsAt.
		otherCalls   int
		otherCallsAt time.Duration
		// unhealthy says that the target's health check fails.
		unhealthy bool
		// addressTaken says that another target answers at the address.
		addressTaken bool
		// limit is the limit that the target has named.
		limit rateLimit
		// cold is what limits the calls to the target while it is cold.
		cold coldState
		// rests are the rests that the target has asked hosts for.
		rests []hostRest
		// resetOpen says that it is not shown yet whether the target lives on after the
		// reset at resetAt.
		resetOpen bool
		resetAt   time.Duration
		// resetsInRow is the number of resets at full slots since the last answer.
		resetsInRow int
		// abandoned is the number of calls that were given up since the last load report,
		// the latest of them at abandonedAt.
		abandoned   int
		abandonedAt time.Duration
		// conns holds the hosts that have used the target lately.
		conns []hostConns
	}
)

// SetDataCentre sets the data centre of this entry host, which policies may
// prefer. It takes effect with the next Update.
func (t *Table) SetDataCentre(name string) {
	t.dataCentre = name
}

// Update replaces the targets by records. The state of a target is kept until
// its incarnation changes. The traffic share of a target that is new, restarted
// or newly ready grows over ramp.
func (t *Table) Update(records []member.Record, ramp time.Duration, now time.Time) {
	at := t.offset(now)
	old := *t
	wasReady := make(map[string]bool, len(old.readyRows))
	for _, i := range old.readyRows {
		wasReady[old.names[i]] = true
	}
	t.reset(len(records))
	for i := range records {
		r := &records[i]
		s := targetState{rampStart: at, rampEnd: at + ramp}
		if j, ok := old.index[r.Target]; ok && old.incarnations[j] == r.Incarnation {
			s = old.states[j]
			if r.State == member.Ready && !wasReady[r.Target] && !s.draining {
				s.rampStart, s.rampEnd = at, at+ramp
			}
		} else if ok {
			s.inFlight = old.states[j].inFlight
		}
		t.addRow(r, s)
	}
}

// reset removes all rows and makes room for n.
func (t *Table) reset(n int) {
	t.index = make(map[string]int, n)
	t.names = make([]string, 0, n)
	t.addresses = make([]netip.AddrPort, 0, n)
	t.incarnations = make([]uint64, 0, n)
	t.remote = make([]bool, 0, n)
	t.slots = make([]int, 0, n)
	t.dataCentres = make([]string, 0, n)
	t.warmAt = make([]time.Duration, 0, n)
	t.states = make([]targetState, 0, n)
	t.readyRows = make([]int, 0, n)
	t.coldCount = 0
}

// addRow appends a row for the target of r with state s.
func (t *Table) addRow(r *member.Record, s targetState) {
	i := len(t.names)
	t.index[r.Target] = i
	t.names = append(t.names, r.Target)
	t.addresses = append(t.addresses, r.Address)
	t.incarnations = append(t.incarnations, r.Incarnation)
	t.remote = append(t.remote, t.dataCentre != "" && r.DataCentre != t.dataCentre)
	t.slots = append(t.slots, r.Slots)
	t.dataCentres = append(t.dataCentres, r.DataCentre)
	warm := time.Duration(0)
	if !r.WarmAt.IsZero() {
		warm = r.WarmAt.Sub(t.epoch)
	}
	t.warmAt = append(t.warmAt, warm)
	s.suspect = r.Suspect
	t.states = append(t.states, s)
	if r.State == member.Cold {
		t.coldCount++
	}
	if r.State == member.Ready && !s.draining {
		t.readyRows = append(t.readyRows, i)
	}
}

// Len returns the number of targets.
func (t *Table) Len() int {
	return len(t.names)
}

// ReadyCount returns the number of targets that accept new calls.
func (t *Table) ReadyCount() int {
	return len(t.readyRows)
}

// ColdCount returns the number of targets that have announced themselves as not
// yet ready.
func (t *Table) ColdCount() int {
	return t.coldCount
}

// Begin adds a call to the calls in flight to the target called name. It does
// nothing when the table does not have the target.
func (t *Table) Begin(name string, now time.Time) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	s := &t.states[i]
	if s.inFlight == 0 {
		s.lastProgressAt = t.offset(now)
	}
	s.inFlight++
	s.limit.take(t.limitShare, t.offset(now))
	s.cold.take(t.cold, t.offset(now))
}

// InFlight returns the number of calls in flight from this entry host to all
// targets.
func (t *Table) InFlight() int {
	n := 0
	for i := range t.states {
		n += t.states[i].inFlight
	}
	return n
}

// Occupancy returns the occupancy of the ready targets for a call with the conditions
// of q. Load reports older than maxAge are ignored.
func (t *Table) Occupancy(q Query, maxAge time.Duration) Occupancy {
	at := t.offset(q.Now)
	o := Occupancy{Ready: len(t.readyRows)}
	for _, i := range t.readyRows {
		s := &t.states[i]
		if s.inFlight+s.otherInFlight(at) >= t.callLimit(i, q) {
			o.Full++
		}
		if s.outOfUse(at) || s.probesLost(at) > 0 || s.expectedFailureRate(at) >= clearedFailureRate {
			o.Failing++
		}
		if s.limit.holds(at) {
			o.Limited++
		}
		if t.isCold(i, at) {
			o.Cold++
		}
		if s.reported && at-s.reportAt <= maxAge {
			o.ReportedCalls += s.load.Running + s.load.Queued
		}
	}
	return o
}

// MeanLatency returns the moving average latency of all targets, and 0 before
// the first answer.
func (t *Table) MeanLatency() time.Duration {
	return time.Duration(t.meanLatency)
}

// NextAvailable returns the earliest time after now at which a ready target that
// is paused after a shed may be used again. It reports false when none is paused.
func (t *Table) NextAvailable(now time.Time) (time.Time, bool) {
	at := t.offset(now)
	earliest := time.Duration(math.MaxInt64)
	for _, i := range t.readyRows {
		if until := t.states[i].shedUntil; until > at {
			earliest = min(earliest, until)
		}
	}
	return t.epoch.Add(earliest), earliest < math.MaxInt64
}

// offset returns now as an offset from the epoch. The first call sets the epoch to
// now.
func (t *Table) offset(now time.Time) time.Duration {
	if t.epoch.IsZero() {
		t.epoch = now
	}
	return now.Sub(t.epoch)
}
