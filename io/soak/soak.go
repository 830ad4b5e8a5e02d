package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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

	"cardamomspool/core/wire"
)

type (
	// Soak is one soak test run. Use New to create it.
	Soak struct {
		program       string // Path of the executable under test.
		targetCommand []string
		seed          uint64
		callCount     int
		workers       int           // Callers, each with one call at a time.
		pause         time.Duration // Between two calls of a worker.
		upgradePause  time.Duration // See WithUpgradePause.
		gentle        bool          // See WithGentle.
		folder        string

		controlCount, entryCount, targetCount int
		spareControls                         int // Control hosts that need not vote.
		// fixedEvents, unless nil, replaces the events drawn from the seed.
		fixedEvents []Event
		progress    io.Writer
		timeline    timeline
		diskLoss    sync.Mutex // Held while a control host recovers from the loss of its disk.
		isolation   sync.Mutex // Held while a control host is isolated, so that only one is at a time.
		operator    *operator
		keyring     *keyring
		protocol    protocol

		controls, entries, targets []*process
		relays                     []*disturbedRelay
		callRelays                 []*disturbedRelay // The relays between entry hosts and targets.
		callAddress                map[*process]netip.AddrPort
		adminAddress               map[*process]netip.AddrPort
		recordFiles                []string
		readyEntries               atomic.Pointer[[]*process]

		mu          sync.Mutex
		callRecords []callRecord
	}

	// caller makes calls one after another.
	caller struct {
		client *http.Client
		sticky bool     // Keeps to one connection until that connection ends.
		entry  *process // The entry host that the current connection leads to.
	}

	// protocol is how calls of a run are made.
	protocol struct {
		// draw draws the key of a call that begins now at an entry host.
		draw func(rng *rand.Rand, entry *process) callKey
		// prepare has a request carry what the deployment asks for.
		prepare func(c *callRecord, req *http.Request)
		// outcome returns the outcome that an answer tells, empty for one of a target.
		outcome func(resp *http.Response) string
	}

	// Option sets one property of a Soak.
	Option func(*Soak)
)

const (
	startTimeout    = 30 * time.Second
	pollInterval    = 50 * time.Millisecond
	callTimeout     = 20 * time.Second
	entryDrainDelay = time.Second
	stopGrace       = 10 * time.Second
	// maxRun is the time for which events are drawn. A longer run has no faults
	// after it.
	maxRun = 10 * time.Minute
	// One in stickyOneIn callers is sticky.
	stickyOneIn = 4
	// recoveryTime is how long after a fault has ended calls may still fail on
	// connections that the fault broke.
	recoveryTime = 3 * time.Second
	// One in uploadOneIn calls has a body of uploadChunks chunks, and one in
	// idempotentOneIn calls is idempotent.
	uploadChunks        = 8
	uploadChunkBytes    = 16 << 10
	uploadChunkInterval = 10 * time.Millisecond
	uploadOneIn         = 5
	idempotentOneIn     = 3
	callDeadline        = 5 * time.Second
	maxAnswerBytes      = 16 << 20
)

// WithSeed sets the seed of the events and the calls.
func WithSeed(seed uint64) Option {
	return func(s *Soak) { s.seed = seed }
}

// WithCalls sets the number of calls.
func WithCalls(n int) Option {
	return func(s *Soak) { s.callCount = n }
}

// WithPause sets the time between two calls of one worker; the default is 0.
func WithPause(d time.Duration) Option {
	return func(s *Soak) { s.pause = d }
}

// WithSize sets the numbers of processes; the default is 3, 3 and 6.
func WithSize(controls, entries, targets int) Option {
	return func(s *Soak) { s.controlCount, s.entryCount, s.targetCount = controls, entries, targets }
}

// WithEvents replaces the events drawn from the seed.
func WithEvents(events []Event) Option {
	return func(s *Soak) { s.fixedEvents = events }
}

// WithProgress writes the numbers of calls that have ended and of injected faults to w
// every second.
func WithProgress(w io.Writer) Option {
	return func(s *Soak) { s.progress = w }
}

