package stub

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

type (
	// Behaviour configures how a stub target misbehaves. The zero value is a
	// healthy target.
	Behaviour struct {
		// NeighbourFactor multiplies service times during noisy periods of a
		// simulated neighbour; 0 means no neighbour.
		NeighbourFactor float64
		// NeighbourDuration is the length of a noisy period.
		NeighbourDuration time.Duration
		// NeighbourInterval is the mean time between two noisy periods.
		NeighbourInterval time.Duration
		// SlowFactor multiplies all service times; 0 means 1.
		SlowFactor float64
		// FailFast makes the target answer every call at once with status 500.
		FailFast bool
		// ColdFactor multiplies service times while the target is cold. It must be
		// set if ColdDuration is: 0 makes these service times 0.
		ColdFactor float64
		// ColdDuration is how long the target is cold after its start.
		ColdDuration time.Duration
		// Limit is the limit that the target names on its answers, in calls a second
		// over all hosts; 0 names none.
		Limit float64
		// ShedShare is the share of calls that the target turns away, from 0 to 1.
		ShedShare float64
		// Rest is the time for which the target asks hosts whose calls it turns away
		// to send none, in whole seconds; 0 asks for none.
		Rest time.Duration
		// Report selects how the target reports its load.
		Report ReportMode
		// ReportLag is the least age of the reported load if Report is ReportLate.
		// As long as no recorded load is as old, the oldest one is reported.
		ReportLag time.Duration
	}

	// ReportMode selects how a target reports its load.
	ReportMode uint8

	// noisyPeriod is a time during which the neighbour is noisy.
	noisyPeriod struct{ from, to time.Time }

	// loadSample is a target's load at a time.
	loadSample struct {
		at   time.Time
		load wire.Load
	}
)

// The modes of load reports.
const (
	// ReportTrue reports the current load.
	ReportTrue ReportMode = iota
	// ReportLate reports the load as it was Behaviour.ReportLag before.
	ReportLate
	// ReportIdle always reports no calls.
	ReportIdle
	// ReportFull always reports that all slots are taken and that as many calls
	// again are queued.
	ReportFull
	// ReportNone sends no load reports.
	ReportNone
)

// ReportModeNames holds the names of the report modes on the command line,
// indexed by mode.
var ReportModeNames = []string{"true", "late", "idle", "full", "none"}

// WithBehaviour sets how the target misbehaves.
func WithBehaviour(b Behaviour) Option {
	return func(t *Target) { t.behaviour = b }
}

// ParseReportMode returns the report mode with the given name, and false if
// there is none.
func ParseReportMode(name string) (ReportMode, bool) {
	i := slices.Index(ReportModeNames, name)
	return ReportMode(max(i, 0)), i >= 0
}

// slowdownFactor returns the factor on service times at now. The caller must hold
// the target's mutex.
func (t *Target) slowdownFactor(now time.Time) float64 {
	b, factor := &t.behaviour, 1.0
	if b.SlowFactor > 0 {
		factor = b.SlowFactor
	}
	if now.Sub(t.started) < b.ColdDuration {
		factor *= b.ColdFactor
	}
	if b.NeighbourFactor > 0 && t.neighbourNoisy(now) {
		factor *= b.NeighbourFactor
	}
	return factor
}

// neighbourNoisy reports whether the neighbour is noisy at now. The times between
// noisy periods are exponentially distributed and drawn from a random generator that
// nothing else uses, so that they do not depend on the calls. The caller must hold
// the target's mutex.
func (t *Target) neighbourNoisy(now time.Time) bool {
	if t.noisyRNG == nil {
		t.noisyRNG = rand.New(rand.NewPCG(t.rng.Uint64(), 1))
		t.nextNoisy = t.drawNoisyPeriod(t.noisyStart)
	}
	for !now.Before(t.nextNoisy.to) {
		t.nextNoisy = t.drawNoisyPeriod(t.nextNoisy.to)
	}
	return !now.Before(t.nextNoisy.from)
}

// drawShed draws whether to turn a call away.
func (t *Target) drawShed() bool {
	if t.behaviour.ShedShare == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64() < t.behaviour.ShedShare
}

// drawNoisyPeriod draws the next noisy period that begins later than after.
func (t *Target) drawNoisyPeriod(after time.Time) noisyPeriod {
	from := after.Add(time.Duration(t.noisyRNG.ExpFloat64() * float64(t.behaviour.NeighbourInterval)))
	return noisyPeriod{from: from, to: from.Add(t.behaviour.NeighbourDuration)}
}

// reportLoad sets the header fields with the target's load and, if it is draining
// or leaving, its state. ownSlots is the number of slots that the answered call still
// holds; they are not reported as taken.
func (t *Target) reportLoad(w http.ResponseWriter, ownSlots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state >= member.Draining {
		w.Header().Set(wire.HeaderState, t.state.String())
	}
	if limit := t.behaviour.Limit; limit > 0 {
		w.Header().Set(wire.HeaderLimit, wire.Limit{Named: true, Rate: limit}.String())
	}
	load := wire.Load{Running: max(len(t.running)-ownSlots, 0), Queued: t.waiting, Slots: t.slots}
	switch t.behaviour.Report {
	case ReportNone:
		return
	case ReportIdle:
		load.Running, load.Queued = 0, 0
	case ReportFull:
		load.Running, load.Queued = t.slots, t.slots
	case ReportLate:
		load = t.delayedLoad(load, time.Now())
	}
	w.Header().Set(wire.HeaderLoad, load.String())
}

// delayedLoad records load, the load at now, and returns the newest one that was
// recorded at least ReportLag before, or the oldest one if none is as old.
func (t *Target) delayedLoad(load wire.Load, now time.Time) wire.Load {
	t.loadHistory = append(t.loadHistory, loadSample{at: now, load: load})
	for len(t.loadHistory) > 1 && !t.loadHistory[1].at.After(now.Add(-t.behaviour.ReportLag)) {
		t.loadHistory = t.loadHistory[1:]
	}
	return t.loadHistory[0].load
}

// reseed restarts all random draws from the seed in the request's query, and the noisy
// periods from now, so that policies can be compared under the same noisy periods.
func (t *Target) reseed(w http.ResponseWriter, r *http.Request) {
	seed, err := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	if err != nil {
		http.Error(w, "seed must be a number", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rng = rand.New(rand.NewPCG(seed, 0))
	t.noisyRNG = nil
	t.noisyStart = time.Now()
	w.WriteHeader(http.StatusNoContent)
}
