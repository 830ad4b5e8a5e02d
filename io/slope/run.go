package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/io/load"
)

type (
	// Report is the result of all measurements.
	Report struct {
		// CPUs is the number of processors of the machine.
		CPUs int `json:"cpus"`
		// Go is the version of the toolchain.
		Go string `json:"go"`
		// Lines are the fitted lines.
		Lines []*Line `json:"lines"`
	}

	// Runner measures slopes. Use New.
	Runner struct {
		binary   string
		window   time.Duration
		sweeps   []string
		progress io.Writer
		report   Report
	}

	// Option sets one property of a Runner.
	Option func(*Runner)

	// measurement is one sweep over sizes.
	measurement struct {
		name string
		run  func(ctx context.Context) error
	}
)

const (
	defaultWindow  = 10 * time.Second
	sweepInterval  = time.Second
	settle         = 2 * time.Second
	kilobyte       = 1000.0
	megabyte       = 1e6
	percent        = 100.0
	entriesOfSweep = 2
	callTargets    = 4
)

var (
	targetSizes  = []int{36, 240, 940}
	serviceSizes = []int{4, 16, 61}
	entrySizes   = []int{4, 14, 40}
	changeSizes  = []int{10, 100, 500}
	rateSizes    = []int{250, 500, 1000, 2000}
)

// WithWindow sets the time over which the use of each process is averaged.
func WithWindow(d time.Duration) Option {
	return func(r *Runner) { r.window = d }
}

// WithSweeps restricts the measurements to the named ones: targets, services,
// entries, changes and calls.
func WithSweeps(names ...string) Option {
	return func(r *Runner) { r.sweeps = names }
}

// WithProgress sets where progress is shown; the default is standard error.
func WithProgress(w io.Writer) Option {
	return func(r *Runner) { r.progress = w }
}

// New returns a Runner for the product's binary at the given path.
func New(binary string, opts ...Option) *Runner {
	r := &Runner{binary: binary, window: defaultWindow, progress: os.Stderr}
	r.report = Report{CPUs: runtime.NumCPU(), Go: runtime.Version()}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Run takes all measurements, one after the other, and fits the lines. It
// fails when a process does not start or a change is not accepted.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	sweeps := []measurement{
		{"targets", r.targets},
		{"services", r.services},
		{"entries", r.entries},
		{"changes", r.changes},
		{"calls", r.calls},
	}
	for _, sweep := range sweeps {
		if len(r.sweeps) > 0 && !slices.Contains(r.sweeps, sweep.name) {
			continue
		}
		if err := sweep.run(ctx); err != nil {
			return r.report, err
		}
	}
	for _, l := range r.report.Lines {
		if err := l.Fit(); err != nil {
			return r.report, errors.Wrap(err, l.Quantity)
		}
	}
	return r.report, nil
}

// Write puts the report into slopes.json and one SVG per line into folder.
func (r *Report) Write(folder string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "slope")
	}
	if err = os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "slope")
	}
	if err = os.WriteFile(filepath.Join(folder, "slopes.json"), append(data, '\n'), fileMode); err != nil {
		return errors.Wrap(err, "slope")
	}
	for _, l := range r.Lines {
		name := strings.ReplaceAll(l.Quantity+" per "+l.Per, " ", "-") + ".svg"
		if err = l.Plot(filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// add records one measurement on the line of its quantity.
func (r *Runner) add(quantity, per, unit string, size int, value float64) {
	i := slices.IndexFunc(r.report.Lines, func(l *Line) bool { return l.Quantity == quantity && l.Per == per })
	if i < 0 {
		i = len(r.report.Lines)
		r.report.Lines = append(r.report.Lines, &Line{Quantity: quantity, Per: per, Unit: unit})
	}
	l := r.report.Lines[i]
	l.Points = append(l.Points, Point{Size: float64(size), Value: value})
	fmt.Fprintf(r.progress, "%s at %d %s: %.4g %s\n", quantity, size, per, value, unit)
}

// observe averages the use of a process over the window and records it.
func (r *Runner) observe(ctx context.Context, p *process, role, per string, size int) error {
	var (
		before, after usage
		err           error
	)
	if before, err = p.usage(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.window):
	}
	if after, err = p.usage(ctx); err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	r.add(role+" processor time", per, "% of a core", size, percent*(after.cpu-before.cpu).Seconds()/seconds)
	r.add(role+" resident memory", per, "MB", size, after.resident/megabyte)
	r.add(role+" control traffic received", per, "kB/s", size, (after.bytesIn-before.bytesIn)/kilobyte/seconds)
	r.add(role+" control traffic sent", per, "kB/s", size, (after.bytesOut-before.bytesOut)/kilobyte/seconds)
	return nil
}

// observeBoth observes an entry host and a control host at once.
func (r *Runner) observeBoth(ctx context.Context, f *fleet, per string, size int) error {
	control := &Runner{window: r.window, progress: io.Discard}
	done := make(chan error, 1)
	go func() { done <- control.observe(ctx, f.controls[0], "control", per, size) }()
	if err := r.observe(ctx, f.entries[0], "entry", per, size); err != nil {
		return err
	}
	if err := <-done; err != nil {
		return err
	}
	for _, l := range control.report.Lines {
		r.add(l.Quantity, l.Per, l.Unit, size, l.Points[0].Value)
	}
	return nil
}

// withFleet runs f with a fleet, targets and services of the given numbers.
func (r *Runner) withFleet(ctx context.Context, entries, targets, services int, f func(*fleet) error) error {
	fl, err := startFleet(ctx, r.binary, entries, sweepInterval)
	if err != nil {
		return err
	}
	defer fl.stop()
	for i := 1; i < services; i++ {
		if err = fl.apply(ctx, document(i), 0, "first"); err != nil {
			return err
		}
	}
	announcing, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	fl.announce(announcing, &group, targets, services)
	if err = fl.waitVar(ctx, "targets", float64(targets)); err != nil {
		return err
	}
	if err = fl.waitVar(ctx, "services", float64(services)); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(settle):
	}
	return f(fl)
}