// WithGentle leaves out faults that may cut calls off: kills and freezes of entry
// hosts and targets, faults on the connections between them, and resets by a full target.
func WithGentle() Option {
	return func(s *Soak) { s.gentle = true }
}

// New returns a soak test of the executable at the path program. The command
// targetCommand, with the flags of spoollab's soak-target subcommand appended, must
// run a Target. All files are written to folder.
func New(program string, targetCommand []string, folder string, opts ...Option) *Soak {
	s := &Soak{
		program: program, targetCommand: targetCommand, folder: folder, seed: 1, callCount: 2000, workers: 12,
		controlCount: 3, entryCount: 3, targetCount: 6, progress: io.Discard,
		callAddress: make(map[*process]netip.AddrPort), adminAddress: make(map[*process]netip.AddrPort),
	}
	s.operator = &operator{soak: s, queueLengths: make(map[uint64]int)}
	s.keyring = &keyring{soak: s, withdrawn: make(map[int]uint64), inForce: make(map[*process]uint64)}
	s.protocol = protocol{
		draw: s.keyring.draw, prepare: func(*callRecord, *http.Request) {},
		outcome: func(resp *http.Response) string { return resp.Header.Get(wire.HeaderOutcome) },
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run starts all processes, sends the calls while it injects faults, kills all
// processes and returns the report. It returns ErrFaults when Report.Faults is not
// empty.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	var (
		report Report
		runs   map[string]int
		seen   map[string][]sighting
		resets map[string]int
		err    error
	)
	if err = s.prepare(); err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var relays sync.WaitGroup
	defer relays.Wait()
	defer cancel()
	for _, r := range s.relays {
		relays.Go(func() { r.Run(ctx) })
	}
	defer s.killAll()
	if err = s.startAll(ctx); err != nil {
		return report, err
	}
	events := s.fixedEvents
	if events == nil {
		events = s.drawEvents(maxRun)
	}
	if err = s.runWithFaults(ctx, events); err != nil {
		return report, err
	}
	s.operator.readFromAll(ctx)
	s.killAll()
	if runs, err = readRuns(s.recordFiles); err != nil {
		return report, err
	}
	if seen, err = readSightings(s.recordFiles); err != nil {
		return report, err
	}
	if resets, err = s.readResets(); err != nil {
		return report, err
	}
	report = check(s.callRecords, runs, func(c *callRecord) bool { return resets[c.id] > 0 || s.disturbed(c) })
	report.checkKeys(s.callRecords, seen)
	report.checkResets(s.callRecords, runs, resets)
	if err = s.checkLimits(&report); err != nil {
		return report, err
	}
	s.checkCuts(&report)
	s.operator.addTo(&report)
	s.keyring.addTo(&report)
	s.addTimeline(&report)
	return report, report.Err()
}

// addTimeline adds the faults of a report to the timeline, and the timeline to the report.
func (s *Soak) addTimeline(report *Report) {
	for _, text := range report.Faults {
		s.timeline.add("broken: %s", text)
	}
	report.Seed, report.Timeline = s.seed, s.timeline.lines()
	s.timeline.mu.Lock()
	defer s.timeline.mu.Unlock()
	for _, e := range s.timeline.events {
		report.Events++
		report.addEvent(e)
	}
}

// runWithFaults sends the calls and carries out the events until all calls have
// ended.
func (s *Soak) runWithFaults(ctx context.Context, events []Event) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.timeline.begin = time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.pollReadiness(ctx) })
	group.Go(func() { s.operator.run(ctx) })
	group.Go(func() { s.keyring.run(ctx) })
	group.Go(func() { s.reportProgress(ctx) })
	group.Go(func() {
		defer cancel()
		s.sendCalls(ctx)
	})
	if err := s.injectFaults(ctx, events); err != nil && !errors.Is(err, context.Canceled) {
		cancel()
		return err
	}
	<-ctx.Done()
	return nil
}

