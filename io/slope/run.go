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
		// Lines are the fitted lines, one per quantity and varied size.
		Lines []*Line `json:"lines"`
	}

	// Runner takes the measurements. Use New to create it.
	Runner struct {
		binary   string
		window   time.Duration
		selected []string
		progress io.Writer
		report   Report
	}

	// Option sets one property of a Runner.
	Option func(*Runner)

	// sweep is a series of measurements at several sizes.
	sweep struct {
		name string
		run  func(ctx context.Context) error
	}
)

const (
	defaultWindow         = 10 * time.Second
	sweepAnnounceInterval = time.Second
	settleTime            = 2 * time.Second
	kilobyte              = 1000.0
	megabyte              = 1e6
	percent               = 100.0
	sweepEntryHosts       = 2
	callSweepTargets      = 4
)

var (
	targetSizes  = []int{36, 240, 940}
	serviceSizes = []int{4, 16, 61}
	entrySizes   = []int{4, 14, 40}
	changeSizes  = []int{10, 100, 500}
	callRates    = []int{250, 500, 1000, 2000}
)

// WithWindow sets the time over which the processor time and traffic of each process
// are averaged; the default is 10 s.
func WithWindow(d time.Duration) Option {
	return func(r *Runner) { r.window = d }
}

// WithSweeps restricts the measurements to the named sweeps, out of targets,
// services, entries, changes and calls.
func WithSweeps(names ...string) Option {
	return func(r *Runner) { r.selected = names }
}

// WithProgress sets the writer for progress messages; the default is standard error.
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

// Run runs all selected sweeps, one after the other, and fits the lines. It fails if
// a process does not start, a change is not accepted or a call is not answered.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	sweeps := []sweep{
		{"targets", r.sweepTargets},
		{"services", r.sweepServices},
		{"entries", r.sweepEntries},
		{"changes", r.sweepChanges},
		{"calls", r.sweepCalls},
	}
	for _, s := range sweeps {
		if len(r.selected) > 0 && !slices.Contains(r.selected, s.name) {
			continue
		}
		if err := s.run(ctx); err != nil {
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

// Write writes the report to slopes.json and an SVG plot of each line into folder,
// which it creates if needed.
func (r *Report) Write(folder string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "slope: encode report")
	}
	if err = os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "slope: report folder")
	}
	if err = os.WriteFile(filepath.Join(folder, "slopes.json"), append(data, '\n'), fileMode); err != nil {
		return errors.Wrap(err, "slope: write report")
	}
	for _, l := range r.Lines {
		name := strings.ReplaceAll(l.Quantity+" per "+l.Per, " ", "-") + ".svg"
		if err = l.Plot(filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// addPoint adds the value of a quantity, measured at a size, to the line of the
// quantity. The argument per names what size counts, such as "targets", and the value is
// in unit.
func (r *Runner) addPoint(quantity, per, unit string, size int, value float64) {
	i := slices.IndexFunc(r.report.Lines, func(l *Line) bool { return l.Quantity == quantity && l.Per == per })
	if i < 0 {
		i = len(r.report.Lines)
		r.report.Lines = append(r.report.Lines, &Line{Quantity: quantity, Per: per, Unit: unit})
	}
	l := r.report.Lines[i]
	l.Points = append(l.Points, Point{Size: float64(size), Value: value})
	fmt.Fprintf(r.progress, "%s at %d %s: %.4g %s\n", quantity, size, per, value, unit)
}

// observe measures a process for the window and adds points: the processor time and
// the control traffic averaged over the window, and the resident memory at its end. The
// argument per names what size counts, such as "targets".
func (r *Runner) observe(ctx context.Context, p *process, role, per string, size int) error {
	var (
		before, after usage
		err           error
	)
	if before, err = p.readUsage(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.window):
	}
	if after, err = p.readUsage(ctx); err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	r.addPoint(role+" processor time", per, "% of a core", size, percent*(after.cpu-before.cpu).Seconds()/seconds)
	r.addPoint(role+" resident memory", per, "MB", size, after.resident/megabyte)
	r.addPoint(role+" control traffic received", per, "kB/s", size, (after.bytesIn-before.bytesIn)/kilobyte/seconds)
	r.addPoint(role+" control traffic sent", per, "kB/s", size, (after.bytesOut-before.bytesOut)/kilobyte/seconds)
	return nil
}

// observeFirstHosts observes the first entry host and the first control host during
// the same window.
func (r *Runner) observeFirstHosts(ctx context.Context, f *fleet, per string, size int) error {
	controlRunner := &Runner{window: r.window, progress: io.Discard}
	done := make(chan error, 1)
	go func() { done <- controlRunner.observe(ctx, f.controls[0], "control", per, size) }()
	if err := r.observe(ctx, f.entries[0], "entry", per, size); err != nil {
		return err
	}
	if err := <-done; err != nil {
		return err
	}
	for _, l := range controlRunner.report.Lines {
		r.addPoint(l.Quantity, l.Per, l.Unit, size, l.Points[0].Value)
	}
	return nil
}

// withFleet starts a fleet with the given numbers of entry hosts, announced targets
// and services, calls f once all entry hosts know them and settleTime has passed, and
// stops the fleet.
func (r *Runner) withFleet(ctx context.Context, entries, targets, services int, f func(*fleet) error) error {
	fl, err := startFleet(ctx, r.binary, entries, sweepAnnounceInterval)
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
	fl.announceTargets(announcing, &group, targets, services)
	if err = fl.waitMetric(ctx, "targets", float64(targets)); err != nil {
		return err
	}
	if err = fl.waitMetric(ctx, "services", float64(services)); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(settleTime):
	}
	return f(fl)
}

