package probe

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/pace"
	"cardamomspool/core/route"
	"cardamomspool/io/telem"
)

type (
	// Func probes one target once, with a request for path, and gives up when ctx
	// ends. For a lost probe it returns route.ProbeLost and the reason as an error.
	Func func(ctx context.Context, target member.Record, path string) (route.Probe, error)

	// Prober probes the targets of one service. Use New.
	Prober struct {
		ctx         context.Context
		cancel      context.CancelFunc
		probeTarget Func
		healthPath  string
		interval    time.Duration
		onReport    func(engine.ProbeReport)
		metrics     *telem.Registry
		log         *slog.Logger

		mu              sync.Mutex
		running         map[member.Key]targetProbe // The probe loops of the targets that are probed.
		callRate        float64                    // Exponentially decayed, in calls per second, as of rateUpdated.
		rateUpdated     time.Time
		longestInterval time.Duration // The longest result of currentInterval since intervalShrunk was made.
		intervalShrunk  chan struct{} // Closed and replaced when the interval has shrunk by more than intervalShrinkFactor.
		throttle        pace.Throttle // Of the probe rate, while this host is late.
	}

	// targetProbe is the running probe loop of one target.
	targetProbe struct {
		incarnation uint64 // The number of the target's last start, as in member.Record.
		stop        context.CancelFunc
	}
)

const (
	// probeTimeout bounds a probe; a health check answers at once unless
	// something is wrong.
	probeTimeout = 250 * time.Millisecond
	// maxProbesPerSecond bounds the probes of one service. Each takes about
	// 0.02 ms of a core, and a control host in production has a quarter of one.
	maxProbesPerSecond = 1300
	// firstProbeTime limits the first probes of targets to 300 a second: each opens a
	// connection, and a control host begins to probe with the first call that it decides.
	// 288 first probes in 0.1 s delayed decisions by 0.2 s.
	firstProbeTime = time.Second / 300
	// maxProbesPerCall bounds the probes of a service by its calls, so that a
	// host that decides about few calls probes less than one that decides about
	// all. Services with long calls need the most probes per call: 14 targets
	// probed ten times a second for 24 calls.
	maxProbesPerCall = 10
	// minProbesPerSecond is the bound for a service with so few calls that
	// maxProbesPerCall would set a lower one.
	minProbesPerSecond = 20
	// callRateTimeConstant is the time in which the call rate decays by a factor
	// of e without further calls.
	callRateTimeConstant = time.Second
	// intervalShrinkFactor is the factor by which the interval must shrink
	// before targets that wait for their next probe are rescheduled.
	intervalShrinkFactor = 2
)

// New returns a prober that requests healthPath from each target every interval,
// or less often where the rate is bounded, until ctx ends or Stop is called.
// onReport receives every result, possibly at the same time from several targets.
func New(ctx context.Context, probeTarget Func, healthPath string, interval time.Duration, onReport func(engine.ProbeReport),
	metrics *telem.Registry, log *slog.Logger,
) *Prober {
	ctx, cancel := context.WithCancel(ctx)
	return &Prober{
		ctx: ctx, cancel: cancel, probeTarget: probeTarget, healthPath: healthPath, interval: interval, onReport: onReport, metrics: metrics, log: log,
		running: make(map[member.Key]targetProbe), intervalShrunk: make(chan struct{}),
	}
}

// SetTargets replaces the targets. Draining and leaving targets, and those that are
// not in records, are no longer probed. A target with a new incarnation is probed
// as a new one.
func (p *Prober) SetTargets(records []member.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[member.Key]uint64, len(records))
	for _, r := range records {
		if r.State <= member.Ready { // Cold or Ready; Draining and Leaving are greater.
			wanted[r.Key] = r.Incarnation
		}
	}
	for key, running := range p.running {
		if incarnation, ok := wanted[key]; !ok || incarnation != running.incarnation {
			running.stop()
			delete(p.running, key)
		}
	}
	var added []member.Record
	for _, r := range records {
		if _, ok := p.running[r.Key]; !ok && r.State <= member.Ready {
			added = append(added, r)
		}
	}
	within := max(p.interval, time.Duration(len(added))*firstProbeTime)
	for _, r := range added {
		ctx, stop := context.WithCancel(p.ctx)
		p.running[r.Key] = targetProbe{incarnation: r.Incarnation, stop: stop}
		go p.run(ctx, r, rand.N(within))
	}
}

// Stop ends all probes.
func (p *Prober) Stop() {
	p.cancel()
}