// reportProgress writes the progress every second until ctx ends; see WithProgress.
func (s *Soak) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			calls := len(s.callRecords)
			s.mu.Unlock()
			s.timeline.mu.Lock()
			fmt.Fprintf(s.progress, "%d of %d calls, %d faults\n", calls, s.callCount, len(s.timeline.events))
			s.timeline.mu.Unlock()
		}
	}
}

// carriesCalls reports whether a relay lies between entry hosts and a target.
func (s *Soak) carriesCalls(r *disturbedRelay) bool {
	return slices.Contains(s.callRelays, r)
}

// carriesAnnouncements reports whether a relay lies between a target and an entry
// host that the target announces itself to.
func (s *Soak) carriesAnnouncements(r *disturbedRelay) bool {
	return strings.HasPrefix(r.name, string(KindTarget)+"-")
}

// disturbed reports whether an injected fault may have cut the call off: a kill or
// freeze of its entry host or of any target, a fault of a relay between entry hosts and
// targets, or a cut between its entry host and the targets, during which a fault of another
// entry host may break it as well. A fault counts until recoveryTime after its end.
func (s *Soak) disturbed(c *callRecord) bool {
	return c.entry.hadOutage(c.begin, c.end) || c.entry.wasCut(c.begin, c.end) || s.targetsDisturbed(c)
}

// targetsDisturbed reports whether a kill or freeze of a target or a fault of a relay
// between entry hosts and targets may affect the call.
func (s *Soak) targetsDisturbed(c *callRecord) bool {
	if slices.ContainsFunc(s.callRelays, func(r *disturbedRelay) bool { return r.disturbedAt(c.begin, c.end) }) {
		return true
	}
	return slices.ContainsFunc(s.targets, func(p *process) bool { return p.hadOutage(c.begin, c.end) })
}

// processes returns all processes: control hosts, entry hosts and targets, in this order.
func (s *Soak) processes() []*process {
	return append(append(append([]*process(nil), s.controls...), s.entries...), s.targets...)
}

// startAll starts all processes and waits until the service is created and all entry
// hosts know all targets, for startTimeout at most.
func (s *Soak) startAll(ctx context.Context) error {
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	for {
		if err = s.keyring.create(ctx); err == nil {
			err = s.operator.createService(ctx)
		}
		if err == nil && s.allTargetsKnown(ctx) {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return errors.Errorf("soak: the system was not ready within %s (last: %v)", startTimeout, err)
		}
	}
}

// killAll kills all processes that were started. Errors go to standard error.
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

// allTargetsKnown reports whether all entry hosts are ready and know the service, the
// accounts and all targets.
func (s *Soak) allTargetsKnown(ctx context.Context) bool {
	for _, p := range s.entries {
		var vars struct {
			Targets  int `json:"targets"`
			Services int `json:"services"`
			Document struct {
				Accounts uint64 `json:"accounts"`
			} `json:"documents"`
		}
		if !s.isReady(ctx, p) || s.readVars(ctx, p, &vars) != nil || vars.Targets < s.targetCount || vars.Services < 1 || vars.Document.Accounts == 0 {
			return false
		}
	}
	return true
}

// readVars decodes the metrics of a host into v.
func (s *Soak) readVars(ctx context.Context, p *process, v any) error {
	resp, err := s.get(ctx, p, "/debug/vars")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// isReady reports whether the host's readiness check is answered with a status below
// 300.
func (s *Soak) isReady(ctx context.Context, p *process) bool {
	resp, err := s.get(ctx, p, "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

// get sends a GET to the admin address of a host, with a timeout of half a second.
func (s *Soak) get(ctx context.Context, p *process, path string) (*http.Response, error) {
	client := http.Client{Timeout: callTimeout / 40}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.adminAddress[p].String()+path, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// pollReadiness does the work of the load balancer in front of the entry hosts: it
// polls the readiness of every entry host until ctx ends, and updates readyEntries.
func (s *Soak) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		var list []*process
		for _, p := range s.entries {
			if s.isReady(ctx, p) {
				list = append(list, p)
			}
		}
		s.readyEntries.Store(&list)
		time.Sleep(pollInterval)
	}
}

// sendCalls makes all calls. Each worker makes one call at a time.
func (s *Soak) sendCalls(ctx context.Context) {
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
				if i > int64(s.callCount) {
					return
				}
				s.call(ctx, c, rng, i)
				sleep(ctx, s.pause)
			}
		})
	}
	group.Wait()
}