func (r *Runner) sweepTargets(ctx context.Context) error {
	for _, n := range targetSizes {
		if err := r.withFleet(ctx, sweepEntryHosts, n, 4, func(f *fleet) error {
			return r.observeFirstHosts(ctx, f, "targets", n)
		}); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) sweepServices(ctx context.Context) error {
	for _, n := range serviceSizes {
		if err := r.withFleet(ctx, sweepEntryHosts, 36, n, func(f *fleet) error {
			return r.observeFirstHosts(ctx, f, "services", n)
		}); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) sweepEntries(ctx context.Context) error {
	for _, n := range entrySizes {
		if err := r.withFleet(ctx, n, 36, 4, func(f *fleet) error {
			return r.observeFirstHosts(ctx, f, "entries", n)
		}); err != nil {
			return err
		}
	}
	return nil
}

// sweepChanges measures, for several numbers of changes, the time from the request of
// a change until it is accepted, and the processor time and traffic that the changes
// take.
func (r *Runner) sweepChanges(ctx context.Context) error {
	return r.withFleet(ctx, 14, 36, 4, func(f *fleet) error {
		revision := uint64(1)
		for _, n := range changeSizes {
			if err := r.measureChanges(ctx, f, n, &revision); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureChanges makes n changes of the first document, whose current revision is
// *revision, one after the other.
func (r *Runner) measureChanges(ctx context.Context, f *fleet, n int, revision *uint64) error {
	before, after := make([]usage, 2), make([]usage, 2)
	if err := readFirstHosts(ctx, f, before); err != nil {
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
	if err := readFirstHosts(ctx, f, after); err != nil {
		return err
	}
	slices.Sort(times)
	r.addPoint("time to accept a change at p50", "changes", "ms", n, load.Quantile(times, 0.5))
	r.addPoint("time to accept a change at p99", "changes", "ms", n, load.Quantile(times, 0.99))
	for i, role := range []string{"entry", "control"} {
		r.addPoint(role+" processor time spent", "changes", "ms", n, 1000*(after[i].cpu-before[i].cpu).Seconds())
		r.addPoint(role+" bytes received", "changes", "kB", n, (after[i].bytesIn-before[i].bytesIn)/kilobyte)
		r.addPoint(role+" bytes sent", "changes", "kB", n, (after[i].bytesOut-before[i].bytesOut)/kilobyte)
	}
	return nil
}

// readFirstHosts reads the resource use of the first entry host and the first
// control host into dst.
func readFirstHosts(ctx context.Context, f *fleet, dst []usage) error {
	for i, p := range []*process{f.entries[0], f.controls[0]} {
		var err error
		if dst[i], err = p.readUsage(ctx); err != nil {
			return err
		}
	}
	return nil
}

// sweepCalls measures the processor time of one entry host at increasing call rates,
// and the latency that it adds to a call. The targets answer without delay.
func (r *Runner) sweepCalls(ctx context.Context) error {
	return r.withFleet(ctx, 1, 0, 1, func(f *fleet) error {
		running, cancel := context.WithCancel(ctx)
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		directURLs, err := f.startTargets(running, &group, callSweepTargets)
		if err != nil {
			return err
		}
		if err := f.waitMetric(ctx, "targets", callSweepTargets); err != nil {
			return err
		}
		for _, rate := range callRates {
			if err := r.measureCalls(ctx, f, rate, directURLs); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureCalls sends the same load, at rate calls per second, first directly to the
// targets and then through the entry host. It fails if a call is not answered.
func (r *Runner) measureCalls(ctx context.Context, f *fleet, rate int, directURLs []string) error {
	calls := int(float64(rate) * r.window.Seconds())
	entryURLs := []string{fmt.Sprintf("http://%s/service-0/", f.settings[0].CallAddress)}
	directSummary := load.New(directURLs, calls, load.WithRate(float64(rate))).Run(ctx)
	before, err := f.entries[0].readUsage(ctx)
	if err != nil {
		return err
	}
	entrySummary := load.New(entryURLs, calls, load.WithRate(float64(rate))).Run(ctx)
	after, err := f.entries[0].readUsage(ctx)
	if err != nil {
		return err
	}
	if entrySummary.Answered != calls || directSummary.Answered != calls {
		return errors.Errorf("slope: %d calls sent directly and %d sent through the entry host were answered, not %d each", directSummary.Answered, entrySummary.Answered, calls)
	}
	seconds := after.at.Sub(before.at).Seconds()
	r.addPoint("entry processor time", "calls a second", "% of a core", rate, percent*(after.cpu-before.cpu).Seconds()/seconds)
	r.addPoint("entry resident memory", "calls a second", "MB", rate, after.resident/megabyte)
	r.addPoint("time added at p50", "calls a second", "ms", rate, entrySummary.P50-directSummary.P50)
	r.addPoint("time added at p99", "calls a second", "ms", rate, entrySummary.P99-directSummary.P99)
	return nil
}
