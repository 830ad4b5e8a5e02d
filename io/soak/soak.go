package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

type (
	// Soak is one run. Use New.
	Soak struct {
		system  string // Path of the system's program.
		lab     []string
		seed    uint64
		calls   int
		workers int
		gentle  bool
		folder  string

		controlCount, entryCount, targetCount int
		// chosen replaces the events that the seed gives.
		chosen   []Event
		progress io.Writer
		timeline timeline
		disks    sync.Mutex // Held while a control host recovers from the loss of its disk.
		cut      sync.Mutex // Held while a control host is isolated.
		operator *operator

		controls, entries, targets []*process
		relays                     []*relay
		callRelays                 []*relay // Those between entry hosts and targets.
		callAddress                map[*process]netip.AddrPort
		adminAddress               map[*process]netip.AddrPort
		records                    []string
		ready                      atomic.Pointer[[]*process]

		mu    sync.Mutex
		taken []record
	}

	// caller is who makes calls, one after another.
	caller struct {
		client *http.Client
		sticky bool
		entry  *process // Of the present connection.
	}

	// Option sets one property of a Soak.
	Option func(*Soak)
)

const (
	startLimit   = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = 20 * time.Second
	entryDrain   = time.Second
	stopGrace    = 10 * time.Second
	// longestRun bounds what the seed's events are drawn for.
	longestRun = 10 * time.Minute
	// stickyOneIn is the part of callers that stay on their connection.
	stickyOneIn = 4
	// aftermath is how long after a process is back calls may still meet
	// connections that it had lost.
	aftermath    = 3 * time.Second
	uploadParts  = 8
	uploadPart   = 16 << 10
	uploadPause  = 10 * time.Millisecond
	uploadOneIn  = 5
	safeOneIn    = 3
	callDeadline = 5 * time.Second
	maxAnswer    = 16 << 20
)

// WithSeed sets the seed of the events and the calls.
func WithSeed(seed uint64) Option {
	return func(s *Soak) { s.seed = seed }
}

// WithCalls sets the number of calls.
func WithCalls(n int) Option {
	return func(s *Soak) { s.calls = n }
}

// WithSize sets the numbers of processes; the default is 3, 3 and 6.
func WithSize(controls, entries, targets int) Option {
	return func(s *Soak) { s.controlCount, s.entryCount, s.targetCount = controls, entries, targets }
}

// WithEvents replaces the events that the seed gives.
func WithEvents(events []Event) Option {
	return func(s *Soak) { s.chosen = events }
}

// WithProgress has the numbers of calls and faults written to w every second.
func WithProgress(w io.Writer) Option {
	return func(s *Soak) { s.progress = w }
}

// WithGentle leaves out what may cut calls off: kills and freezes of entry hosts
// and targets, and faults between them.
func WithGentle() Option {
	return func(s *Soak) { s.gentle = true }
}

// New returns a soak over processes of the program called system. The
// command lab, followed by a target's flags, runs a Target. Everything is
// written below folder.
func New(system string, lab []string, folder string, opts ...Option) *Soak {
	s := &Soak{
		system: system, lab: lab, folder: folder, seed: 1, calls: 2000, workers: 12,
		controlCount: 3, entryCount: 3, targetCount: 6, progress: io.Discard,
		callAddress: make(map[*process]netip.AddrPort), adminAddress: make(map[*process]netip.AddrPort),
	}
	s.operator = &operator{soak: s, sent: make(map[uint64]int)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run starts all processes, sends the calls while faults happen, ends all
// processes and returns the checker's report.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	var (
		report Report
		runs   map[string]int
		err    error
	)
	if err = s.plan(); err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var relays sync.WaitGroup
	defer relays.Wait()
	defer cancel()
	for _, r := range s.relays {
		relays.Go(func() { r.run(ctx) })
	}
	defer s.killAll()
	if err = s.startAll(ctx); err != nil {
		return report, err
	}
	events := s.chosen
	if events == nil {
		events = s.draw(longestRun)
	}
	if err = s.trouble(ctx, events); err != nil {
		return report, err
	}
	s.operator.settle(ctx)
	s.killAll()
	if runs, err = readRuns(s.records); err != nil {
		return report, err
	}
	report = check(s.taken, runs, s.hurt)
	s.operator.report(&report)
	for _, text := range report.Faults {
		s.timeline.add("broken: %s", text)
	}
	report.Seed, report.Timeline = s.seed, s.timeline.lines()
	s.timeline.mu.Lock()
	defer s.timeline.mu.Unlock()
	for _, e := range s.timeline.done {
		report.Events++
		report.count(e)
	}
	return report, report.Err()
}

