package local

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cardamomspool/core/keys"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/admin"
	"cardamomspool/io/ctrl"
	"cardamomspool/io/entry"
	"cardamomspool/io/fetch"
	"cardamomspool/io/layout"
	"cardamomspool/io/load"
	"cardamomspool/io/setup"
	"cardamomspool/io/stub"
	"cardamomspool/io/telem"
)

type (
	// System is a whole system on loopback. Use New.
	System struct {
		calls int
		rate  float64 // Calls per second.
		out   io.Writer
		log   io.Writer
		// accounts are the example accounts; nil for none.
		accounts *spec.Accounts

		folder   string
		controls []setup.Control
		entries  []setup.Entry
		targets  []netip.AddrPort
		record   stub.Record
	}

	// Option sets one property of a System.
	Option func(*System)
)

const (
	controlHosts      = 3
	entryHosts        = 2
	targetCount       = 6
	serviceName       = "bookings"
	startTimeout      = 20 * time.Second
	startPollInterval = 20 * time.Millisecond
	meanServiceTime   = 4 * time.Millisecond
	controlStopGrace  = 2 * time.Second
	entryStopGrace    = 5 * time.Second
	// exampleRate (calls per second) and exampleBurst (calls) are the quota of one of the
	// example accounts: low enough that a loop of a shell meets it.
	exampleRate  = 10
	exampleBurst = 20
)

// ErrCheck is returned when a call got another call's answer, ran twice, ran although
// it was reported as not run, or has no recorded outcome.
var ErrCheck = errors.New("local: calls got wrong answers, ran twice or were lost")

// WithCalls makes Run send n calls, perSecond of them in each second, and then return.
// By default it sends none.
func WithCalls(n int, perSecond float64) Option {
	return func(s *System) { s.calls, s.rate = n, perSecond }
}

// WithAccounts has calls need a key of one of two example client accounts, whose keys Run
// prints. The keys are random.
func WithAccounts() Option {
	return func(s *System) { s.accounts = exampleAccounts() }
}

// WithOutput sets the writer to which progress and the summary go; the default is
// standard output.
func WithOutput(w io.Writer) Option {
	return func(s *System) { s.out = w }
}

// WithLog sets the writer to which all hosts log; the default discards the logs.
func WithLog(w io.Writer) Option {
	return func(s *System) { s.log = w }
}

// New returns a system; see Run to start it.
func New(opts ...Option) *System {
	s := &System{out: os.Stdout, log: io.Discard, rate: 500}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run starts all hosts and targets and waits until the system is ready for calls.
// With WithCalls it sends the calls, stops the system and returns ErrCheck when a
// call failed its checks. Without WithCalls it runs until ctx ends. It stops early
// when a host fails.
func (s *System) Run(ctx context.Context) error {
	var err error
	if s.folder, err = os.MkdirTemp("", "cardamomspool-local-"); err != nil {
		return errors.Wrap(err, "local")
	}
	defer os.RemoveAll(s.folder)
	if err = s.chooseSettings(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hostsContext, stopHosts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHosts()
	hosts, hostsContext := errgroup.WithContext(hostsContext)
	context.AfterFunc(hostsContext, cancel)
	targets, ctx := errgroup.WithContext(ctx)
	// Targets stop first, because they announce their departure to the hosts.
	stop := func() error {
		cancel()
		err := targets.Wait()
		stopHosts()
		return firstError(err, hosts.Wait())
	}
	if err = s.startHosts(hostsContext, hosts); err != nil {
		return firstError(err, stop())
	}
	s.startTargets(ctx, targets)
	if err = s.awaitReady(ctx); err != nil {
		return errors.Wrap(firstError(stop(), err), "local: start")
	}
	s.printAddresses()
	if s.calls > 0 {
		err = s.sendCalls(ctx)
		return firstError(err, stop())
	}
	<-ctx.Done()
	return stop()
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// chooseSettings chooses free loopback ports and sets the settings of all hosts.
func (s *System) chooseSettings() error {
	size := layout.Size{Controls: controlHosts, Entries: entryHosts, Targets: targetCount}
	plan, err := layout.New(s.folder, size,
		layout.WithControls(func(cfg *setup.Control) { cfg.StopGrace = strict.Duration(controlStopGrace) }),
		layout.WithEntries(func(cfg *setup.Entry) { cfg.StopGrace = strict.Duration(entryStopGrace) }))
	if err != nil {
		return err
	}
	s.controls, s.entries, s.targets = plan.Controls, plan.Entries, plan.Targets
	for i := range s.controls {
		s.controls[i].Entries = s.entryAdminAddresses()
	}
	return nil
}

// entryAdminAddresses returns the names, data centres and admin addresses of the entry
// hosts, for the control hosts, whose console shows them.
func (s *System) entryAdminAddresses() []setup.EntryAdmin {
	var list []setup.EntryAdmin
	for _, e := range s.entries {
		list = append(list, setup.EntryAdmin{Host: e.Host, DataCentre: e.DataCentre, AdminAddress: e.AdminAddress})
	}
	return list
}

// startHosts starts all control and entry hosts in group; they run until ctx ends.
func (s *System) startHosts(ctx context.Context, group *errgroup.Group) error {
	for _, cfg := range s.controls {
		h, err := ctrl.New(cfg, ctrl.WithLogger(s.logger(cfg.Host)))
		if err != nil {
			return err
		}
		group.Go(func() error { return h.Run(ctx) })
	}
	for _, cfg := range s.entries {
		h := entry.New(cfg, entry.WithLogger(s.logger(cfg.Host)))
		group.Go(func() error { return h.Run(ctx) })
	}
	return nil
}

// startTargets starts all targets in group; they run until ctx ends.
func (s *System) startTargets(ctx context.Context, group *errgroup.Group) {
	for i, address := range s.targets {
		t := stub.New(serviceName, fmt.Sprintf("target-%d", i+1), address, s.entries[i%entryHosts].AnnounceAddress,
			stub.WithRecord(&s.record), stub.WithServiceTime(meanServiceTime), stub.WithSeed(uint64(i)))
		group.Go(func() error { return t.Run(ctx) })
	}
}

// logger returns the logger of the given host, which writes to the system's log.
func (s *System) logger(host string) *slog.Logger {
	return telem.NewLogger(s.log, slog.LevelInfo, host, "local")
}

// awaitReady applies the sample document and waits until every entry host uses it
// and knows all targets. It fails after startTimeout.
func (s *System) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	doc := spec.Default()
	doc.Name = serviceName
	doc.Receive.PathPrefixes = []string{"/"}
	doc.Targets.Slots = 3
	for {
		err := s.applyAccounts(ctx)
		if err == nil {
			err = s.applyDocument(ctx, "/v1/services/"+serviceName, spec.Canonical(doc))
		}
		if err == nil && s.entriesReady(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("the entry hosts were not ready within %s; last error: %v", startTimeout, err)
		case <-time.After(startPollInterval):
		}
	}
}

// applyAccounts sends the example accounts to the first control host, if there are any.
func (s *System) applyAccounts(ctx context.Context) error {
	if s.accounts == nil {
		return nil
	}
	return s.applyDocument(ctx, admin.AccountsDocumentPath, spec.CanonicalAccounts(*s.accounts))
}

// applyDocument sends a document to the first control host. Repeating it is harmless, since
// the idempotency key stays the same.
func (s *System) applyDocument(ctx context.Context, path string, body []byte) error {
	url := fmt.Sprintf("http://%s%s", s.controls[0].AdminAddress, path)
	var (
		req  *http.Request
		resp *http.Response
		err  error
	)
	if req, err = http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body)); err != nil {
		return err
	}
	req.Header.Set("If-Match", "0")
	req.Header.Set("Idempotency-Key", "local-sample")
	if resp, err = http.DefaultClient.Do(req); err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("the change at %s was answered with %s", path, resp.Status)
	}
	return nil
}

