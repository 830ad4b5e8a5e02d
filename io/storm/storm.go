package storm

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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

type (
	// Storm is one run. Use New.
	Storm struct {
		system  string // Path of the system's program.
		lab     []string
		seed    uint64
		calls   int
		workers int
		gentle  bool
		folder  string

		controls, entries, targets []*process
		callAddress                map[*process]netip.AddrPort
		adminAddress               map[*process]netip.AddrPort
		records                    []string
		ready                      atomic.Pointer[[]*process]

		mu    sync.Mutex
		taken []record
	}

	// Option sets one property of a Storm.
	Option func(*Storm)
)

const (
	controlCount  = 3
	entryCount    = 3
	targetCount   = 6
	startLimit    = 30 * time.Second
	pollInterval  = 50 * time.Millisecond
	callTimeout   = 20 * time.Second
	entryDrain    = time.Second
	stopGrace     = 10 * time.Second
	longestPause  = 300 * time.Millisecond
	longestFreeze = 1500 * time.Millisecond
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
	return func(s *Storm) { s.seed = seed }
}

// WithCalls sets the number of calls.
func WithCalls(n int) Option {
	return func(s *Storm) { s.calls = n }
}

// WithGentle leaves out kills and freezes, so that nothing may be cut off.
func WithGentle() Option {
	return func(s *Storm) { s.gentle = true }
}

