package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomspool/io/relay"
)

type (
	// CutOff cuts an entry host off from all targets for the time For, while callers
	// and other hosts still reach it.
	CutOff struct {
		Mode CutMode
		For  time.Duration
	}

	// CutMode says what becomes of the connections from the entry host to the targets.
	CutMode = relay.CutMode

	// cutCounts counts the calls that began at entry hosts that had been cut off for
	// cutContact, while another entry host could carry them.
	cutCounts struct{ calls, unserved int }
)

const (
	// meanCutInterval is the mean time between two cuts.
	meanCutInterval = 6 * time.Second
	maxCutDuration  = 8 * time.Second
	// cutContact is how long after the beginning of a cut calls must be served.
	cutContact = 3 * time.Second
	// Of the calls that must be served, unservedSlack and one in unservedOneIn may not be.
	unservedSlack = 10
	unservedOneIn = 50
)

func (CutOff) fault() {}

// String names the fault, its mode and its duration.
func (f CutOff) String() string {
	return fmt.Sprintf("cut off from targets for %s, connections %s", f.For, f.Mode)
}

// drawCuts draws the cuts of a run of the given length, each of one or more entry hosts but
// not of all, one after another. They have random numbers of their own, so that the other events of a seed stay
// the same.
func (s *Soak) drawCuts(length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(s.seed, 3))
	modes := []CutMode{relay.CutHangs, relay.CutResets, relay.CutRefuses}
	var events []Event
	next := func() time.Duration { return time.Duration(rng.ExpFloat64() * float64(meanCutInterval)) }
	for at := next(); at < length && len(s.entries) > 1; at += next() {
		fault := CutOff{Mode: modes[rng.IntN(len(modes))], For: time.Duration(rng.Int64N(int64(maxCutDuration)))}
		at += fault.For
		for _, i := range rng.Perm(len(s.entries))[:1+rng.IntN(len(s.entries)-1)] {
			events = append(events, Event{At: at - fault.For, Victim: s.entries[i].name, Fault: fault})
		}
	}
	return events
}

// cutOff cuts an entry host off from all targets. It does nothing while it is cut off.
func (s *Soak) cutOff(ctx context.Context, p *process, e Event, f CutOff) {
	if !p.cutMu.TryLock() {
		return
	}
	defer p.cutMu.Unlock()
	s.timeline.addEvent(e)
	p.beginInterval(&p.cuts)
	defer p.endInterval(&p.cuts)
	for _, r := range s.callRelays {
		r.BeginCut(p.source, f.Mode)
	}
	sleep(ctx, f.For)
	for _, r := range s.callRelays {
		r.EndCut(p.source)
	}
}

// checkCuts adds a fault if too many calls were not served at entry hosts that were cut
// off from the targets, while another entry host could carry them.
func (s *Soak) checkCuts(report *Report) {
	var counts cutCounts
	for i := range s.callRecords {
		c := &s.callRecords[i]
		if !s.mustBeCarried(c) {
			continue
		}
		counts.calls++
		if c.err != nil || c.outcome != "" {
			counts.unserved++
		}
	}
	report.CutCalls, report.CutUnserved = counts.calls, counts.unserved
	if allowed := unservedSlack + counts.calls/unservedOneIn; counts.unserved > allowed {
		report.Faults = append(report.Faults, fmt.Sprintf("%d of %d calls were not served at entry hosts cut off from the targets, %d allowed",
			counts.unserved, counts.calls, allowed))
	}
}

// mustBeCarried reports whether a call, with a key that is always valid, began when its entry host had been cut off for
// cutContact, ended before the cut did, and was disturbed by nothing else, while another
// entry host was neither cut off nor disturbed.
func (s *Soak) mustBeCarried(c *callRecord) bool {
	if !c.key.valid || !c.entry.cutThroughout(c.begin.Add(-cutContact), c.end) || c.entry.disturbedAt(c.begin, c.end) || s.targetsDisturbed(c) {
		return false
	}
	return slices.ContainsFunc(s.entries, func(p *process) bool {
		return p != c.entry && !p.disturbedAt(c.begin, c.end) && !p.wasCut(c.begin, c.end) && !s.relaysDisturbed(c, c.entry.name+">"+p.name)
	})
}

// relaysDisturbed reports whether a fault of the relay called name may affect the call.
func (s *Soak) relaysDisturbed(c *callRecord, name string) bool {
	return slices.ContainsFunc(s.relays, func(r *disturbedRelay) bool { return r.name == name && r.disturbedAt(c.begin, c.end) })
}

// cutThroughout reports whether the process was cut off from begin to end.
func (p *process) cutThroughout(begin, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.cuts, func(i interval) bool { return !i.begin.After(begin) && (i.end.IsZero() || !i.end.Before(end)) })
}

// wasCut reports whether the process was cut off at some time from begin to end, or up to
// recoveryTime before begin.
func (p *process) wasCut(begin, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overlaps(p.cuts, begin, end)
}

// disturbedAt reports whether the process was down, frozen or stopping from begin to end,
// or up to recoveryTime before begin.
func (p *process) disturbedAt(begin, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overlaps(p.outages, begin, end) || overlaps(p.stops, begin, end)
}

// disturbedAt reports whether a fault of the relay may affect calls from begin to end.
func (r *disturbedRelay) disturbedAt(begin, end time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return overlaps(r.disturbances, begin, end)
}
