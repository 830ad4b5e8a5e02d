package slope

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/io/fetch"
)

type (
	// process is one running process of the product.
	process struct {
		cmd   *exec.Cmd
		admin netip.AddrPort
		log   *os.File
	}

	// usage is the resource use of a process at a time. Processor time and traffic
	// are totals since its start, and memory is what it holds at that time. Sizes
	// are in bytes.
	usage struct {
		at       time.Time
		cpu      time.Duration // Of the threads that are alive.
		resident float64
		heap     float64
		bytesIn  float64
		bytesOut float64
	}
)

const (
	stopTimeout       = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	residentField     = "VmRSS:"
	bytesPerKiB       = 1024
	suffixIn          = "_bytes_in"
	suffixOut         = "_bytes_out"
	logTailBytes      = 500
)

// socketKinds are the kinds of control traffic whose bytes are counted at the socket.
var socketKinds = []string{"peer", "config", "announce"}

// start starts the product's binary with a subcommand and a settings file. It logs
// to a file next to the settings.
func start(binary, subcommand, settings string, admin netip.AddrPort) (*process, error) {
	var (
		log *os.File
		err error
	)
	if log, err = os.Create(settings + ".log"); err != nil {
		return nil, errors.Wrap(err, "slope")
	}
	p := &process{cmd: exec.Command(binary, subcommand, "--settings", settings), admin: admin, log: log}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err = p.cmd.Start(); err != nil {
		log.Close()
		return nil, errors.Wrap(err, "slope: start process")
	}
	return p, nil
}

// stop sends SIGTERM to the process and kills it if it has not exited within
// stopTimeout. It does nothing to a process that has exited.
func (p *process) stop() {
	defer p.log.Close()
	if p.cmd.ProcessState != nil {
		return // The process was killed before.
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return // The process has exited by itself.
	}
	kill := time.AfterFunc(stopTimeout, func() { p.cmd.Process.Kill() })
	defer kill.Stop()
	if err := p.cmd.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "slope: process exited with", err)
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() error {
	if err := p.cmd.Process.Kill(); err != nil {
		return errors.Wrap(err, "slope: kill")
	}
	p.cmd.Wait() //nolint:errcheck // It was killed.
	return nil
}

// restart starts a killed process again with the same settings.
func (p *process) restart() error {
	next := exec.Command(p.cmd.Path, p.cmd.Args[1:]...)
	next.Stdout, next.Stderr = p.log, p.log
	p.cmd = next
	return errors.Wrap(next.Start(), "slope: restart")
}

// logTail returns the last logTailBytes of the process's log.
func (p *process) logTail() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[max(len(data)-logTailBytes, 0):])
}

// readUsage reads the resource use of the process: its totals so far and its current
// memory.
func (p *process) readUsage(ctx context.Context) (usage, error) {
	u := usage{at: time.Now()}
	var (
		vars map[string]any
		err  error
	)
	if u.cpu, err = cpuTime(p.cmd.Process.Pid); err != nil {
		return u, err
	}
	if u.resident, err = residentBytes(p.cmd.Process.Pid); err != nil {
		return u, err
	}
	if vars, err = p.vars(ctx); err != nil {
		return u, err
	}
	for name, value := range vars {
		if kind, _, _ := strings.Cut(name, "_"); !slices.Contains(socketKinds, kind) {
			continue // Other metrics count payload bytes that the socket metrics already include.
		}
		n, ok := value.(float64)
		switch {
		case ok && strings.HasSuffix(name, suffixIn):
			u.bytesIn += n
		case ok && strings.HasSuffix(name, suffixOut):
			u.bytesOut += n
		}
	}
	if memory, ok := vars["memstats"].(map[string]any); ok {
		u.heap, _ = memory["heap_alloc_bytes"].(float64)
	}
	return u, nil
}

// vars reads the metrics of the process.
func (p *process) vars(ctx context.Context) (map[string]any, error) {
	var vars map[string]any
	err := fetch.JSON(ctx, fmt.Sprintf("http://%s/debug/vars", p.admin), &vars)
	return vars, err
}

// cpuTime returns the processor time of all live threads of a process from the
// kernel's scheduler statistics, which have nanosecond resolution.
func cpuTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, errors.Errorf("slope: found no scheduler statistics of process %d", pid)
	}
	var total time.Duration
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // The thread has exited.
		}
		first, _, _ := strings.Cut(string(data), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "slope: scheduler statistics")
		}
		total += time.Duration(ns)
	}
	return total, nil
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "slope")
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == residentField {
			kib, err := strconv.ParseFloat(fields[1], 64)
			return kib * bytesPerKiB, errors.Wrap(err, "slope")
		}
	}
	return 0, errors.Errorf("slope: /proc status of process %d shows no resident size", pid)
}
