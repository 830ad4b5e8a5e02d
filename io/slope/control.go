package slope

import (
	"context"
	"fmt"
	"time"
)

// rates is what processes of one role spend on control without any call.
type rates struct {
	// mean and most are over the processes of the role.
	meanIn, meanOut, meanCPU float64
	mostBytes, mostCPU       float64
}

const controlEntries = 14

var controlTargetSizes = []int{0, 36, 240, 940}

// Control measures what control costs every process while no calls and no
// changes are made: at 14 entry hosts for several numbers of targets, and at
// 36 targets for several numbers of entry hosts.
func (r *Runner) Control(ctx context.Context) (Report, error) {
	for _, n := range controlTargetSizes {
		if err := r.controlCost(ctx, controlEntries, n, "targets", n); err != nil {
			return r.report, err
		}
	}
	for _, n := range entrySizes {
		if err := r.controlCost(ctx, n, 36, "entries", n); err != nil {
			return r.report, err
		}
	}
	for _, l := range r.report.Lines {
		if err := l.Fit(); err != nil {
			return r.report, err
		}
		fmt.Fprintf(r.progress, "%s per %s: %.4g + %.4g each, %s\n", l.Quantity, l.Per, l.Intercept, l.Slope, l.Unit)
	}
	return r.report, nil
}

func (r *Runner) controlCost(ctx context.Context, entries, targets int, per string, size int) error {
	return r.withFleet(ctx, entries, targets, 4, func(f *fleet) error {
		// Targets learn a longer interval with their second announcement.
		if err := sleep(ctx, 5*time.Second); err != nil {
			return err
		}
		for role, list := range map[string][]*process{"entry": f.entries, "control": f.controls} {
			before, err := usages(ctx, list)
			if err != nil {
				return err
			}
			if err = sleep(ctx, r.window); err != nil {
				return err
			}
			after, err := usages(ctx, list)
			if err != nil {
				return err
			}
			s := summarise(before, after)
			r.add(role+" mean bytes received", per, "kB/s", size, s.meanIn/kilobyte)
			r.add(role+" mean bytes sent", per, "kB/s", size, s.meanOut/kilobyte)
			r.add(role+" most bytes received and sent", per, "kB/s", size, s.mostBytes/kilobyte)
			r.add(role+" mean processor time", per, "% of a core", size, percent*s.meanCPU)
			r.add(role+" most processor time", per, "% of a core", size, percent*s.mostCPU)
		}
		return nil
	})
}

func usages(ctx context.Context, list []*process) ([]usage, error) {
	all := make([]usage, len(list))
	for i, p := range list {
		var err error
		if all[i], err = p.usage(ctx); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func summarise(before, after []usage) rates {
	var s rates
	n := float64(len(after))
	for i := range after {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		in := (after[i].bytesIn - before[i].bytesIn) / seconds
		out := (after[i].bytesOut - before[i].bytesOut) / seconds
		cpu := (after[i].cpu - before[i].cpu).Seconds() / seconds
		s.meanIn += in / n
		s.meanOut += out / n
		s.meanCPU += cpu / n
		s.mostBytes = max(s.mostBytes, in+out)
		s.mostCPU = max(s.mostCPU, cpu)
	}
	return s
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