func (r *Runner) targets(ctx context.Context) error {
	for _, n := range targetSizes {
		if err := r.withFleet(ctx, entriesOfSweep, n, 4, func(f *fleet) error {
			return r.observeBoth(ctx, f, "targets", n)
		}); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) services(ctx context.Context) error {
	for _, n := range serviceSizes {
		if err := r.withFleet(ctx, entriesOfSweep, 36, n, func(f *fleet) error {
			return r.observeBoth(ctx, f, "services", n)
		}); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) entries(ctx context.Context) error {
	for _, n := range entrySizes {
		if err := r.withFleet(ctx, n, 36, 4, func(f *fleet) error {
			return r.observeBoth(ctx, f, "entries", n)
		}); err != nil {
			return err
		}
	}
	return nil
}

// changes measures the time from a change's request until every entry host
// has it in force, and the processor time that each change costs.
func (r *Runner) changes(ctx context.Context) error {
	return r.withFleet(ctx, 14, 36, 4, func(f *fleet) error {
		revision := uint64(1)
		for _, n := range changeSizes {
			if err := r.changeSweep(ctx, f, n, &revision); err != nil {
				return err
			}
		}
		return nil
	})
}

func (r *Runner) changeSweep(ctx context.Context, f *fleet, n int, revision *uint64) error {
	before, after := make([]usage, 2), make([]usage, 2)
	if err := readBoth(ctx, f, before); err != nil {
		return err
	}
	var times []time.Duration
	doc := document(0)
	for i := range n {
		doc.Hold.Length = 1 + i
		begin := time.Now()
		if err := f.apply(ctx, doc, *revision, fmt.Sprintf("change-%d", *revision)); err != nil {
			return err
		}
		times = append(times, time.Since(begin))
		*revision++
	}
	if err := readBoth(ctx, f, after); err != nil {
		return err
	}
	slices.Sort(times)
	r.add("time to accept a change at p50", "changes", "ms", n, load.Quantile(times, 0.5))
	r.add("time to accept a change at p99", "changes", "ms", n, load.Quantile(times, 0.99))
	for i, role := range []string{"entry", "control"} {
		r.add(role+" processor time spent", "changes", "ms", n, 1000*(after[i].cpu-before[i].cpu).Seconds())
		r.add(role+" bytes received", "changes", "kB", n, (after[i].bytesIn-before[i].bytesIn)/kilobyte)
		r.add(role+" bytes sent", "changes", "kB", n, (after[i].bytesOut-before[i].bytesOut)/kilobyte)
	}
	return nil
}

// readBoth reads the use of the first entry host and the first control host.
func readBoth(ctx context.Context, f *fleet, dst []usage) error {
	for i, p := range []*process{f.entries[0], f.controls[0]} {
		var err error
		if dst[i], err = p.usage(ctx); err != nil {
			return err
		}
	}
	return nil
}

// calls measures the processor time of one entry host at rising rates, and
// the time that it adds to a call. The targets answer at once.
func (r *Runner) calls(ctx context.Context) error {
	return r.withFleet(ctx, 1, 0, 1, func(f *fleet) error {
		running, cancel := context.WithCancel(ctx)
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		direct, err := f.startTargets(running, &group, callTargets)
		if err != nil {
			return err
		}
		if err := f.waitVar(ctx, "targets", callTargets); err != nil {
			return err
		}
		for _, rate := range rateSizes {
			if err := r.callSweep(ctx, f, rate, direct); err != nil {
				return err
			}
		}
		return nil
	})
}

// callSweep sends the same load to the targets and through the entry host.
func (r *Runner) callSweep(ctx context.Context, f *fleet, rate int, direct []string) error {
	calls := int(float64(rate) * r.window.Seconds())
	through := []string{fmt.Sprintf("http://%s/service-0/", f.settings[0].CallAddress)}
	straight := load.New(direct, calls, load.WithRate(float64(rate))).Run(ctx)
	before, err := f.entries[0].usage(ctx)
	if err != nil {
		return err
	}
	sum := load.New(through, calls, load.WithRate(float64(rate))).Run(ctx)
	after, err := f.entries[0].usage(ctx)
	if err != nil {
		return err
	}
	if sum.Answered != calls || straight.Answered != calls {
		return errors.Errorf("slope: only %d and %d of %d calls were answered", straight.Answered, sum.Answered, calls)
	}
	seconds := after.at.Sub(before.at).Seconds()
	r.add("entry processor time", "calls a second", "% of a core", rate, percent*(after.cpu-before.cpu).Seconds()/seconds)
	r.add("entry resident memory", "calls a second", "MB", rate, after.resident/megabyte)
	r.add("time added at p50", "calls a second", "ms", rate, sum.P50-straight.P50)
	r.add("time added at p99", "calls a second", "ms", rate, sum.P99-straight.P99)
	return nil
}
