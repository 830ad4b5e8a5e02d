package route

import "time"

const (
	// slowPaceFactor is the multiple of the mean reported pace from which a target counts
	// as slow. A noisy neighbour makes targets some four times slower, full slots 1.7
	// times.
	slowPaceFactor = 2
	// troubledShare is the share of slow, silent and failing targets from which a data
	// centre counts as in trouble.
	troubledShare = 0.5
)

// IsSlow reports whether a load report that the target called name has sent after since
// says that it is slow.
func (t *Table) IsSlow(name string, since, now time.Time) bool {
	i, ok := t.index[name]
	return ok && t.states[i].reportAt > t.offset(since) && t.slow(i, t.offset(now))
}

// IsSilent reports whether the target called name has ended no call for long or answers no
// probes. It returns true for a target that the table no longer has.
func (t *Table) IsSilent(name string, now time.Time) bool {
	i, ok := t.index[name]
	return !ok || t.silent(i, t.offset(now))
}

// InTrouble reports whether at least the part troubledShare of the ready targets in a data
// centre is slow, silent or failing. It returns false for a data centre without targets.
func (t *Table) InTrouble(dataCentre string, now time.Time) bool {
	at, bad, n := t.offset(now), 0, 0
	for _, i := range t.readyRows {
		if t.dataCentres[i] != dataCentre {
			continue
		}
		n++
		if t.slow(i, at) || t.silent(i, at) || t.states[i].outOfUse(at) {
			bad++
		}
	}
	return n > 0 && float64(bad) >= troubledShare*float64(n)
}

// AppendNames appends the names of the ready targets in a data centre to dst.
func (t *Table) AppendNames(dst []string, dataCentre string) []string {
	for _, i := range t.readyRows {
		if t.dataCentres[i] == dataCentre {
			dst = append(dst, t.names[i])
		}
	}
	return dst
}

// FreeSlots returns the number of free slots of the ready targets and of all their slots,
// for a call with the conditions of q.
func (t *Table) FreeSlots(q Query) (free, slots int) {
	at := t.offset(q.Now)
	for _, i := range t.readyRows {
		s := &t.states[i]
		limit := t.callLimit(i, q)
		slots += limit
		free += max(limit-s.inFlight-s.otherInFlight(at), 0)
	}
	return free, slots
}

// UsableSlots returns what FreeSlots does for the targets that may get a call with the
// conditions of q now, or are only full. Targets that rest, have shed a call or have reached
// a limit have no slots.
func (t *Table) UsableSlots(q Query) (free, slots int) {
	at := t.offset(q.Now)
	for _, i := range t.readyRows {
		s := &t.states[i]
		if s.addressTaken || s.outOfUse(at) || s.shedUntil > at || t.limitReached(s, at) || s.restLeft(q.Host, at) > 0 {
			continue
		}
		limit := t.callLimit(i, q)
		slots += limit
		free += max(limit-s.inFlight-s.otherInFlight(at), 0)
	}
	return free, slots
}

// slow reports whether the target of row i is expected to be slow by its last report.
func (t *Table) slow(i int, at time.Duration) bool {
	s := &t.states[i]
	return s.reported && s.load.Pace > 0 && t.expectedPace(s, at) > slowPaceFactor*(normalPace+t.excessPace)
}

// silent reports whether the target of row i is stalled or answers no probes.
func (t *Table) silent(i int, at time.Duration) bool {
	s := &t.states[i]
	return s.probesLost(at) > 0 || t.stalled(s, at)
}