// call makes the i-th call and records it. A sticky caller uses its connection until
// that connection ends, even if the entry host is no longer ready. If ctx ends before
// an entry host is ready, no call is made.
func (s *Soak) call(ctx context.Context, from *caller, rng *rand.Rand, i int64) {
	if from.entry == nil || !from.sticky {
		if from.entry = s.pick(ctx, rng); from.entry == nil {
			return
		}
	}
	c := callRecord{id: fmt.Sprintf("call-%d", i), entry: from.entry, idempotent: rng.IntN(idempotentOneIn) == 0}
	c.key = s.protocol.draw(rng, c.entry)
	c.begin = time.Now()
	upload := rng.IntN(uploadOneIn) == 0
	var closed bool
	closed, c.err = s.exchange(ctx, from.client, &c, upload)
	c.end = time.Now()
	if errors.Is(c.err, context.Canceled) {
		return // The run has ended before the call.
	}
	if closed || c.err != nil {
		from.entry = nil
	}
	if isDialError(c.err) {
		s.withdraw(c.entry)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callRecords = append(s.callRecords, c)
}

// pick returns a random ready entry host, or nil if ctx ends first.
func (s *Soak) pick(ctx context.Context, rng *rand.Rand) *process {
	for ctx.Err() == nil {
		if list := s.readyEntries.Load(); list != nil && len(*list) > 0 {
			return (*list)[rng.IntN(len(*list))]
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// withdraw takes an entry host that accepts no connection out of readyEntries until the
// next poll. Without it, calls that fail at once would use up the run.
func (s *Soak) withdraw(entry *process) {
	list := s.readyEntries.Load()
	if list == nil {
		return
	}
	rest := slices.DeleteFunc(slices.Clone(*list), func(p *process) bool { return p == entry })
	// If the poll has replaced the list meanwhile, its word is newer.
	s.readyEntries.CompareAndSwap(list, &rest)
}

// isDialError reports whether err is that of a connection that could not be opened.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// exchange makes the call, fills in the fields of c that depend on the answer, and
// reports whether the connection ends with the call.
func (s *Soak) exchange(ctx context.Context, client *http.Client, c *callRecord, upload bool) (bool, error) {
	method := http.MethodPost
	if c.idempotent {
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
		body, length = &slowBody{chunks: uploadChunks}, uploadChunks*uploadChunkBytes
	}
	if req, err = http.NewRequestWithContext(ctx, method, "http://"+s.callAddress[c.entry].String()+"/", io.NopCloser(body)); err != nil {
		return true, err
	}
	req.ContentLength = length
	req.Header.Set(headerCall, c.id)
	c.key.set(req.Header)
	s.protocol.prepare(c, req)
	if resp, err = client.Do(req); err != nil {
		return true, err
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return true, err
	}
	c.status, c.outcome = resp.StatusCode, s.protocol.outcome(resp)
	c.intact = c.status == http.StatusOK && string(answer) == answerTo(c.id, length)
	return resp.Close, nil
}

// slowBody is a request body that is sent in chunks with pauses.
type slowBody struct {
	chunks    int // Chunks not yet started.
	chunkLeft int // Bytes left in the current chunk.
}

// Read returns bytes of the current chunk, and pauses before each new chunk.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.chunkLeft == 0 {
		if b.chunks == 0 {
			return 0, io.EOF
		}
		time.Sleep(uploadChunkInterval)
		b.chunks--
		b.chunkLeft = uploadChunkBytes
	}
	n := min(len(p), b.chunkLeft)
	b.chunkLeft -= n
	return n, nil
}

// recordFile returns the path of the file to which the target called name writes
// its calls.
func (s *Soak) recordFile(name string) string {
	return filepath.Join(s.folder, name+".record")
}