// RecordCall counts a call of the service that arrived at now. If the probe
// interval, which gets shorter as the call rate rises, is now less than
// 1/intervalShrinkFactor of longestInterval, targets that wait for their next
// probe are probed sooner.
func (p *Prober) RecordCall(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callRate = p.decayedCallRate(now) + 1/callRateTimeConstant.Seconds()
	p.rateUpdated = now
	if interval := p.probeInterval(now); interval < p.longestInterval/intervalShrinkFactor {
		p.longestInterval = interval
		close(p.intervalShrunk)
		p.intervalShrunk = make(chan struct{})
	}
}

// decayedCallRate returns the decayed call rate at now, in calls per second. The
// caller holds mu.
func (p *Prober) decayedCallRate(now time.Time) float64 {
	return p.callRate * math.Exp(-now.Sub(p.rateUpdated).Seconds()/callRateTimeConstant.Seconds())
}

// currentInterval returns the time between two probes of one target, and a channel
// that is closed when that time has become shorter by intervalShrinkFactor.
func (p *Prober) currentInterval(now time.Time) (time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := p.probeInterval(now)
	p.longestInterval = max(p.longestInterval, interval)
	return interval, p.intervalShrunk
}

// probeInterval returns the time between two probes of one target: the
// configured interval, or more where the targets together would exceed
// maxProbesPerSecond or maxProbesPerCall, or while this host is late. The caller holds mu.
func (p *Prober) probeInterval(now time.Time) time.Duration {
	maxRate := min(max(maxProbesPerCall*p.decayedCallRate(now), minProbesPerSecond), maxProbesPerSecond)
	interval := max(p.interval, time.Duration(float64(len(p.running))/maxRate*float64(time.Second)))
	return time.Duration(float64(interval) / p.throttle.Factor())
}

// run probes one target, first after wait, until ctx ends. The interval runs from the start of one
// probe to the start of the next one, which begins at least a quarter of the
// interval after the end of the former, and after the rest that the target asks for.
func (p *Prober) run(ctx context.Context, target member.Record, wait time.Duration) {
	var shrunk <-chan struct{} // The first probe is not made sooner when the interval shrinks.
	for answering := true; ; {
		due, ok := p.waitUntilDue(ctx, wait, shrunk)
		if !ok {
			return
		}
		begin := time.Now()
		p.observeLateness(begin.Sub(due), begin)
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		result, err := p.probeTarget(probeCtx, target, p.healthPath)
		cancel()
		if ctx.Err() != nil {
			return
		}
		p.metrics.Counter("probes").Add(1)
		if err != nil {
			p.metrics.Counter("probes_lost").Add(1)
		}
		switch answers := err == nil; {
		case !answers && p.late():
			// This host has too little processor time to read answers in time.
			p.metrics.Counter("probes_late").Add(1)
		default:
			if answers != answering {
				answering = answers
				p.log.Info("target started or stopped answering probes", "service", target.Service, "target", target.Target,
					"answers", answering, "error", err)
			}
			p.onReport(engine.ProbeReport{Target: target.Target, Probe: result})
		}
		var interval time.Duration
		interval, shrunk = p.currentInterval(time.Now())
		wait = max(interval-time.Since(begin), interval/4)
		if result.Rest > 0 {
			wait, shrunk = max(wait, result.Rest), nil
		}
	}
}

// observeLateness records that a probe began late by the given time at now.
func (p *Prober) observeLateness(late time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.throttle.Factor()
	p.throttle.Observe(late, now)
	if after := p.throttle.Factor(); (before == 1) != (after == 1) {
		p.log.Info("probes are throttled", "throttled", after < 1, "late", late.String())
	}
}

// late reports whether this host is late.
func (p *Prober) late() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.throttle.Late()
}

// waitUntilDue waits until the next probe of a target is due, that is, for wait, and
// returns when that was. When shrunk is closed meanwhile, it starts again, with a random
// part of the new interval if that is shorter than wait. It returns false when ctx ends
// first.
func (p *Prober) waitUntilDue(ctx context.Context, wait time.Duration, shrunk <-chan struct{}) (due time.Time, ok bool) {
	due = time.Now().Add(wait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return due, false
		case <-timer.C:
			return due, true
		case <-shrunk:
			var interval time.Duration
			interval, shrunk = p.currentInterval(time.Now())
			wait = min(wait, rand.N(interval)) // Spreads the probes over the interval.
			due = time.Now().Add(wait)
			timer.Reset(wait)
		}
	}
}
