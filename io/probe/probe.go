package probe

import (
	"context"
	"log/slog"
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

		mu     sync.Mutex
		active map[member.Key]probed
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
)

// New returns a prober that asks for path every interval until ctx ends.
func New(ctx context.Context, ask Ask, path string, interval time.Duration, report func(engine.Report),
	metrics *telem.Set, log *slog.Logger,
) *Prober {
	ctx, cancel := context.WithCancel(ctx)
	return &Prober{
		ctx: ctx, cancel: cancel, ask: ask, path: path, interval: interval, report: report, metrics: metrics, log: log,
		active: make(map[member.Key]probed),
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

// pace returns the time between two probes of one target: the interval, or
// longer where that many targets would cost more than maxRate.
func (p *Prober) pace() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.interval, time.Duration(len(p.active))*time.Second/maxRate)
}

// run probes one target until ctx ends.
func (p *Prober) run(ctx context.Context, target member.Record) {
	timer := time.NewTimer(rand.N(p.interval))
	defer timer.Stop()
	for answers := true; ; {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
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
		interval := p.pace()
		timer.Reset(max(interval-time.Since(begin), interval/4))
	}
}
