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
	"cardamomspool/core/route"
	"cardamomspool/io/telem"
)

type (
	// Ask probes one target once, within the time of ctx. A probe that is lost
	// comes with the reason.
	Ask func(ctx context.Context, target member.Record, path string) (route.Probe, error)

	// Prober probes the targets of one service. Use New.
	Prober struct {
		ctx      context.Context
		cancel   context.CancelFunc
		ask      Ask
		path     string
		interval time.Duration
		report   func(engine.Report)
		metrics  *telem.Set
		log      *slog.Logger

		mu      sync.Mutex
		active  map[member.Key]probed
		calls   float64 // The moving rate of calls a second, as of since.
		since   time.Time
		longest time.Duration // The greatest result of pace since sooner was made.
		sooner  chan struct{} // Closed when pace has become much shorter.
	}

	// probed is a target that is being probed.
	probed struct {
		incarnation uint64
		stop        context.CancelFunc
	}
)

const (
	// timeout bounds a probe; a target's health check answers at once unless
	// something is wrong.
	timeout = 250 * time.Millisecond
	// maxRate is the most probes a second of one service; each takes some
	// 0.02 ms of a core, of which a control host of the users has a quarter.
	maxRate = 1300
	// probesPerCall bounds the probes of a service by its calls, so that a host
	// that decides for a few strays only does not probe like one that decides
	// for all. Services of long calls need the most: 14 targets probed ten times
	// a second for 24 calls.
	probesPerCall = 10
	// leastRate is the least bound, in probes a second.
	leastRate = 20
	// callMemory is the time over which the rate of calls is taken.
	callMemory = time.Second
	// paceStep is by how much the time between probes must shrink for waiting
	// targets to be due sooner.
	paceStep = 2
)

// New returns a prober that asks for path every interval until ctx ends.
func New(ctx context.Context, ask Ask, path string, interval time.Duration, report func(engine.Report),
	metrics *telem.Set, log *slog.Logger,
) *Prober {
	ctx, cancel := context.WithCancel(ctx)
	return &Prober{
		ctx: ctx, cancel: cancel, ask: ask, path: path, interval: interval, report: report, metrics: metrics, log: log,
		active: make(map[member.Key]probed), sooner: make(chan struct{}),
	}
}

// SetTargets replaces the targets. Those that leave are probed no longer.
func (p *Prober) SetTargets(records []member.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[member.Key]uint64, len(records))
	for _, r := range records {
		if r.State <= member.Ready {
			keep[r.Key] = r.Incarnation
		}
	}
	for key, v := range p.active {
		if incarnation, ok := keep[key]; !ok || incarnation != v.incarnation {
			v.stop()
			delete(p.active, key)
		}
	}
	for _, r := range records {
		if _, ok := p.active[r.Key]; ok || r.State > member.Ready {
			continue
		}
		ctx, stop := context.WithCancel(p.ctx)
		p.active[r.Key] = probed{incarnation: r.Incarnation, stop: stop}
		go p.run(ctx, r)
	}
}

// Stop ends all probes.
func (p *Prober) Stop() {
	p.cancel()
}

// Called notes a call of the service. When calls come much faster than before,
// targets that wait for their next probe wait less.
func (p *Prober) Called(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = p.rate(now) + 1/callMemory.Seconds()
	p.since = now
	if next := p.spacing(now); next < p.longest/paceStep {
		p.longest = next
		close(p.sooner)
		p.sooner = make(chan struct{})
	}
}

// rate returns the moving rate of calls a second. The caller holds mu.
func (p *Prober) rate(now time.Time) float64 {
	return p.calls * math.Exp(-now.Sub(p.since).Seconds()/callMemory.Seconds())
}

// pace returns the time between two probes of one target, and a channel that is
// closed when that has become much shorter.
func (p *Prober) pace(now time.Time) (time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.spacing(now)
	p.longest = max(p.longest, next)
	return next, p.sooner
}

// spacing returns the time between two probes of one target: the interval, or
// longer where that many targets would cost more than maxRate, or more than
// the calls are worth. The caller holds mu.
func (p *Prober) spacing(now time.Time) time.Duration {
	bound := min(max(probesPerCall*p.rate(now), leastRate), maxRate)
	return max(p.interval, time.Duration(float64(len(p.active))/bound*float64(time.Second)))
}

// run probes one target until ctx ends.
func (p *Prober) run(ctx context.Context, target member.Record) {
	wait := rand.N(p.interval)
	_, sooner := p.pace(time.Now())
	for answers := true; p.await(ctx, wait, sooner); {
		begin := time.Now()
		limited, cancel := context.WithTimeout(ctx, timeout)
		result, err := p.ask(limited, target, p.path)
		cancel()
		if ctx.Err() != nil {
			return
		}
		p.metrics.Count("probes").Add(1)
		if err != nil {
			p.metrics.Count("probes_lost").Add(1)
		}
		if now := err == nil; now != answers {
			answers = now
			p.log.Info("target answers probes or does so no longer", "service", target.Service, "target", target.Target,
				"answers", answers, "error", err)
		}
		p.report(engine.Report{Target: target.Target, Probe: result})
		var interval time.Duration
		interval, sooner = p.pace(time.Now())
		wait = max(interval-time.Since(begin), interval/4)
	}
}

// await waits until a target is due, less when sooner is closed, and reports
// false when ctx ends first.
func (p *Prober) await(ctx context.Context, wait time.Duration, sooner <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-sooner:
			var next time.Duration
			next, sooner = p.pace(time.Now())
			wait = min(wait, rand.N(next)) // Spreads the targets.
			timer.Reset(wait)
		}
	}
}