// trouble sends the calls, and lets the events happen until they have ended.
func (s *Soak) trouble(ctx context.Context, events []Event) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.timeline.begin = time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.balance(ctx) })
	group.Go(func() { s.operator.run(ctx) })
	group.Go(func() { s.tellProgress(ctx) })
	group.Go(func() {
		defer cancel()
		s.send(ctx)
	})
	if err := s.inflict(ctx, events); err != nil && !errors.Is(err, context.Canceled) {
		cancel()
		return err
	}
	<-ctx.Done()
	return nil
}

func (s *Soak) tellProgress(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			calls := len(s.taken)
			s.mu.Unlock()
			s.timeline.mu.Lock()
			fmt.Fprintf(s.progress, "%d of %d calls, %d faults\n", calls, s.calls, len(s.timeline.done))
			s.timeline.mu.Unlock()
		}
	}
}

// carriesCalls reports whether a relay lies between entry hosts and a target.
func (s *Soak) carriesCalls(r *relay) bool {
	return slices.Contains(s.callRelays, r)
}

// announces reports whether a relay lies between a target and the entry host
// that it announces itself to.
func (s *Soak) announces(r *relay) bool {
	return strings.HasPrefix(r.name, string(KindTarget)+"-")
}

// hurt reports whether a fault may have cut a call off: a kill or freeze of its
// entry host or of a target, or one between the two.
func (s *Soak) hurt(c *record) bool {
	for _, r := range s.callRelays {
		r.mu.Lock()
		hurt := covers(r.hurt, c.begin, c.end)
		r.mu.Unlock()
		if hurt {
			return true
		}
	}
	if c.entry.wasHurt(c.begin, c.end) {
		return true
	}
	return slices.ContainsFunc(s.targets, func(p *process) bool { return p.wasHurt(c.begin, c.end) })
}

func (s *Soak) processes() []*process {
	return append(append(append([]*process(nil), s.controls...), s.entries...), s.targets...)
}

func (s *Soak) startAll(ctx context.Context) error {
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	var err error
	for {
		if err = s.operator.begin(ctx); err == nil && s.allKnown(ctx) {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return errors.Errorf("soak: the system was not ready within %s (last: %v)", startLimit, err)
		}
	}
}

