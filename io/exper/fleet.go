package exper

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/io/layout"
	"cardamomspool/io/setup"
)

type (
	// fleet is the processes of one scenario.
	fleet struct {
		cfg       Config
		folder    string
		controls  []setup.Control
		entries   []setup.Entry
		targets   []netip.AddrPort
		processes []*process
		entryPIDs []int
	}

	// process is one started process.
	process struct {
		cmd *exec.Cmd
		log *os.File
	}
)

const (
	stopGrace = 3 * time.Second
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
)

// newFleet plans a fleet; start starts it.
func newFleet(cfg Config) (*fleet, error) {
	f := &fleet{cfg: cfg}
	var err error
	if f.folder, err = os.MkdirTemp("", "spoollab-"); err != nil {
		return nil, errors.Wrap(err, "exper")
	}
	var plan layout.Plan
	if plan, err = layout.New(f.folder, layout.Size{Controls: cfg.Controls, Entries: cfg.Entries, Targets: cfg.Targets},
		layout.WithEntries(func(e *setup.Entry) { e.DecisionLogOneIn = cfg.LogOneIn })); err != nil {
		return nil, err
	}
	f.controls, f.entries, f.targets = plan.Controls, plan.Entries, plan.Targets
	return f, nil
}

// startHosts starts all control and entry hosts.
func (f *fleet) startHosts() error {
	for _, c := range f.controls {
		if err := f.host("control", c.Host, c); err != nil {
			return err
		}
	}
	for _, e := range f.entries {
		if err := f.host("entry", e.Host, e); err != nil {
			return err
		}
		f.entryPIDs = append(f.entryPIDs, f.processes[len(f.processes)-1].cmd.Process.Pid)
	}
	return nil
}

// startTargets starts all targets with what they do wrong in s.
func (f *fleet) startTargets(s Scenario, seed int) error {
	for i := range f.targets {
		if _, err := f.target(s, i, seed); err != nil {
			return err
		}
	}
	return nil
}

// host starts a control or entry host with its settings.
func (f *fleet) host(kind, name string, settings any) error {
	path := filepath.Join(f.folder, name+".json")
	var (
		data []byte
		err  error
	)
	if data, err = json.Marshal(settings); err != nil {
		return errors.Wrap(err, "exper")
	}
	if err = os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "exper")
	}
	_, err = f.run(name, f.cfg.Binary, kind, "--settings", path)
	return err
}

// target starts the target with index i.
func (f *fleet) target(s Scenario, i, seed int) (*process, error) {
	args := []string{
		"target", "--service", serviceName, "--name", fmt.Sprintf("target-%d", i+1), "--address", f.targets[i].String(),
		"--announce", f.entries[i%len(f.entries)].AnnounceAddress.String(), "--slots", strconv.Itoa(f.cfg.Slots),
		"--queue", strconv.Itoa(f.cfg.Queue), "--mean", f.cfg.Mean.String(), "--seed", strconv.Itoa(100*seed + i),
	}
	return f.run(fmt.Sprintf("target-%d", i+1), f.cfg.Lab, append(args, arguments(s.Behaviour(i))...)...)
}

func (f *fleet) run(name, binary string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(binary, args...)}
	var err error
	if p.log, err = os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, errors.Wrap(err, "exper")
	}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err = p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "exper: start %s", name)
	}
	f.processes = append(f.processes, p)
	return p, nil
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.signal()
	}
	for _, p := range f.processes {
		p.wait()
	}
	os.RemoveAll(f.folder)
}

func (p *process) signal() {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return // It has ended already.
	}
}

// wait waits for the process to end and kills it after the grace.
func (p *process) wait() {
	timer := time.AfterFunc(stopGrace, func() { p.cmd.Process.Kill() })
	defer timer.Stop()
	if err := p.cmd.Wait(); err != nil {
		return // A killed process, or one waited for before.
	}
	p.log.Close()
}

// processorTime returns the time that all entry hosts have used.
func (f *fleet) processorTime() time.Duration {
	var total time.Duration
	for _, pid := range f.entryPIDs {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		for _, i := range []int{11, 12} { // utime and stime
			n, _ := strconv.ParseInt(fields[i], 10, 64)
			total += time.Duration(n) * time.Second / ticksPerSecond
		}
	}
	return total
}

// restart stops the first target after a third of span and starts it again
// after two thirds.
func (f *fleet) restart(ctx context.Context, s Scenario, seed int, span time.Duration) {
	if !pause(ctx, span/3) {
		return
	}
	f.firstTarget().signal()
	if !pause(ctx, span/3) {
		return
	}
	f.firstTarget().wait()
	if _, err := f.target(s, 0, seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// firstTarget returns the latest process of the first target.
func (f *fleet) firstTarget() *process {
	at := f.cfg.Controls + f.cfg.Entries
	if len(f.processes) > at+f.cfg.Targets {
		at = len(f.processes) - 1
	}
	return f.processes[at]
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
