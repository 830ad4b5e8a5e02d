package soak

import (
	"cmp"
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

	"cardamomspool/io/relay"
)

type (
	// Fault is one kind of disturbance with its parameters: Stop, Kill, Freeze,
	// LoseDisk, Isolate, Reset, Delay, Block or CutOff.
	Fault interface {
		// String describes the fault, but not its victim.
		String() string
		// fault does nothing; it marks the types that are faults.
		fault()
	}

	// Stop stops a process gracefully and starts it again.
	Stop struct{}

	// Kill kills a process and starts it again after the time Down.
	Kill struct{ Down time.Duration }

	// Freeze suspends a process for the time For.
	Freeze struct{ For time.Duration }

	// LoseDisk kills a control host and starts it with an empty data folder.
	LoseDisk struct{}

	// Isolate blocks all connections between a host and the other hosts of the
	// system for the time For and then resets them, so that blocked data is lost.
	Isolate struct{ For time.Duration }

	// Reset resets all connections of a relay.
	Reset struct{}

	// Delay adds Latency to each chunk that passes a relay, for the time For.
	Delay struct{ Latency, For time.Duration }

	// Block stops a relay from forwarding in one direction or both, for the time
	// For. It ends with a reset of the connections, or with the delivery of the
	// blocked data.
	Block struct {
		Forward, Backward bool
		For               time.Duration
		Reset             bool
	}

	// Event is a fault with its victim and its time.
	Event struct {
		// At is the time since the start of the load.
		At time.Duration
		// Victim is the name of a process or of a relay.
		Victim string
		Fault  Fault
	}

	// timelineEntry is one line of a timeline. The time counts from the start of
	// the load.
	timelineEntry struct {
		at   time.Duration
		text string
	}

	// timeline records the injected faults and, after the run, the calls and
	// changes that were handled wrongly.
	timeline struct {
		mu      sync.Mutex
		begin   time.Time
		entries []timelineEntry
		events  []Event
	}
)

const (
	// meanEventInterval is the mean time between two events. Freezes, delays and
	// blocks last for up to maxFaultDuration, so that several events overlap.
	meanEventInterval = 120 * time.Millisecond
	maxFaultDuration  = 1500 * time.Millisecond
	maxDelay          = 60 * time.Millisecond
	maxDownTime       = 500 * time.Millisecond
	// maxIsolation is longer than the time without a message after which hosts
	// consider each other failed.
	maxIsolation = 8 * time.Second
)

func (Stop) fault()     {}
func (Kill) fault()     {}
func (Freeze) fault()   {}
func (LoseDisk) fault() {}
func (Isolate) fault()  {}
func (Reset) fault()    {}
func (Delay) fault()    {}
func (Block) fault()    {}

// String names the fault.
func (Stop) String() string { return "stop" }

// String names the fault and the time until the restart.
func (f Kill) String() string { return fmt.Sprintf("kill, back after %s", f.Down) }

// String names the fault and its duration.
func (f Freeze) String() string { return fmt.Sprintf("freeze for %s", f.For) }

// String names the fault.
func (LoseDisk) String() string { return "empty disk" }

// String names the fault and its duration.
func (f Isolate) String() string { return fmt.Sprintf("isolate for %s", f.For) }

// String names the fault.
func (Reset) String() string { return "reset" }

// String names the fault, its latency and its duration.
func (f Delay) String() string { return fmt.Sprintf("delay by %s for %s", f.Latency, f.For) }

// String names the fault, its directions, its duration and how it ends.
func (f Block) String() string {
	direction := "both ways"
	switch {
	case !f.Backward:
		direction = "forth"
	case !f.Forward:
		direction = "back"
	}
	end := "then release"
	if f.Reset {
		end = "then reset"
	}
	return fmt.Sprintf("block %s for %s, %s", direction, f.For, end)
}

// kindOf returns the name of a fault's kind in reports.
func kindOf(f Fault) string {
	switch f.(type) {
	case Stop:
		return "stop"
	case Kill:
		return "kill"
	case Freeze:
		return "freeze"
	case LoseDisk:
		return "empty"
	case Isolate:
		return "isolate"
	case Reset:
		return "reset"
	case Delay:
		return "delay"
	case Block:
		return "block"
	case CutOff:
		return "cut_off"
	case PowerLoss:
		return "power_loss"
	}
	return "unknown"
}