// entriesReady reports whether every entry host uses the sample document and the example
// accounts, if there are any, and knows all targets.
func (s *System) entriesReady(ctx context.Context) bool {
	for _, cfg := range s.entries {
		var vars struct {
			Targets  int `json:"targets"`
			Services int `json:"services"`
			Document struct {
				Accounts uint64 `json:"accounts"`
			} `json:"documents"`
		}
		if err := fetch.JSON(ctx, fmt.Sprintf("http://%s/debug/vars", cfg.AdminAddress), &vars); err != nil {
			return false
		}
		if vars.Targets < targetCount || vars.Services < 1 || s.accounts != nil && vars.Document.Accounts == 0 {
			return false
		}
	}
	return true
}

func (s *System) printAddresses() {
	for _, e := range s.entries {
		fmt.Fprintf(s.out, "%s accepts calls at http://%s/ and serves metrics at http://%s/debug/vars\n", e.Host, e.CallAddress, e.AdminAddress)
	}
	for _, c := range s.controls {
		fmt.Fprintf(s.out, "%s serves the operators' API and console at http://%s/\n", c.Host, c.AdminAddress)
	}
	fmt.Fprintf(s.out, "%d stub targets serve %q\n", targetCount, serviceName)
	if s.accounts == nil {
		return
	}
	for _, a := range s.accounts.Accounts {
		fmt.Fprintf(s.out, "client account %s, rank %d, rate %g calls/s (0 for any), burst %g: Authorization: %s %s\n",
			a.Name, *a.Rank, a.Rate, a.Burst, keys.Scheme, a.Keys[0])
	}
}

// exampleAccounts returns two client accounts: one without a quota, whose calls are served
// first, and one with a quota.
func exampleAccounts() *spec.Accounts {
	first, second := 0, 1
	return &spec.Accounts{Accounts: []spec.Account{
		{Name: "desk", Keys: []string{rand.Text()}, Rank: &first},
		{Name: "shop", Keys: []string{rand.Text()}, Rank: &second, Rate: exampleRate, Burst: exampleBurst},
	}}
}

// sendCalls sends the calls, prints the summary and returns ErrCheck when a call
// failed its checks or is in none of the three counts: ctx then ended before it was
// sent.
func (s *System) sendCalls(ctx context.Context) error {
	var urls []string
	for _, e := range s.entries {
		urls = append(urls, fmt.Sprintf("http://%s/", e.CallAddress))
	}
	opts := []load.Option{load.WithRate(s.rate), load.WithRecord(&s.record), load.WithProgress(func(done, calls int) {
		fmt.Fprintf(s.out, "%d of %d calls finished\n", done, calls)
	})}
	if s.accounts != nil {
		opts = append(opts, load.WithKey(s.accounts.Accounts[0].Keys[0]))
	}
	l := load.New(urls, s.calls, opts...)
	summary := l.Run(ctx)
	var (
		line []byte
		err  error
	)
	if line, err = json.Marshal(summary); err != nil {
		return errors.Wrap(err, "local")
	}
	fmt.Fprintf(s.out, "%s\n", line)
	if summary.WrongAnswers > 0 || summary.RanTwice > 0 || summary.Answered+summary.RefusedNotRun+summary.Unknown != s.calls {
		return ErrCheck
	}
	return nil
}
