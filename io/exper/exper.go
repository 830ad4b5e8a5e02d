package exper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/io/fetch"
	"cardamomspool/io/load"
	"cardamomspool/io/stub"
)

type (
	// Config says what to start and how long to measure.
	Config struct {
		// Binary is the path of cardamomspool, Lab that of spoollab.
		Binary, Lab string
		// Controls, Entries and Targets are numbers of processes.
		Controls, Entries, Targets int
		// Slots and Queue are those of each target.
		Slots, Queue int
		// Mean is the mean service time.
		Mean time.Duration
		// Span is how long each policy is measured with each seed.
		Span time.Duration
		// Seeds is the number of rounds over all policies.
		Seeds int
		// Policies are compared with each other.
		Policies []string
		// LogOneIn is the entry hosts' decision_log_one_in.
		LogOneIn int
	}

	// Row is the result of one policy with one seed.
	Row struct {
		Scenario string `json:"scenario"`
		Policy   string `json:"policy"`
		Seed     int    `json:"seed"`
		load.Summary
		// AttemptsPerCall and RetriesPerCall count what entry hosts sent.
		AttemptsPerCall float64 `json:"attempts_per_call"`
		RetriesPerCall  float64 `json:"retries_per_call"`
		// ProbesPerCall counts calls made only to measure targets.
		ProbesPerCall float64 `json:"probes_per_call"`
		// ProcessorMicros is the entry hosts' processor time per call.
		ProcessorMicros float64 `json:"processor_us_per_call"`
	}

	// counters are the metrics of all entry hosts together.
	counters struct{ attempts, retries, probes float64 }
)

const (
	serviceName = "lab"
	startLimit  = 30 * time.Second
	startPoll   = 100 * time.Millisecond
	warmUp      = 1500 * time.Millisecond
)

// Run measures all policies of cfg in s, with one seed after another, and
// hands each result to each as it comes.
func Run(ctx context.Context, cfg Config, s Scenario, each func(Row)) error {
	f, err := newFleet(cfg)
	if err != nil {
		return err
	}
	defer f.stop()
	r := &runner{fleet: f, scenario: s}
	if err = r.start(ctx); err != nil {
		return err
	}
	for seed := range cfg.Seeds {
		for i := range cfg.Policies {
			var row Row
			if row, err = r.measure(ctx, cfg.Policies[(i+seed)%len(cfg.Policies)], seed+1); err != nil {
				return err
			}
			each(row)
		}
	}
	return nil
}

// runner runs one scenario on a fleet.
type runner struct {
	fleet    *fleet
	scenario Scenario
	revision int
}

// start starts the hosts, applies a first document, starts the targets and
// waits until all entry hosts know all of them.
func (r *runner) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := r.fleet.startHosts(); err != nil {
		return err
	}
	if err := wait(ctx, func() bool { return r.applied(ctx) && r.known(ctx, 0) }); err != nil {
		return err
	}
	if err := r.fleet.startTargets(r.scenario, 1); err != nil {
		return err
	}
	return wait(ctx, func() bool { return r.known(ctx, r.fleet.cfg.Targets) })
}

func wait(ctx context.Context, done func() bool) error {
	for !done() {
		if !pause(ctx, startPoll) {
			return errors.Errorf("exper: the processes were not ready within %s", startLimit)
		}
	}
	return nil
}

func (r *runner) applied(ctx context.Context) bool {
	return r.revision > 0 || r.apply(ctx, spec.PolicyLeastOutstanding) == nil
}

// known reports whether all entry hosts have the service and that many targets.
func (r *runner) known(ctx context.Context, targets int) bool {
	for _, e := range r.fleet.entries {
		var vars struct {
			Targets  int `json:"targets"`
			Services int `json:"services"`
		}
		if err := fetch.JSON(ctx, "http://"+e.AdminAddress.String()+"/debug/vars", &vars); err != nil {
			return false
		}
		if vars.Targets < targets || vars.Services < 1 {
			return false
		}
	}
	return true
}