// drawEvents draws the events of a run of the given length: random faults of random
// victims at random times. With WithGentle it draws only faults that must not cut off
// calls: stops, any fault of a control host, isolation from other hosts, and faults of
// relays that carry no calls.
func (s *Soak) drawEvents(length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	var (
		events        []Event
		nonCallRelays []string
		relays        []string
	)
	for _, r := range s.relays {
		relays = append(relays, r.name)
		if !s.carriesCalls(r) {
			nonCallRelays = append(nonCallRelays, r.name)
		}
	}
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() * float64(meanEventInterval)) {
		e := Event{At: at}
		onRelay := rng.IntN(2) == 0
		switch {
		case onRelay && s.gentle:
			e.Victim, e.Fault = nonCallRelays[rng.IntN(len(nonCallRelays))], drawRelayFault(rng)
		case onRelay:
			e.Victim, e.Fault = relays[rng.IntN(len(relays))], drawRelayFault(rng)
		default:
			e.Victim, e.Fault = s.drawProcessFault(rng)
		}
		events = append(events, e)
	}
	if s.gentle {
		return events
	}
	events = append(events, s.drawCuts(length)...)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// drawProcessFault draws a process and a fault that can be injected into it.
func (s *Soak) drawProcessFault(rng *rand.Rand) (string, Fault) {
	all := s.processes()
	p := all[rng.IntN(len(all))]
	sparesCalls := s.gentle && p.kind != KindControl
	switch n := rng.IntN(5); {
	case n == 4 && p.kind != KindTarget:
		return p.name, Isolate{For: time.Duration(rng.Int64N(int64(maxIsolation)))}
	case sparesCalls || n == 0:
		return p.name, Stop{}
	case n == 1:
		return p.name, Kill{Down: time.Duration(rng.Int64N(int64(maxDownTime)))}
	case n == 2 && p.kind == KindControl:
		return p.name, LoseDisk{}
	default:
		return p.name, Freeze{For: time.Duration(rng.Int64N(int64(maxFaultDuration)))}
	}
}

// drawRelayFault draws a fault that can be injected into a relay.
func drawRelayFault(rng *rand.Rand) Fault {
	duration := time.Duration(rng.Int64N(int64(maxFaultDuration)))
	switch rng.IntN(4) {
	case 0:
		return Reset{}
	case 1:
		return Delay{Latency: time.Duration(rng.Int64N(int64(maxDelay))), For: duration}
	case 2:
		return Block{Forward: true, Backward: true, For: duration, Reset: rng.IntN(2) == 0}
	default:
		forwardOnly := rng.IntN(2) == 0
		return Block{Forward: forwardOnly, Backward: !forwardOnly, For: duration, Reset: rng.IntN(2) == 0}
	}
}

