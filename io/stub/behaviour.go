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
	// Behaviour is what a stand-in target does wrong. The zero value does
	// nothing wrong.
	Behaviour struct {
		// NeighbourFactor multiplies service times while a neighbour is noisy;
		// 0 means no neighbour.
		NeighbourFactor float64
		// NeighbourSpan is how long a neighbour is noisy at a time.
		NeighbourSpan time.Duration
		// NeighbourEvery is the mean time between two noisy spells.
		NeighbourEvery time.Duration
		// Slower multiplies all service times; 0 means 1.
		Slower float64
		// FailFast answers every call at once with an error.
		FailFast bool
		// ColdFactor multiplies service times in the first ColdSpan.
		ColdFactor float64
		// ColdSpan is how long a target is cold after its start.
		ColdSpan time.Duration
		// Report says how truthful load reports are.
		Report Report
		// ReportLag is how old reports are with Report set to ReportLate.
		ReportLag time.Duration
	}

	// Report is how truthful load reports are.
	Report uint8

	// spell is a time in which a neighbour is noisy.
	spell struct{ from, to time.Time }

	// pastLoad is a target's load at an earlier time.
	pastLoad struct {
		at   time.Time
		load wire.Load
	}
)

// The kinds of reports.
const (
	// ReportTrue tells the load as it is.
	ReportTrue Report = iota
	// ReportLate tells the load of some time ago.
	ReportLate
	// ReportIdle always claims that nothing runs.
	ReportIdle
	// ReportFull always claims that all slots are taken.
	ReportFull
	// ReportNone sends no reports.
	ReportNone
)

// ReportNames names the kinds of reports on the command line, in order.
var ReportNames = []string{"true", "late", "idle", "full", "none"}

// WithBehaviour sets what the target does wrong.
func WithBehaviour(b Behaviour) Option {
	return func(t *Target) { t.behaviour = b }
}

// ParseReport returns the kind of report with the given name.
func ParseReport(name string) (Report, bool) {
	i := slices.Index(ReportNames, name)
	return Report(max(i, 0)), i >= 0
}

// slowdown returns the factor on service times at now. The caller holds the
// target's mutex.
func (t *Target) slowdown(now time.Time) float64 {
	b, factor := &t.behaviour, 1.0
	if b.Slower > 0 {
		factor = b.Slower
	}
	if now.Sub(t.started) < b.ColdSpan {
		factor *= b.ColdFactor
	}
	if b.NeighbourFactor > 0 && t.noisy(now) {
		factor *= b.NeighbourFactor
	}
	return factor
}

// noisy reports whether the neighbour is noisy at now; spells come at
// exponential intervals from a generator of their own, so that they do not
// depend on the calls.
func (t *Target) noisy(now time.Time) bool {
	if t.spells == nil {
		t.spells = rand.New(rand.NewPCG(t.rng.Uint64(), 1))
		t.next = t.nextSpell(t.spellsFrom)
	}
	for !now.Before(t.next.to) {
		t.next = t.nextSpell(t.next.to)
	}
	return !now.Before(t.next.from)
}

func (t *Target) nextSpell(after time.Time) spell {
	from := after.Add(time.Duration(t.spells.ExpFloat64() * float64(t.behaviour.NeighbourEvery)))
	return spell{from: from, to: from.Add(t.behaviour.NeighbourSpan)}
}

// reportLoad sets the headers that tell of the target's load and state. The
// answered call holds own slots.
func (t *Target) reportLoad(w http.ResponseWriter, own int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state >= member.Draining {
		w.Header().Set(wire.HeaderState, t.state.String())
	}
	load := wire.Load{Running: max(len(t.running)-own, 0), Queued: t.waiting, Slots: t.slots}
	switch t.behaviour.Report {
	case ReportNone:
		return
	case ReportIdle:
		load.Running, load.Queued = 0, 0
	case ReportFull:
		load.Running, load.Queued = t.slots, t.slots
	case ReportLate:
		load = t.earlier(load, time.Now())
	}
	w.Header().Set(wire.HeaderLoad, load.String())
}

// earlier notes the present load and returns the one of ReportLag ago.
func (t *Target) earlier(load wire.Load, now time.Time) wire.Load {
	t.past = append(t.past, pastLoad{at: now, load: load})
	for len(t.past) > 1 && !t.past[1].at.After(now.Add(-t.behaviour.ReportLag)) {
		t.past = t.past[1:]
	}
	return t.past[0].load
}

// reseed starts all random draws anew, so that policies can be compared under
// the same spells.
func (t *Target) reseed(w http.ResponseWriter, r *http.Request) {
	seed, err := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	if err != nil {
		http.Error(w, "seed must be a number", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rng = rand.New(rand.NewPCG(seed, 0))
	t.spells = nil
	t.spellsFrom = time.Now()
	w.WriteHeader(http.StatusNoContent)
}