// New returns a storm over processes of the program called system. The
// command lab, followed by a target's flags, runs a Target. Everything is
// written below folder.
func New(system string, lab []string, folder string, opts ...Option) *Storm {
	s := &Storm{
		system: system, lab: lab, folder: folder, seed: 1, calls: 2000, workers: 12,
		callAddress: make(map[*process]netip.AddrPort), adminAddress: make(map[*process]netip.AddrPort),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run starts all processes, sends the calls while events go on, ends all
// processes and returns the checker's report.
func (s *Storm) Run(ctx context.Context) (Report, error) {
	var (
		report Report
		events int
		runs   map[string]int
		err    error
	)
	if err = s.plan(); err != nil {
		return report, err
	}
	defer s.killAll()
	if err = s.startAll(ctx); err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.balance(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.send(ctx)
	}()
	if events, err = s.disturb(done); err != nil {
		return report, err
	}
	<-done
	s.killAll()
	if runs, err = readRuns(s.records); err != nil {
		return report, err
	}
	report = check(s.taken, runs, s.hurt)
	report.Events = events
	return report, report.Err()
}

// hurt reports whether a killed or frozen process may have touched a call.
func (s *Storm) hurt(c *record) bool {
	if c.entry.wasHurt(c.begin, c.end) {
		return true
	}
	for _, p := range s.targets {
		if p.wasHurt(c.begin, c.end) {
			return true
		}
	}
	return false
}

func (s *Storm) processes() []*process {
	return append(append(append([]*process(nil), s.controls...), s.entries...), s.targets...)
}

func (s *Storm) startAll(ctx context.Context) error {
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	var err error
	for {
		if err = s.applyService(ctx); err == nil && s.allKnown(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("storm: the system was not ready within %s (last: %v)", startLimit, err)
		case <-time.After(pollInterval):
		}
	}
}

func (s *Storm) killAll() {
	for _, p := range s.processes() {
		if p.cmd == nil {
			continue
		}
		if err := p.kill(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

func (s *Storm) applyService(ctx context.Context) error {
	doc := spec.Default()
	doc.Name = serviceName
	doc.Receive.PathPrefixes = []string{"/"}
	doc.Receive.Deadline = strict.Duration(callDeadline)
	doc.Targets.Slots = targetSlots
	var (
		body []byte
		req  *http.Request
		resp *http.Response
		err  error
	)
	if body, err = json.Marshal(doc); err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s/v1/services/%s", s.adminAddress[s.controls[0]], serviceName)
	if req, err = http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body)); err != nil {
		return err
	}
	req.Header.Set("If-Match", "0")
	req.Header.Set("Idempotency-Key", "storm")
	if resp, err = http.DefaultClient.Do(req); err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("storm: the service was answered with %s", resp.Status)
	}
	return nil
}

// allKnown reports whether all entry hosts are ready and know all targets.
func (s *Storm) allKnown(ctx context.Context) bool {
	for _, p := range s.entries {
		var vars struct {
			Targets  int `json:"targets"`
			Services int `json:"services"`
		}
		if !s.isReady(ctx, p) || s.readVars(ctx, p, &vars) != nil || vars.Targets < targetCount || vars.Services < 1 {
			return false
		}
	}
	return true
}

func (s *Storm) readVars(ctx context.Context, p *process, v any) error {
	resp, err := s.get(ctx, p, "/debug/vars")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

func (s *Storm) isReady(ctx context.Context, p *process) bool {
	resp, err := s.get(ctx, p, "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

func (s *Storm) get(ctx context.Context, p *process, path string) (*http.Response, error) {
	client := http.Client{Timeout: callTimeout / 40}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.adminAddress[p].String()+path, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// balance stands in for the platform's balancer: it asks every entry host
// whether it is ready and leaves out those that are not.
func (s *Storm) balance(ctx context.Context) {
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

// disturb does one thing after another to the processes until done.
func (s *Storm) disturb(done <-chan struct{}) (int, error) {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	for n := 0; ; n++ {
		select {
		case <-done:
			return n, nil
		case <-time.After(time.Duration(rng.Int64N(int64(longestPause)))):
		}
		if err := s.event(rng); err != nil {
			return n, err
		}
	}
}

func (s *Storm) event(rng *rand.Rand) error {
	all := s.processes()
	p := all[rng.IntN(len(all))]
	action := rng.IntN(3)
	freeze := time.Duration(rng.Int64N(int64(longestFreeze)))
	switch {
	case s.gentle || action == 0:
		return s.stopAndStart(p)
	case action == 1:
		return s.killAndStart(p)
	default:
		return s.freeze(p, freeze)
	}
}

func (s *Storm) stopAndStart(p *process) error {
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

func (s *Storm) killAndStart(p *process) error {
	p.open(&p.hurt)
	defer p.close(&p.hurt)
	if err := p.kill(); err != nil {
		return err
	}
	return p.start()
}

func (s *Storm) freeze(p *process, d time.Duration) error {
	p.open(&p.hurt)
	defer p.close(&p.hurt)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return p.signal(syscall.SIGCONT)
}

// send makes all calls, each worker one after the other.
func (s *Storm) send(ctx context.Context) {
	var (
		group sync.WaitGroup
		next  atomic.Int64
	)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: s.workers, DisableCompression: true}}
	for worker := range s.workers {
		rng := rand.New(rand.NewPCG(s.seed, uint64(worker)+100))
		group.Go(func() {
			for ctx.Err() == nil {
				i := next.Add(1)
				if i > int64(s.calls) {
					return
				}
				s.call(ctx, client, rng, i)
			}
		})
	}
	group.Wait()
}

func (s *Storm) call(ctx context.Context, client *http.Client, rng *rand.Rand, i int64) {
	entry := s.pick(ctx, rng)
	if entry == nil {
		return
	}
	c := record{id: fmt.Sprintf("call-%d", i), entry: entry, safe: rng.IntN(safeOneIn) == 0, begin: time.Now()}
	upload := rng.IntN(uploadOneIn) == 0
	c.err = s.exchange(ctx, client, &c, upload)
	c.end = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = append(s.taken, c)
}

// pick returns a ready entry host, or nil when ctx ends first.
func (s *Storm) pick(ctx context.Context, rng *rand.Rand) *process {
	for ctx.Err() == nil {
		if list := s.ready.Load(); list != nil && len(*list) > 0 {
			return (*list)[rng.IntN(len(*list))]
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (s *Storm) exchange(ctx context.Context, client *http.Client, c *record, upload bool) error {
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
		return err
	}
	req.ContentLength = length
	req.Header.Set(headerCall, c.id)
	if resp, err = client.Do(req); err != nil {
		return err
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer)); err != nil {
		return err
	}
	c.status, c.outcome = resp.StatusCode, resp.Header.Get("Spool-Outcome")
	c.own = c.status == http.StatusOK && string(answer) == answerTo(c.id, length)
	return nil
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
func (s *Storm) recordFile(name string) string {
	return filepath.Join(s.folder, name+".record")
}
