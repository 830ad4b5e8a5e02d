package slope

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

// controlCost is the resource use of the processes of one role, entry or control,
// while there are no calls. The means and maxima are over these processes.
type controlCost struct {
	// meanIn and meanOut are the received and sent traffic in bytes per second,
	// meanCPU is the processor time in cores.
	meanIn, meanOut, meanCPU float64
	// maxBytes and maxCPU are those of the process with the greatest value:
	// received and sent traffic together in bytes per second, and processor time in
	// cores.
	maxBytes, maxCPU float64
	// maxResident is the greatest resident memory of a process, in bytes.
	maxResident float64
}

const (
	// controlEntryHosts is the number of entry hosts unless their number varies.
	controlEntryHosts = 14
	// restartInterval is the time between two restarts of targets.
	restartInterval = 10 * time.Millisecond
)

// controlTargetSizes are the numbers of targets with which ControlCost measures.
var controlTargetSizes = []int{0, 36, 240, 940}

// ControlCost measures the resource use of every process while there are no
// calls and no changes: with 14 entry hosts and several numbers of targets, and
// with 36 targets and several numbers of entry hosts.
func (r *Runner) ControlCost(ctx context.Context) (Report, error) {
	for _, n := range controlTargetSizes {
		if err := r.measureControl(ctx, controlEntryHosts, n, "targets", n); err != nil {
			return r.report, err
		}
	}
	for _, n := range entrySizes {
		if err := r.measureControl(ctx, n, 36, "entries", n); err != nil {
			return r.report, err
		}
	}
	return r.report, r.fitLines()
}

// measureControl measures the resource use of all processes of a fleet with the given
// numbers of entry hosts and targets, and adds points at size, which is the one of these
// numbers that varies. The argument per names what it counts, "targets" or "entries".
func (r *Runner) measureControl(ctx context.Context, entries, targets int, per string, size int) error {
	return r.withFleet(ctx, entries, targets, 4, func(f *fleet) error {
		// A target learns a longer announce interval with the reply to its second
		// announcement.
		if err := sleep(ctx, 5*time.Second); err != nil {
			return err
		}
		// The window covers at least one announcement of every target.
		window := max(r.window, min(time.Duration(targets/entries)*time.Second, member.MaxInterval))
		before, err := readUsages(ctx, f)
		if err != nil {
			return err
		}
		if err = sleep(ctx, window); err != nil {
			return err
		}
		after, err := readUsages(ctx, f)
		if err != nil {
			return err
		}
		for _, role := range []string{"entry", "control"} {
			s := summarise(before[role], after[role])
			r.addPoint(role+" mean bytes received", per, "kB/s", size, s.meanIn/kilobyte)
			r.addPoint(role+" mean bytes sent", per, "kB/s", size, s.meanOut/kilobyte)
			r.addPoint(role+" most bytes received and sent", per, "kB/s", size, s.maxBytes/kilobyte)
			r.addPoint(role+" mean processor time", per, "% of a core", size, percent*s.meanCPU)
			r.addPoint(role+" most processor time", per, "% of a core", size, percent*s.maxCPU)
			r.addPoint(role+" resident memory", per, "MB", size, s.maxResident/megabyte)
		}
		return nil
	})
}

// readUsages reads the resource use of all processes, by role: "entry" or "control".
func readUsages(ctx context.Context, f *fleet) (map[string][]usage, error) {
	all := make(map[string][]usage)
	for role, list := range map[string][]*process{"entry": f.entries, "control": f.controls} {
		for _, p := range list {
			u, err := p.readUsage(ctx)
			if err != nil {
				return nil, err
			}
			all[role] = append(all[role], u)
		}
	}
	return all, nil
}

// summarise returns the resource use of the processes of a role between two readings,
// which are in the same order.
func summarise(before, after []usage) controlCost {
	var s controlCost
	n := float64(len(after))
	for i := range after {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		in := (after[i].bytesIn - before[i].bytesIn) / seconds
		out := (after[i].bytesOut - before[i].bytesOut) / seconds
		cpu := (after[i].cpu - before[i].cpu).Seconds() / seconds
		s.meanIn += in / n
		s.meanOut += out / n
		s.meanCPU += cpu / n
		s.maxBytes = max(s.maxBytes, in+out)
		s.maxCPU = max(s.maxCPU, cpu)
		s.maxResident = max(s.maxResident, after[i].resident)
	}
	return s
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// RestartCost measures the resource use of 14 entry hosts during 10, 100 and 500 restarts
// of targets, which are 10 ms apart, and during settleTime after them.
func (r *Runner) RestartCost(ctx context.Context) (Report, error) {
	err := r.withFleet(ctx, controlEntryHosts, 36, 4, func(f *fleet) error {
		incarnation := uint64(1)
		for _, n := range changeSizes {
			before, err := readUsages(ctx, f)
			if err != nil {
				return err
			}
			for i := range n {
				incarnation++
				if err = f.sendAnnouncement(ctx, i%len(f.entries), restartAnnouncement(i, incarnation)); err != nil {
					return err
				}
				if err = sleep(ctx, restartInterval); err != nil {
					return err
				}
			}
			if err = sleep(ctx, settleTime); err != nil {
				return err
			}
			after, err := readUsages(ctx, f)
			if err != nil {
				return err
			}
			s := summarise(before["entry"], after["entry"])
			seconds := after["entry"][0].at.Sub(before["entry"][0].at).Seconds()
			r.addPoint("entry mean bytes received", "restarts", "kB", n, s.meanIn*seconds/kilobyte)
			r.addPoint("entry mean bytes sent", "restarts", "kB", n, s.meanOut*seconds/kilobyte)
			r.addPoint("entry mean processor time", "restarts", "ms", n, 1000*s.meanCPU*seconds)
		}
		return nil
	})
	if err != nil {
		return r.report, err
	}
	return r.report, r.fitLines()
}

// restartAnnouncement returns the announcement that a target sends after the i-th
// restart. Ten targets restart in turn. The incarnation must be higher after each
// restart.
func restartAnnouncement(i int, incarnation uint64) wire.Announcement {
	const restartingTargets = 10
	return wire.Announcement{
		Service: document(0).Name, Target: fmt.Sprintf("restarter-%d", i%restartingTargets), DataCentre: "lab",
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(31000+i%restartingTargets)),
		State:   "ready", Incarnation: incarnation, Slots: 3,
	}
}

// fitLines fits the lines of all quantities and writes them to the progress writer.
func (r *Runner) fitLines() error {
	for _, l := range r.report.Lines {
		if err := l.Fit(); err != nil {
			return err
		}
		fmt.Fprintf(r.progress, "%s per %s: %.4g + %.4g each, %s\n", l.Quantity, l.Per, l.Intercept, l.Slope, l.Unit)
	}
	return nil
}
