package stub

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

type (
	// Target is a stand-in target. Use New.
	Target struct {
		service     string
		name        string
		address     netip.AddrPort
		announcer   *announcer
		dataCentre  string
		slots       int
		queue       int
		serviceTime time.Duration
		log         *slog.Logger
		record      *Record
		incarnation uint64

		mu      sync.Mutex
		rng     *rand.Rand
		state   member.State
		running chan struct{}
		waiting int

		behaviour Behaviour
		started   time.Time
		past      []pastLoad
		spells    *rand.Rand
		next      spell

		spellsFrom time.Time
		changed    chan struct{}
	}

	// Option sets one property of a Target.
	Option func(*Target)

	// Record counts how often each call was run, over any number of targets.
	// The zero value is empty.
	Record struct {
		mu   sync.Mutex
		runs map[string]int
	}
)

const (
	// HeaderCall is the identity that a test caller gives its call; it is
	// written back in the answer's body.
	HeaderCall = "Lab-Call"
	// ReseedPath takes a POST that starts the service times and the noisy
	// spells anew from the seed in the query.
	ReseedPath = "/lab/reseed"

	headerTimeout = time.Second
)

// WithSlots sets the calls run at once and the calls queued beyond them;
// others are shed as not run. The default is 3 slots and a queue of 1.
func WithSlots(slots, queue int) Option {
	return func(t *Target) { t.slots, t.queue = slots, queue }
}

// WithServiceTime sets the mean of the exponential service time.
func WithServiceTime(mean time.Duration) Option {
	return func(t *Target) { t.serviceTime = mean }
}

// WithSeed sets the seed of the service times.
func WithSeed(seed uint64) Option {
	return func(t *Target) { t.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// WithRecord sets where runs are counted.
func WithRecord(r *Record) Option {
	return func(t *Target) { t.record = r }
}

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(t *Target) { t.log = log }
}

// WithDataCentre sets the data centre that is announced.
func WithDataCentre(name string) Option {
	return func(t *Target) { t.dataCentre = name }
}

// New returns a target called name of service that listens on address and
// announces itself to the entry host at announce.
func New(service, name string, address, announce netip.AddrPort, opts ...Option) *Target {
	t := &Target{
		service: service, name: name, address: address, dataCentre: "lab",
		slots: 3, queue: 1, record: new(Record), log: slog.New(slog.DiscardHandler),
		rng: rand.New(rand.NewPCG(1, 0)), state: member.Ready, incarnation: uint64(time.Now().UnixNano()),
		changed: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(t)
	}
	t.announcer = newAnnouncer(announce)
	t.running = make(chan struct{}, t.slots)
	t.started = time.Now()
	t.spellsFrom = t.started
	return t
}

// Run serves until ctx ends, announces that it is leaving, and then lets the
// calls in progress end.
func (t *Target) Run(ctx context.Context) error {
	var (
		l   net.Listener
		err error
	)
	if l, err = net.Listen("tcp", t.address.String()); err != nil {
		return errors.Wrap(err, "stub")
	}
	s := &http.Server{Handler: t, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	t.announceUntil(ctx, failed)
	t.setState(member.Leaving)
	t.leave()
	stop, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.Shutdown(stop)
}

// ServeHTTP runs one call: it waits for a slot, holds it for the service time
// and answers with the call's identity. A call beyond the queue is shed.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ReseedPath {
		t.reseed(w, r)
		return
	}
	if t.behaviour.FailFast {
		t.record.add(r.Header.Get(HeaderCall))
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	}
	if !t.enter(r.Context()) {
		t.mark(w.Header())
		t.reportLoad(w, 0)
		w.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.running }()
	id := r.Header.Get(HeaderCall)
	t.record.add(id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case <-time.After(t.draw(time.Now())):
	case <-r.Context().Done():
		return
	}
	t.mark(w.Header())
	t.reportLoad(w, 1)
	fmt.Fprintf(w, "%s\n", id)
}

// enter waits for a slot. It reports false when the queue is full or the
// caller has gone.
func (t *Target) enter(ctx context.Context) bool {
	select {
	case t.running <- struct{}{}:
		return true
	default:
	}
	if !t.wait(1) {
		return false
	}
	defer t.wait(-1)
	select {
	case t.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) wait(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 && t.waiting >= t.queue {
		return false
	}
	t.waiting += n
	return true
}

func (t *Target) draw(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.rng.ExpFloat64() * float64(t.serviceTime) * t.slowdown(now))
}

func (r *Record) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[string]int)
	}
	r.runs[id]++
}

// Runs returns how often the call with the given identity was run.
func (r *Record) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