func (s *Soak) killAll() {
	for _, p := range s.processes() {
		if p.cmd == nil {
			continue
		}
		if err := p.kill(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

// allKnown reports whether all entry hosts are ready and know all targets.
func (s *Soak) allKnown(ctx context.Context) bool {
	for _, p := range s.entries {
		var vars struct {
			Targets  int `json:"targets"`
			Services int `json:"services"`
		}
		if !s.isReady(ctx, p) || s.readVars(ctx, p, &vars) != nil || vars.Targets < s.targetCount || vars.Services < 1 {
			return false
		}
	}
	return true
}

func (s *Soak) readVars(ctx context.Context, p *process, v any) error {
	resp, err := s.get(ctx, p, "/debug/vars")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

func (s *Soak) isReady(ctx context.Context, p *process) bool {
	resp, err := s.get(ctx, p, "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

func (s *Soak) get(ctx context.Context, p *process, path string) (*http.Response, error) {
	client := http.Client{Timeout: callTimeout / 40}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.adminAddress[p].String()+path, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// balance stands in for the platform's balancer: it asks every entry host
// whether it is ready and leaves out those that are not.
func (s *Soak) balance(ctx context.Context) {
	for ctx.Err() == nil {
		var list []*process
		for _, p := range s.entries {
			if s.isReady(ctx, p) {
				list = append(list, p)
			}
		}
		s.ready.Store(&list)
		time.Sleep(pollInterval)
	}
}

// send makes all calls, each worker one after the other.
func (s *Soak) send(ctx context.Context) {
	var (
		group sync.WaitGroup
		next  atomic.Int64
	)
	shared := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: s.workers, DisableCompression: true}}
	for worker := range s.workers {
		c := &caller{client: shared}
		if worker%stickyOneIn == 0 {
			c = &caller{sticky: true, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
		}
		rng := rand.New(rand.NewPCG(s.seed, uint64(worker)+100))
		group.Go(func() {
			for ctx.Err() == nil {
				i := next.Add(1)
				if i > int64(s.calls) {
					return
				}
				s.call(ctx, c, rng, i)
			}
		})
	}
	group.Wait()
}

// call makes one call. A sticky caller goes on using its connection until that
// ends, whatever the balancer says of the entry host.
func (s *Soak) call(ctx context.Context, by *caller, rng *rand.Rand, i int64) {
	if by.entry == nil || !by.sticky {
		if by.entry = s.pick(ctx, rng); by.entry == nil {
			return
		}
	}
	c := record{id: fmt.Sprintf("call-%d", i), entry: by.entry, safe: rng.IntN(safeOneIn) == 0, begin: time.Now()}
	upload := rng.IntN(uploadOneIn) == 0
	var closed bool
	closed, c.err = s.exchange(ctx, by.client, &c, upload)
	c.end = time.Now()
	if closed || c.err != nil {
		by.entry = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = append(s.taken, c)
}

// pick returns a ready entry host, or nil when ctx ends first.
func (s *Soak) pick(ctx context.Context, rng *rand.Rand) *process {
	for ctx.Err() == nil {
		if list := s.ready.Load(); list != nil && len(*list) > 0 {
			return (*list)[rng.IntN(len(*list))]
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// exchange makes the call and reports whether the connection ends with it.
func (s *Soak) exchange(ctx context.Context, client *http.Client, c *record, upload bool) (bool, error) {
	method := http.MethodPost
	if c.safe {
		method = http.MethodPut
	}
	var (
		body   io.Reader = bytes.NewReader([]byte(c.id))
		length           = int64(len(c.id))
		req    *http.Request
		resp   *http.Response
		answer []byte
		err    error
	)
	if upload {
		body, length = &slowBody{parts: uploadParts}, uploadParts*uploadPart
	}
	if req, err = http.NewRequestWithContext(ctx, method, "http://"+s.callAddress[c.entry].String()+"/", io.NopCloser(body)); err != nil {
		return true, err
	}
	req.ContentLength = length
	req.Header.Set(headerCall, c.id)
	if resp, err = client.Do(req); err != nil {
		return true, err
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer)); err != nil {
		return true, err
	}
	c.status, c.outcome = resp.StatusCode, resp.Header.Get("Spool-Outcome")
	c.own = c.status == http.StatusOK && string(answer) == answerTo(c.id, length)
	return resp.Close, nil
}

// slowBody is an upload that takes a while.
type slowBody struct {
	parts int
	left  int
}

// Read gives one part after another, with a pause before each.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		if b.parts == 0 {
			return 0, io.EOF
		}
		time.Sleep(uploadPause)
		b.parts--
		b.left = uploadPart
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// recordFile returns where the target called name writes its record.
func (s *Soak) recordFile(name string) string {
	return filepath.Join(s.folder, name+".record")
}
