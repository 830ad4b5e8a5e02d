package route

import (
	"math"
	"net/netip"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

type (
	// Table holds the targets of one service; equal indexes in its columns
	// belong to one target. Times are kept as offsets from the first time that
	// the table was told. The zero value is an empty table.
	Table struct {
		epoch      time.Time
		dataCentre string
		index      map[string]int
		readyRows  []int
		cold       int

		// What the announcements say.
		names       []string
		addresses   []netip.AddrPort
		incarnation []uint64
		remote      []bool
		slots       []int
		dataCentres []string
		warmAt      []time.Duration

		state []state

		mean float64
		// excess is by how much the mean of reported paces exceeds usualPace.
		excess float64

		// ties are the rows that are equally good in one choice.
		ties []int
		// costs are the expected times of ties, in one choice of Fastest.
		costs []float64
	}

	// state is what attempts have shown of one target.
	state struct {
		// inFlight counts this entry's calls at the target.
		inFlight int
		// progress is when the target last ended a call, or was given its
		// first.
		progress time.Duration
		// shedUntil is until when the target is left alone after it shed.
		shedUntil time.Duration
		// fullUntil is until when the target counts as full by its report.
		fullUntil time.Duration
		// reportAt is when the last report came in.
		reportAt time.Duration
		load     wire.Load
		reported bool
		// failing is a moving share of failed attempts, from 0 to 1.
		failing     float64
		failedUntil time.Duration
		// strikes counts the times the target was left out for failing.
		strikes int
		// latency is a moving mean of answer times in nanoseconds.
		latency  float64
		samples  int
		latestAt time.Duration
		// rampFrom and rampEnd bound the time in which the share grows.
		rampFrom time.Duration
		rampEnd  time.Duration
		// drains says that an answer announced that the target drains.
		drains bool
		// suspect says that the target's announcements have stopped.
		suspect bool
		// others are the calls at the target beyond inFlight, by the report of
		// othersAt.
		others   int
		othersAt time.Duration
		// ill says that the target's health check fails.
		ill bool
		// gone says that another target has its address.
		gone bool
	}
)

// SetDataCentre sets the data centre of this entry host, which policies may
// prefer. It takes effect with the next Update.
func (t *Table) SetDataCentre(name string) {
	t.dataCentre = name
}

// Update replaces the targets by records. What is known of a target stays
// while its incarnation does; a target that is new, started again or newly
// ready takes its full share only after ramp.
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
		s := state{rampFrom: at, rampEnd: at + ramp}
		if j, ok := old.index[r.Target]; ok && old.incarnation[j] == r.Incarnation {
			s = old.state[j]
			if r.State == member.Ready && !wasReady[r.Target] && !s.drains {
				s.rampFrom, s.rampEnd = at, at+ramp
			}
		} else if ok {
			s.inFlight = old.state[j].inFlight
		}
		t.add(r, s)
	}
}

func (t *Table) reset(n int) {
	t.index = make(map[string]int, n)
	t.names = make([]string, 0, n)
	t.addresses = make([]netip.AddrPort, 0, n)
	t.incarnation = make([]uint64, 0, n)
	t.remote = make([]bool, 0, n)
	t.slots = make([]int, 0, n)
	t.dataCentres = make([]string, 0, n)
	t.warmAt = make([]time.Duration, 0, n)
	t.state = make([]state, 0, n)
	t.readyRows = make([]int, 0, n)
	t.cold = 0
}

func (t *Table) add(r *member.Record, s state) {
	i := len(t.names)
	t.index[r.Target] = i
	t.names = append(t.names, r.Target)
	t.addresses = append(t.addresses, r.Address)
	t.incarnation = append(t.incarnation, r.Incarnation)
	t.remote = append(t.remote, t.dataCentre != "" && r.DataCentre != t.dataCentre)
	t.slots = append(t.slots, r.Slots)
	t.dataCentres = append(t.dataCentres, r.DataCentre)
	warm := time.Duration(0)
	if !r.WarmAt.IsZero() {
		warm = r.WarmAt.Sub(t.epoch)
	}
	t.warmAt = append(t.warmAt, warm)
	s.suspect = r.Suspect
	t.state = append(t.state, s)
	if r.State == member.Cold {
		t.cold++
	}
	if r.State == member.Ready && !s.drains {
		t.readyRows = append(t.readyRows, i)
	}
}

// Len returns the number of targets.
func (t *Table) Len() int {
	return len(t.names)
}

// Ready returns the number of targets that take new calls.
func (t *Table) Ready() int {
	return len(t.readyRows)
}

// Cold returns the number of targets that have said they are not yet ready.
func (t *Table) Cold() int {
	return t.cold
}

// Begin counts a call in flight to the target called name.
func (t *Table) Begin(name string, now time.Time) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	s := &t.state[i]
	if s.inFlight == 0 {
		s.progress = t.offset(now)
	}
	s.inFlight++
}

// InFlight returns this entry's calls at all targets.
func (t *Table) InFlight() int {
	n := 0
	for i := range t.state {
		n += t.state[i].inFlight
	}
	return n
}

// Mean returns the moving mean of the answer times of all targets, and 0
// before the first answer.
func (t *Table) Mean() time.Duration {
	return time.Duration(t.mean)
}

// Wake returns the first time after now at which a target that shed may be
// picked again, and false when none has shed.
func (t *Table) Wake(now time.Time) (time.Time, bool) {
	at := t.offset(now)
	first := time.Duration(math.MaxInt64)
	for _, i := range t.readyRows {
		if until := t.state[i].shedUntil; until > at {
			first = min(first, until)
		}
	}
	return t.epoch.Add(first), first < math.MaxInt64
}

// offset returns now as an offset from the table's first time.
func (t *Table) offset(now time.Time) time.Duration {
	if t.epoch.IsZero() {
		t.epoch = now
	}
	return now.Sub(t.epoch)
}
