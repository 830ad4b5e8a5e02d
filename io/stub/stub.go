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
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
	"cardamomspool/io/drain"
)

type (
	// Target is a stub target. Use New to create it.
	Target struct {
		service     string
		name        string
		address     netip.AddrPort
		announcer   *announcer
		dataCentre  string
		slots       int
		queue       int           // The number of calls that may wait for a slot.
		serviceTime time.Duration // The mean, before any slowdown.
		log         *slog.Logger
		record      *Record
		incarnation uint64
		crashPath   string // See WithCrash.
		crash       func()

		mu      sync.Mutex
		rng     *rand.Rand
		state   member.State
		running chan struct{} // Holds one element per call that holds a slot.
		waiting int           // Calls in the queue.

		behaviour   Behaviour
		started     time.Time
		loadHistory []loadSample // For ReportLate.
		noisyRNG    *rand.Rand   // Nil until the first noisy period is drawn.
		nextNoisy   noisyPeriod  // The current or the next one.

		noisyStart time.Time     // The time after which the first noisy period is drawn.
		changed    chan struct{} // Tells announceUntil that the state has changed.
	}

	// Option sets one property of a Target.
	Option func(*Target)

	// Record counts how often each call was run, by all targets together that were
	// given the same Record. The zero value is an empty record.
	Record struct {
		mu   sync.Mutex
		runs map[string]int
	}
)

const (
	// HeaderCall names the header field with the identity that a test caller
	// gives its call. The target returns the identity in the answer's body.
	HeaderCall = "Lab-Call"
	// ReseedPath is the path of a POST that restarts the service times and the
	// noisy periods from the seed in the query.
	ReseedPath = "/lab/reseed"

	headerTimeout = time.Second
	crashDelay    = 20 * time.Millisecond
)

// WithSlots sets the number of calls that run concurrently and the number of calls
// that wait in the queue. Further calls are refused as not run. The default is 3 slots
// and a queue of 1.
func WithSlots(slots, queue int) Option {
	return func(t *Target) { t.slots, t.queue = slots, queue }
}

// WithServiceTime sets the mean of the exponentially distributed service time; the
// default is 0.
func WithServiceTime(mean time.Duration) Option {
	return func(t *Target) { t.serviceTime = mean }
}

// WithSeed sets the seed of the service times and noisy periods; the default is 1.
func WithSeed(seed uint64) Option {
	return func(t *Target) { t.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// WithRecord sets the record that counts the runs of calls.
func WithRecord(r *Record) Option {
	return func(t *Target) { t.record = r }
}

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(t *Target) { t.log = log }
}

// WithDataCentre sets the data centre that is announced; the default is "lab".
func WithDataCentre(name string) Option {
	return func(t *Target) { t.dataCentre = name }
}

// WithCrash makes a call of path crash the target: once it has held a slot for crashDelay,
// crash is called, which must end the process.
func WithCrash(path string, crash func()) Option {
	return func(t *Target) { t.crashPath, t.crash = path, crash }
}

// New returns a target of service called name. Its Run listens on address and announces
// the target to the entry host at the address announce.
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
	t.noisyStart = t.started
	return t
}

// Run serves until ctx ends or serving fails, announces that the target is leaving, and
// then waits for the calls in progress, at most 10 s. It returns an error if it cannot
// listen or calls are still in progress after the wait. A failure to serve is logged and
// not returned.
func (t *Target) Run(ctx context.Context) error {
	var (
		l   net.Listener
		err error
	)
	if l, err = net.Listen("tcp", t.address.String()); err != nil {
		return errors.Wrap(err, "stub")
	}
	s := drain.New(&http.Server{Handler: t, ReadHeaderTimeout: headerTimeout})
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	t.announceUntil(ctx, failed)
	t.setState(member.Leaving)
	t.announceLeaving()
	stop, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.Shutdown(stop)
}

// ServeHTTP runs one call: it waits for a slot, holds it for the service time and
// answers with the call's identity. When the queue is full it refuses the call as
// not run.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ReseedPath {
		t.reseed(w, r)
		return
	}
	if call := r.Header.Get(wire.HeaderCall); call != "" {
		w.Header().Set(wire.HeaderCall, call)
	}
	if t.behaviour.FailFast {
		t.record.add(r.Header.Get(HeaderCall))
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	}
	if t.drawShed() || !t.acquireSlot(r.Context()) {
		t.setStateHeaders(w.Header())
		t.reportLoad(w, 0)
		if rest := t.behaviour.Rest; rest > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(wire.RetryAfterSeconds(rest)))
		}
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
	if t.crash != nil && r.URL.Path == t.crashPath {
		time.Sleep(crashDelay)
		t.crash()
	}
	select {
	case <-time.After(t.drawServiceTime(time.Now())):
	case <-r.Context().Done():
		return
	}
	t.setStateHeaders(w.Header())
	t.reportLoad(w, 1)
	fmt.Fprintf(w, "%s\n", id)
}

// acquireSlot waits for a slot. It reports false if the queue is full or ctx ends
// first.
func (t *Target) acquireSlot(ctx context.Context) bool {
	select {
	case t.running <- struct{}{}:
		return true
	default:
	}
	if !t.addWaiting(1) {
		return false
	}
	defer t.addWaiting(-1)
	select {
	case t.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// addWaiting adds n, 1 or -1, to the number of waiting calls. It reports false if
// the queue is full.
func (t *Target) addWaiting(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 && t.waiting >= t.queue {
		return false
	}
	t.waiting += n
	return true
}

// drawServiceTime draws the service time of a call that starts at now.
func (t *Target) drawServiceTime(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.rng.ExpFloat64() * float64(t.serviceTime) * t.slowdownFactor(now))
}

// add counts one run of the call with the given identity.
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
