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
	// fleet is the set of processes of one scenario.
	fleet struct {
		cfg       Config
		folder    string
		controls  []setup.Control
		entries   []setup.Entry
		targets   []netip.AddrPort
		processes []*process // In the order in which they were started.
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
	// ticksPerSecond is the number of clock ticks per second in which /proc gives
	// processor times.
	ticksPerSecond = 100
)

// newFleet chooses the addresses and settings of a fleet. It starts no process.
func newFleet(cfg Config) (*fleet, error) {
	f := &fleet{cfg: cfg}
	var err error
	if f.folder, err = os.MkdirTemp("", "spoollab-"); err != nil {
		return nil, errors.Wrap(err, "exper: settings folder")
	}
	var plan layout.Plan
	if plan, err = layout.New(f.folder, layout.Size{Controls: cfg.Controls, Entries: cfg.Entries, Targets: cfg.Targets},
		layout.WithEntries(func(e *setup.Entry) { e.DecisionLogOneIn = cfg.DecisionLogOneIn })); err != nil {
		return nil, err
	}
	f.controls, f.entries, f.targets = plan.Controls, plan.Entries, plan.Targets
	return f, nil
}

// startHosts starts all control and entry hosts.
func (f *fleet) startHosts() error {
	for _, c := range f.controls {
		if err := f.startHost("control", c.Host, c); err != nil {
			return err
		}
	}
	for _, e := range f.entries {
		if err := f.startHost("entry", e.Host, e); err != nil {
			return err
		}
		f.entryPIDs = append(f.entryPIDs, f.processes[len(f.processes)-1].cmd.Process.Pid)
	}
	return nil
}

// startTargets starts all targets with their behaviour in scenario s.
func (f *fleet) startTargets(s Scenario, seed int) error {
	for i := range f.targets {
		if _, err := f.startTarget(s, i, seed); err != nil {
			return err
		}
	}
	return nil
}

// startHost writes the settings of a control or entry host and starts it.
func (f *fleet) startHost(kind, name string, settings any) error {
	path := filepath.Join(f.folder, name+".json")
	var (
		data []byte
		err  error
	)
	if data, err = json.Marshal(settings); err != nil {
		return errors.Wrap(err, "exper: encode settings")
	}
	if err = os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "exper: write settings")
	}
	_, err = f.startProcess(name, f.cfg.Binary, kind, "--settings", path)
	return err
}

// startTarget starts the target with index i, with its behaviour in scenario s. The seed
// of its random draws is 100*seed+i.
func (f *fleet) startTarget(s Scenario, i, seed int) (*process, error) {
	args := []string{
		"target", "--service", serviceName, "--name", fmt.Sprintf("target-%d", i+1), "--address", f.targets[i].String(),
		"--announce", f.entries[i%len(f.entries)].AnnounceAddress.String(), "--slots", strconv.Itoa(f.cfg.Slots),
		"--queue", strconv.Itoa(f.cfg.Queue), "--mean", f.cfg.MeanServiceTime.String(), "--seed", strconv.Itoa(100*seed + i),
	}
	return f.startProcess(fmt.Sprintf("target-%d", i+1), f.cfg.LabBinary, append(args, targetFlags(s.Behaviour(i))...)...)
}

// startProcess starts a process that logs to the file called name with the suffix
// .log.
func (f *fleet) startProcess(name, binary string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(binary, args...)}
	var err error
	if p.log, err = os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, errors.Wrap(err, "exper: log file")
	}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err = p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "exper: start %s", name)
	}
	f.processes = append(f.processes, p)
	return p, nil
}

// stop stops all processes and removes their files.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.terminate()
	}
	for _, p := range f.processes {
		p.wait()
	}
	os.RemoveAll(f.folder)
}

// terminate sends SIGTERM to the process; see wait.
func (p *process) terminate() {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return // The process has exited already.
	}
}

// wait waits until the process has exited. It kills the process after stopGrace.
func (p *process) wait() {
	timer := time.AfterFunc(stopGrace, func() { p.cmd.Process.Kill() })
	defer timer.Stop()
	if err := p.cmd.Wait(); err != nil {
		return // The process was killed, failed or had been waited for before.
	}
	p.log.Close()
}

// processorTime returns the processor time that all entry hosts together have used since
// their start. Processes that have exited are left out.
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

// restartFirstTarget stops the first target after a third of runTime and starts it
// again after two thirds.
func (f *fleet) restartFirstTarget(ctx context.Context, s Scenario, seed int, runTime time.Duration) {
	if !sleep(ctx, runTime/3) {
		return
	}
	f.firstTarget().terminate()
	if !sleep(ctx, runTime/3) {
		return
	}
	f.firstTarget().wait()
	if _, err := f.startTarget(s, 0, seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// firstTarget returns the last started process of the first target. Only this target is
// ever restarted, so any process beyond the initial ones is the first target's.
func (f *fleet) firstTarget() *process {
	i := f.cfg.Controls + f.cfg.Entries
	if len(f.processes) > i+f.cfg.Targets {
		i = len(f.processes) - 1
	}
	return f.processes[i]
}

// sleep waits for d and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
