package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

type (
	// Kind is a kind of process.
	Kind string

	// process is one process of the system under test, over its restarts.
	process struct {
		kind Kind
		name string
		args []string
		log  *os.File
		turn sync.Mutex // Held while something is done to the process.

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{}
		hurt   []span // When it was killed or frozen, until it was back.
		stops  []span // When it was stopped gracefully, until it was back.
	}

	// span is a time during which something was done to a process. The zero
	// end means that it still is.
	span struct{ begin, end time.Time }
)

// The kinds of processes.
const (
	KindEntry   Kind = "entry"
	KindControl Kind = "control"
	KindTarget  Kind = "target"
)

const gracefulLimit = 20 * time.Second

// ErrStop reports a process that did not end a graceful stop in time.
var ErrStop = errors.New("soak: a process did not stop in time")

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

func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// wait returns once the process has exited, or ErrStop.
func (p *process) wait() error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(gracefulLimit):
		return errors.Wrap(ErrStop, p.name)
	}
}

// kill ends the process at once.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return p.wait()
}

// covers reports whether one of spans touches the time from begin to end, or
// ended shortly before.
func covers(spans []span, begin, end time.Time) bool {
	for _, s := range spans {
		if s.begin.Before(end) && (s.end.IsZero() || s.end.Add(aftermath).After(begin)) {
			return true
		}
	}
	return false
}

func (p *process) open(list *[]span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*list = append(*list, span{begin: time.Now()})
}

func (p *process) close(list *[]span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	(*list)[len(*list)-1].end = time.Now()
}

// wasHurt reports whether the process was killed or frozen at any moment from
// begin to end, or shortly before.
func (p *process) wasHurt(begin, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return covers(p.hurt, begin, end)
}