// apply puts a policy in force.
func (r *runner) apply(ctx context.Context, policy string) error {
	doc := spec.Default()
	doc.Name = serviceName
	doc.Receive.PathPrefixes = []string{"/"}
	doc.Targets.Slots = r.fleet.cfg.Slots
	doc.Route.Policy = policy
	var (
		body []byte
		req  *http.Request
		resp *http.Response
		err  error
	)
	if body, err = json.Marshal(doc); err != nil {
		return errors.Wrap(err, "exper")
	}
	url := fmt.Sprintf("http://%s/v1/services/%s", r.fleet.controls[0].AdminAddress, serviceName)
	if req, err = http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body)); err != nil {
		return errors.Wrap(err, "exper")
	}
	req.Header.Set("If-Match", strconv.Itoa(r.revision))
	req.Header.Set("Idempotency-Key", fmt.Sprintf("experiment-%d", r.revision))
	if resp, err = http.DefaultClient.Do(req); err != nil {
		return errors.Wrap(err, "exper: apply")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(resp.Body)
		return errors.Errorf("exper: apply: %s: %s", resp.Status, answer)
	}
	r.revision++
	return nil
}

// measure runs one policy with one seed.
func (r *runner) measure(ctx context.Context, policy string, seed int) (Row, error) {
	row := Row{Scenario: r.scenario.Name, Policy: policy, Seed: seed}
	if err := r.apply(ctx, policy); err != nil {
		return row, err
	}
	r.load(uint64(1000+seed), warmUp).Run(ctx)
	if err := r.reseed(ctx, seed); err != nil {
		return row, err
	}
	before, used := r.count(ctx), r.fleet.processorTime()
	if r.scenario.Restart {
		go r.fleet.restart(ctx, r.scenario, seed, r.fleet.cfg.Span)
	}
	row.Summary = r.load(uint64(seed), r.fleet.cfg.Span).Run(ctx)
	after, calls := r.count(ctx), float64(max(row.Calls, 1))
	row.AttemptsPerCall = (after.attempts - before.attempts) / calls
	row.RetriesPerCall = (after.retries - before.retries) / calls
	row.ProbesPerCall = (after.probes - before.probes) / calls
	row.ProcessorMicros = float64((r.fleet.processorTime() - used).Microseconds()) / calls
	return row, ctx.Err()
}

// reseed gives every target the same draws for each policy of a seed.
func (r *runner) reseed(ctx context.Context, seed int) error {
	for i, address := range r.fleet.targets {
		url := fmt.Sprintf("http://%s%s?seed=%d", address, stub.ReseedPath, 100*seed+i)
		var (
			req  *http.Request
			resp *http.Response
			err  error
		)
		if req, err = http.NewRequestWithContext(ctx, http.MethodPost, url, nil); err != nil {
			return errors.Wrap(err, "exper")
		}
		if resp, err = http.DefaultClient.Do(req); err != nil {
			return errors.Wrap(err, "exper: reseed")
		}
		resp.Body.Close()
	}
	return nil
}

// load returns calls for span at the scenario's rate.
func (r *runner) load(seed uint64, span time.Duration) *load.Load {
	cfg, s := r.fleet.cfg, r.scenario
	rate := s.Utilisation * float64(cfg.Targets*cfg.Slots) / cfg.Mean.Seconds()
	calls := rate * span.Seconds()
	if s.Surge.Factor > 0 {
		calls *= 1 + (s.Surge.Factor-1)*s.Surge.Duration.Seconds()/s.Surge.Period.Seconds()
	}
	urls := make([]string, len(r.fleet.entries))
	for i, e := range r.fleet.entries {
		urls[i] = "http://" + e.CallAddress.String() + "/"
	}
	return load.New(urls, int(calls), load.WithRate(rate), load.WithPoisson(seed), load.WithSurge(s.Surge),
		load.WithMethod(http.MethodPost), load.WithoutBody())
}

func (r *runner) count(ctx context.Context) counters {
	var sum counters
	for _, e := range r.fleet.entries {
		var vars struct {
			Attempts float64 `json:"attempts"`
			Retries  float64 `json:"retries"`
			Probes   float64 `json:"probes"`
		}
		if err := fetch.JSON(ctx, "http://"+e.AdminAddress.String()+"/debug/vars", &vars); err != nil {
			continue
		}
		sum.attempts += vars.Attempts
		sum.retries += vars.Retries
		sum.probes += vars.Probes
	}
	return sum
}
