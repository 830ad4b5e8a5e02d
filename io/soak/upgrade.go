package soak

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultUpgradePause is the time between the replacements of two hosts, unless WithUpgradePause
	// sets it. Hosts of both versions serve side by side for that long, and for the second that a
	// graceful stop takes (entryDrainDelay).
	DefaultUpgradePause = time.Second
	upgradeCalls        = 1_000_000 // More than are made until all hosts are replaced.
)

// WithUpgradePause sets the time between the replacements of two hosts of an Upgrade.
func WithUpgradePause(d time.Duration) Option {
	return func(s *Soak) { s.upgradePause = d }
}

// NewUpgrade returns a test that replaces the hosts of a small fleet one after another, during
// calls and changes of the plan: from the executable at the path from by the one at to, control
// hosts first, and back in the reverse order. The plan has no accounts.
func NewUpgrade(from, to, folder string, opts ...Option) *Upgrade {
	opts = append([]Option{WithSize(fleetSeeds, fleetEntries, fleetTargets), WithCalls(upgradeCalls), WithUpgradePause(DefaultUpgradePause)}, opts...)
	u := &Upgrade{Fleet: NewFleet(from, folder, opts...), from: from, to: to}
	u.plain = true
	return u
}

// Upgrade replaces the hosts of a fleet while it serves calls. Use NewUpgrade to create it.
type Upgrade struct {
	*Fleet
	from, to string
}

// Run replaces all hosts, there and back, and returns the report. It returns ErrFaults if a call
// was lost, answered 404, ran twice or was wrongly reported as not run, or a plan was lost.
func (u *Upgrade) Run(ctx context.Context) (Report, error) {
	return u.run(ctx, func(ctx context.Context) error {
		hosts := u.processes()
		for _, p := range hosts {
			if err := u.replace(ctx, p, u.to); err != nil {
				return err
			}
		}
		slices.Reverse(hosts)
		for _, p := range hosts {
			if err := u.replace(ctx, p, u.from); err != nil {
				return err
			}
		}
		sleep(ctx, u.upgradePause)
		return nil
	})
}

// replace stops a host gracefully, starts it with another executable and waits until it is ready.
func (u *Upgrade) replace(ctx context.Context, p *process, program string) error {
	sleep(ctx, u.upgradePause)
	u.timeline.add("%s: replaced by %s", p.name, program)
	p.args[0] = program
	if err := u.stopAndStart(p); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !u.isReady(ctx, p) {
		if !sleep(ctx, pollInterval) {
			return errors.Errorf("soak: %s was not ready within %s after its replacement", p.name, startTimeout)
		}
	}
	return nil
}
