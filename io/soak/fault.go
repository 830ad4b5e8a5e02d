package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

type (
	// Fault is one thing that is done to the system: Stop, Kill, Freeze,
	// Empty, Isolate, Reset, Delay or Block.
	Fault interface {
		// String describes the fault without its victim.
		String() string
		fault()
	}

	// Stop ends a process gracefully and starts it again.
	Stop struct{}

	// Kill ends a process at once and starts it again after a while.
	Kill struct{ Down time.Duration }

	// Freeze suspends a process for a while.
	Freeze struct{ For time.Duration }

	// Empty kills a control host and starts it with an empty disk.
	Empty struct{}

	// Isolate lets nothing pass between a host and all other hosts of the system
	// for a while, and then loses what was held up.
	Isolate struct{ For time.Duration }

	// Reset breaks all connections between two parties.
	Reset struct{}

	// Delay holds each piece between two parties up for a while.
	Delay struct{ By, For time.Duration }

	// Block lets nothing pass between two parties, in one direction or both.
	// It ends with a reset, or what was held up arrives.
	Block struct {
		Forth, Back bool
		For         time.Duration
		Reset       bool
	}

	// Event is a fault that happens to a victim at a time.
	Event struct {
		// At counts from the first call.
		At time.Duration
		// Victim is the name of a process or of a relay.
		Victim string
		Fault  Fault
	}

	// moment is one line of a timeline.
	moment struct {
		at   time.Duration
		text string
	}

	// timeline collects what was done and what was found.
	timeline struct {
		mu    sync.Mutex
		begin time.Time
		list  []moment
		done  []Event
	}
)

const (
	// meanPause is the mean time between two events; they last for up to
	// longestFault, so that several overlap.
	meanPause    = 120 * time.Millisecond
	longestFault = 1500 * time.Millisecond
	longestDelay = 60 * time.Millisecond
	longestDown  = 500 * time.Millisecond
	// longestCut is longer than the silence after which hosts leave each other.
	longestCut = 8 * time.Second
)

func (Stop) fault()    {}
func (Kill) fault()    {}
func (Freeze) fault()  {}
func (Empty) fault()   {}
func (Isolate) fault() {}
func (Reset) fault()   {}
func (Delay) fault()   {}
func (Block) fault()   {}

// String names the fault.
func (Stop) String() string { return "stop" }

// String names the fault and its time.
func (f Kill) String() string { return fmt.Sprintf("kill, back after %s", f.Down) }

// String names the fault and its time.
func (f Freeze) String() string { return fmt.Sprintf("freeze for %s", f.For) }

// String names the fault.
func (Empty) String() string { return "empty disk" }

// String names the fault and its time.
func (f Isolate) String() string { return fmt.Sprintf("isolate for %s", f.For) }

// String names the fault.
func (Reset) String() string { return "reset" }

// String names the fault and its times.
func (f Delay) String() string { return fmt.Sprintf("delay by %s for %s", f.By, f.For) }

// String names the fault, its directions and its end.
func (f Block) String() string {
	way := "both ways"
	switch {
	case !f.Back:
		way = "forth"
	case !f.Forth:
		way = "back"
	}
	end := "then release"
	if f.Reset {
		end = "then reset"
	}
	return fmt.Sprintf("block %s for %s, %s", way, f.For, end)
}

// kindOf names the kind of a fault in reports.
func kindOf(f Fault) string {
	switch f.(type) {
	case Stop:
		return "stop"
	case Kill:
		return "kill"
	case Freeze:
		return "freeze"
	case Empty:
		return "empty"
	case Isolate:
		return "isolate"
	case Reset:
		return "reset"
	case Delay:
		return "delay"
	case Block:
		return "block"
	}
	return "unknown"
}

// draw returns the events of a run of the given span: faults of random kinds to
// random victims at random times. Gentle ones may cut no call off: stops, and
// anything between two hosts of the system.
func (s *Soak) draw(span time.Duration) []Event {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	var (
		events   []Event
		internal []string
		links    []string
	)
	for _, r := range s.relays {
		links = append(links, r.name)
		if !s.carriesCalls(r) {
			internal = append(internal, r.name)
		}
	}
	for at := time.Duration(0); at < span; at += time.Duration(rng.ExpFloat64() * float64(meanPause)) {
		e := Event{At: at}
		onLink := rng.IntN(2) == 0
		switch {
		case onLink && s.gentle:
			e.Victim, e.Fault = internal[rng.IntN(len(internal))], drawLink(rng)
		case onLink:
			e.Victim, e.Fault = links[rng.IntN(len(links))], drawLink(rng)
		default:
			e.Victim, e.Fault = s.drawProcess(rng)
		}
		events = append(events, e)
	}
	return events
}

func (s *Soak) drawProcess(rng *rand.Rand) (string, Fault) {
	all := s.processes()
	p := all[rng.IntN(len(all))]
	calm := s.gentle && p.kind != KindControl
	switch n := rng.IntN(5); {
	case n == 4 && p.kind != KindTarget:
		return p.name, Isolate{For: time.Duration(rng.Int64N(int64(longestCut)))}
	case calm || n == 0:
		return p.name, Stop{}
	case n == 1:
		return p.name, Kill{Down: time.Duration(rng.Int64N(int64(longestDown)))}
	case n == 2 && p.kind == KindControl:
		return p.name, Empty{}
	default:
		return p.name, Freeze{For: time.Duration(rng.Int64N(int64(longestFault)))}
	}
}

