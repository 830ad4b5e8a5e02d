package soak

import (
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

type (
	// Kind is the role of a process.
	Kind string

	// process is one process of the system under test. The same value describes
	// it after a restart.
	process struct {
		kind    Kind
		name    string
		args    []string // The command line, beginning with the program.
		log     *os.File
		faultMu sync.Mutex // Held while a fault is injected into the process.
		cutMu   sync.Mutex // Held while the entry host is cut off from all targets.
		source  netip.Addr // Where an entry host's connections to targets come from.

		mu      sync.Mutex
		cmd     *exec.Cmd
		exited  chan struct{} // Closed when cmd has exited.
		outages []interval    // From each kill or freeze until the process ran again.
		stops   []interval    // From each graceful stop until the process ran again.
		cuts    []interval    // While the entry host was cut off from all targets.
	}

	// interval is the time that a fault lasted. The zero end means that it has
	// not ended.
	interval struct{ begin, end time.Time }
)

// The roles of processes.
const (
	KindEntry   Kind = "entry"
	KindControl Kind = "control"
	KindTarget  Kind = "target"
)

// stopTimeout is how long a process may take to exit after it was stopped or killed.
const stopTimeout = 20 * time.Second

// ErrStop reports a process that did not exit in time after it was stopped or
// killed.
var ErrStop = errors.New("soak: a process did not stop in time")

// start starts the process and returns without waiting until it is ready.
func (p *process) start() error {
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "soak: start %s", p.name)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		defer close(exited)
		if err := cmd.Wait(); err != nil {
			return // Killed processes end with an error.
		}
	}()
	return nil
}

// signal sends a signal to the process, which must have been started.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// wait waits until the process has exited. It returns ErrStop after stopTimeout.
func (p *process) wait() error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(stopTimeout):
		return errors.Wrap(ErrStop, p.name)
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return p.wait()
}

// overlaps reports whether one of the intervals, extended by recoveryTime, overlaps
// the time from begin to end.
func overlaps(intervals []interval, begin, end time.Time) bool {
	for _, s := range intervals {
		if s.begin.Before(end) && (s.end.IsZero() || s.end.Add(recoveryTime).After(begin)) {
			return true
		}
	}
	return false
}

// beginInterval appends to list an interval that starts now.
func (p *process) beginInterval(list *[]interval) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*list = append(*list, interval{begin: time.Now()})
}

// endInterval ends the last interval of list now.
func (p *process) endInterval(list *[]interval) {
	p.mu.Lock()
	defer p.mu.Unlock()
	(*list)[len(*list)-1].end = time.Now()
}

// hadOutage reports whether the process was down or frozen at some time from begin to
// end, or up to recoveryTime before begin.
func (p *process) hadOutage(begin, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overlaps(p.outages, begin, end)
}