// injectFaults injects the fault of each event at its time, without waiting for the
// end of earlier ones. Once all have ended it returns the first error. It returns the
// error of ctx if that ends first.
func (s *Soak) injectFaults(ctx context.Context, events []Event) error {
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
			if err := s.inject(ctx, e); err != nil {
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

// inject injects the fault of e into its victim and returns when the fault has ended.
// It skips a stop, kill, freeze or disk loss while one of these is in progress in the
// same process, and the isolation of a control host while another one is isolated.
func (s *Soak) inject(ctx context.Context, e Event) error {
	for _, r := range s.relays {
		if r.name == e.Victim {
			s.timeline.addEvent(e)
			r.inject(ctx, e.Fault)
			return nil
		}
	}
	i := slices.IndexFunc(s.processes(), func(p *process) bool { return p.name == e.Victim })
	if i < 0 {
		return errors.Errorf("soak: no process or relay is called %q", e.Victim)
	}
	p := s.processes()[i]
	if f, ok := e.Fault.(PowerLoss); ok {
		return s.losePower(e, f)
	}
	if f, ok := e.Fault.(CutOff); ok {
		s.cutOff(ctx, p, e, f)
		return nil
	}
	if f, ok := e.Fault.(Isolate); ok {
		if p.kind == KindControl {
			if !s.isolation.TryLock() {
				return nil // A second isolated control host would leave no majority.
			}
			defer s.isolation.Unlock()
		}
		s.timeline.addEvent(e)
		s.isolate(ctx, p, f.For)
		return nil
	}
	if !p.faultMu.TryLock() {
		return nil // Another fault of this process is in progress.
	}
	defer p.faultMu.Unlock()
	switch f := e.Fault.(type) {
	case Stop:
		s.timeline.addEvent(e)
		return s.stopAndStart(p)
	case Kill:
		s.timeline.addEvent(e)
		return s.killAndStart(p, f.Down, nil)
	case Freeze:
		s.timeline.addEvent(e)
		return s.freeze(p, f.For)
	case LoseDisk:
		return s.loseDisk(ctx, p, e)
	}
	return errors.Errorf("soak: fault %q can not be injected into process %s", e.Fault, e.Victim)
}

// loseDisk kills a control host, removes its data folder, starts it again and waits
// until it is ready. It does nothing unless all other control hosts are ready: three
// control hosts tolerate one such loss at a time.
func (s *Soak) loseDisk(ctx context.Context, p *process, e Event) error {
	s.diskLoss.Lock()
	defer s.diskLoss.Unlock()
	notReady := 0
	for _, other := range s.controls {
		if other != p && !s.isReady(ctx, other) {
			notReady++
		}
	}
	if notReady > s.spareControls {
		return nil
	}
	s.timeline.addEvent(e)
	folder := filepath.Join(s.folder, p.name)
	if err := s.killAndStart(p, 0, func() error { return os.RemoveAll(folder) }); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !s.isReady(ctx, p) {
		if !sleep(ctx, pollInterval) {
			return nil // The run has ended, or the check at its end reports the host.
		}
	}
	return nil
}

// isolate blocks all relays between a host and the other hosts of the system for d.
func (s *Soak) isolate(ctx context.Context, p *process, d time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, r := range s.relays {
		from, to, _ := strings.Cut(r.name, ">")
		if from == p.name || to == p.name && !s.carriesAnnouncements(r) {
			group.Go(func() { r.inject(ctx, Block{Forward: true, Backward: true, For: d, Reset: true}) })
		}
	}
}

// inject injects a fault into the relay, returns when the fault has ended, and records
// its begin and end. A fault other than a Reset, Delay or Block has no effect and is
// only recorded.
func (r *disturbedRelay) inject(ctx context.Context, f Fault) {
	r.mu.Lock()
	r.disturbances = append(r.disturbances, interval{begin: time.Now()})
	i := len(r.disturbances) - 1
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbances[i].end = time.Now()
	}()
	switch f := f.(type) {
	case Reset:
		r.Reset()
	case Delay:
		release := r.Disturb(f.Latency, [2]bool{})
		sleep(ctx, f.For)
		release()
	case Block:
		release := r.Disturb(0, [2]bool{relay.Forward: f.Forward, relay.Backward: f.Backward})
		sleep(ctx, f.For)
		if f.Reset {
			r.Reset()
		}
		release()
	}
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

// stopAndStart stops a process gracefully and starts it again once it has exited.
func (s *Soak) stopAndStart(p *process) error {
	p.beginInterval(&p.stops)
	defer p.endInterval(&p.stops)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := p.wait(); err != nil {
		return err
	}
	return p.start()
}

// killAndStart kills a process, calls meanwhile unless it is nil, waits for the time
// down and starts the process again.
func (s *Soak) killAndStart(p *process, down time.Duration, meanwhile func() error) error {
	p.beginInterval(&p.outages)
	defer p.endInterval(&p.outages)
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

// freeze suspends a process for d.
func (s *Soak) freeze(p *process, d time.Duration) error {
	p.beginInterval(&p.outages)
	defer p.endInterval(&p.outages)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return p.signal(syscall.SIGCONT)
}

// addEvent records an event that is carried out now.
func (t *timeline) addEvent(e Event) {
	t.add("%s: %s", e.Victim, e.Fault)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
}

// add adds a line with the current time.
func (t *timeline) add(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = append(t.entries, timelineEntry{at: time.Since(t.begin), text: fmt.Sprintf(format, args...)})
}

// lines returns the entries as text, in the order in which they were added.
func (t *timeline) lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	for _, e := range t.entries {
		lines = append(lines, fmt.Sprintf("%8.3f s  %s", e.at.Seconds(), e.text))
	}
	return lines
}