func drawLink(rng *rand.Rand) Fault {
	span := time.Duration(rng.Int64N(int64(longestFault)))
	switch rng.IntN(4) {
	case 0:
		return Reset{}
	case 1:
		return Delay{By: time.Duration(rng.Int64N(int64(longestDelay))), For: span}
	case 2:
		return Block{Forth: true, Back: true, For: span, Reset: rng.IntN(2) == 0}
	default:
		way := rng.IntN(2) == 0
		return Block{Forth: way, Back: !way, For: span, Reset: rng.IntN(2) == 0}
	}
}

// inflict carries out the events in their time, each on its own, and returns
// when all have ended.
func (s *Soak) inflict(ctx context.Context, events []Event) error {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		first error
	)
	defer group.Wait()
	begin := time.Now()
	for _, e := range events {
		if !sleep(ctx, time.Until(begin.Add(e.At))) {
			return ctx.Err()
		}
		group.Go(func() {
			if err := s.happen(ctx, e); err != nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = errors.Wrapf(err, "%s: %s", e.Victim, e.Fault)
				}
			}
		})
	}
	group.Wait()
	return first
}

func (s *Soak) happen(ctx context.Context, e Event) error {
	for _, r := range s.relays {
		if r.name == e.Victim {
			s.timeline.happened(e)
			r.suffer(ctx, e.Fault)
			return nil
		}
	}
	i := slices.IndexFunc(s.processes(), func(p *process) bool { return p.name == e.Victim })
	if i < 0 {
		return errors.Errorf("soak: there is no %q", e.Victim)
	}
	p := s.processes()[i]
	if f, ok := e.Fault.(Isolate); ok {
		if p.kind == KindControl {
			if !s.cut.TryLock() {
				return nil // A second one would leave no majority.
			}
			defer s.cut.Unlock()
		}
		s.timeline.happened(e)
		s.isolate(ctx, p, f.For)
		return nil
	}
	if !p.turn.TryLock() {
		return nil // It is being disturbed already.
	}
	defer p.turn.Unlock()
	switch f := e.Fault.(type) {
	case Stop:
		s.timeline.happened(e)
		return s.stopAndStart(p)
	case Kill:
		s.timeline.happened(e)
		return s.killAndStart(p, f.Down, nil)
	case Freeze:
		s.timeline.happened(e)
		return s.freeze(p, f.For)
	case Empty:
		return s.loseDisk(ctx, p, e)
	}
	return errors.Errorf("soak: %s can not happen to a process", e.Fault)
}

// loseDisk empties the disk of a control host, if all others have theirs and
// vote. A majority of three bears one such loss at a time.
func (s *Soak) loseDisk(ctx context.Context, p *process, e Event) error {
	s.disks.Lock()
	defer s.disks.Unlock()
	for _, other := range s.controls {
		if other != p && !s.isReady(ctx, other) {
			return nil
		}
	}
	s.timeline.happened(e)
	folder := filepath.Join(s.folder, p.name)
	if err := s.killAndStart(p, 0, func() error { return os.RemoveAll(folder) }); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for !s.isReady(ctx, p) {
		if !sleep(ctx, pollInterval) {
			return nil // The run has ended, or the check after it finds the host.
		}
	}
	return nil
}

// isolate blocks all relays between a host and the other hosts of the system.
func (s *Soak) isolate(ctx context.Context, p *process, d time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, r := range s.relays {
		from, to, _ := strings.Cut(r.name, ">")
		if from == p.name || to == p.name && !s.announces(r) {
			group.Go(func() { r.suffer(ctx, Block{Forth: true, Back: true, For: d, Reset: true}) })
		}
	}
}

func (r *relay) suffer(ctx context.Context, f Fault) {
	r.mu.Lock()
	r.hurt = append(r.hurt, span{begin: time.Now()})
	i := len(r.hurt) - 1
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.hurt[i].end = time.Now()
	}()
	switch f := f.(type) {
	case Reset:
		r.reset()
	case Delay:
		release := r.disturb(f.By, [2]bool{})
		sleep(ctx, f.For)
		release()
	case Block:
		release := r.disturb(0, [2]bool{forth: f.Forth, back: f.Back})
		sleep(ctx, f.For)
		if f.Reset {
			r.reset()
		}
		release()
	}
}

// sleep waits for d and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Soak) stopAndStart(p *process) error {
	p.open(&p.stops)
	defer p.close(&p.stops)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := p.wait(); err != nil {
		return err
	}
	return p.start()
}

// killAndStart kills a process, does meanwhile and starts it again after down.
func (s *Soak) killAndStart(p *process, down time.Duration, meanwhile func() error) error {
	p.open(&p.hurt)
	defer p.close(&p.hurt)
	if err := p.kill(); err != nil {
		return err
	}
	if meanwhile != nil {
		if err := meanwhile(); err != nil {
			return err
		}
	}
	time.Sleep(down)
	return p.start()
}

func (s *Soak) freeze(p *process, d time.Duration) error {
	p.open(&p.hurt)
	defer p.close(&p.hurt)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return p.signal(syscall.SIGCONT)
}

// happened notes an event that is carried out now.
func (t *timeline) happened(e Event) {
	t.add("%s: %s", e.Victim, e.Fault)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = append(t.done, e)
}

func (t *timeline) add(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, moment{at: time.Since(t.begin), text: fmt.Sprintf(format, args...)})
}

// lines returns the timeline as text, in order.
func (t *timeline) lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	for _, m := range t.list {
		lines = append(lines, fmt.Sprintf("%8.3f s  %s", m.at.Seconds(), m.text))
	}
	return lines
}
