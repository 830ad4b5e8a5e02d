package slope

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

// rates is what processes of one role spend on control without any call.
type rates struct {
	// mean and most are over the processes of the role.
	meanIn, meanOut, meanCPU float64
	mostBytes, mostCPU       float64
	mostResident             float64
}

const (
	controlEntries = 14
	churnSpacing   = 10 * time.Millisecond
)

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
	return r.report, r.fit()
}

func (r *Runner) controlCost(ctx context.Context, entries, targets int, per string, size int) error {
	return r.withFleet(ctx, entries, targets, 4, func(f *fleet) error {
		// Targets learn a longer interval with their second announcement.
		if err := sleep(ctx, 5*time.Second); err != nil {
			return err
		}
		// The window holds at least one announcement of every target.
		window := max(r.window, min(time.Duration(targets/entries)*time.Second, member.LongestInterval))
		before, err := usages(ctx, f)
		if err != nil {
			return err
		}
		if err = sleep(ctx, window); err != nil {
			return err
		}
		after, err := usages(ctx, f)
		if err != nil {
			return err
		}
		for _, role := range []string{"entry", "control"} {
			s := summarise(before[role], after[role])
			r.add(role+" mean bytes received", per, "kB/s", size, s.meanIn/kilobyte)
			r.add(role+" mean bytes sent", per, "kB/s", size, s.meanOut/kilobyte)
			r.add(role+" most bytes received and sent", per, "kB/s", size, s.mostBytes/kilobyte)
			r.add(role+" mean processor time", per, "% of a core", size, percent*s.meanCPU)
			r.add(role+" most processor time", per, "% of a core", size, percent*s.mostCPU)
			r.add(role+" resident memory", per, "MB", size, s.mostResident/megabyte)
		}
		return nil
	})
}

// usages reads what every process of each role has spent.
func usages(ctx context.Context, f *fleet) (map[string][]usage, error) {
	all := make(map[string][]usage)
	for role, list := range map[string][]*process{"entry": f.entries, "control": f.controls} {
		for _, p := range list {
			u, err := p.usage(ctx)
			if err != nil {
				return nil, err
			}
			all[role] = append(all[role], u)
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
		s.mostResident = max(s.mostResident, after[i].resident)
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

// Churn measures what restarts of targets cost each of 14 entry hosts, at
// several numbers of restarts, 10 ms apart.
func (r *Runner) Churn(ctx context.Context) (Report, error) {
	err := r.withFleet(ctx, controlEntries, 36, 4, func(f *fleet) error {
		incarnation := uint64(1)
		for _, n := range changeSizes {
			before, err := usages(ctx, f)
			if err != nil {
				return err
			}
			for i := range n {
				incarnation++
				if err = f.tell(ctx, i%len(f.entries), restarted(i, incarnation)); err != nil {
					return err
				}
				if err = sleep(ctx, churnSpacing); err != nil {
					return err
				}
			}
			if err = sleep(ctx, settle); err != nil {
				return err
			}
			after, err := usages(ctx, f)
			if err != nil {
				return err
			}
			s := summarise(before["entry"], after["entry"])
			seconds := after["entry"][0].at.Sub(before["entry"][0].at).Seconds()
			r.add("entry mean bytes received", "restarts", "kB", n, s.meanIn*seconds/kilobyte)
			r.add("entry mean bytes sent", "restarts", "kB", n, s.meanOut*seconds/kilobyte)
			r.add("entry mean processor time", "restarts", "ms", n, 1000*s.meanCPU*seconds)
		}
		return nil
	})
	if err != nil {
		return r.report, err
	}
	return r.report, r.fit()
}

func restarted(i int, incarnation uint64) wire.Announcement {
	const restarting = 10
	return wire.Announcement{
		Service: document(0).Name, Target: fmt.Sprintf("restarter-%d", i%restarting), DataCentre: "lab",
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(31000+i%restarting)),
		State:   "ready", Incarnation: incarnation, Slots: 3,
	}
}

// fit fits all lines and shows them.
func (r *Runner) fit() error {
	for _, l := range r.report.Lines {
		if err := l.Fit(); err != nil {
			return err
		}
		fmt.Fprintf(r.progress, "%s per %s: %.4g + %.4g each, %s\n", l.Quantity, l.Per, l.Intercept, l.Slope, l.Unit)
	}
	return nil
}
