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
	// Config sets which processes to start and how long to measure.
	Config struct {
		// Binary is the path of the cardamomspool executable, LabBinary that of
		// spoollab, the program of the stub targets.
		Binary, LabBinary string
		// Controls, Entries and Targets are the numbers of processes of each role.
		Controls, Entries, Targets int
		// Slots is the number of calls that each target runs at once, Queue the
		// number of further calls that wait at it.
		Slots, Queue int
		// MeanServiceTime is the mean service time of targets.
		MeanServiceTime time.Duration
		// RunTime is how long each policy is measured in each round.
		RunTime time.Duration
		// Rounds is the number of times that all policies are measured, each time
		// with another seed: 1, 2 and so on.
		Rounds int
		// Policies are the names of the policies to compare.
		Policies []string
		// DecisionLogOneIn is the setting decision_log_one_in of the entry hosts:
		// they log one in this many routing decisions.
		DecisionLogOneIn int
	}

	// Row is the result of one policy with one seed.
	Row struct {
		Scenario string `json:"scenario"`
		Policy   string `json:"policy"`
		Seed     int    `json:"seed"`
		load.Summary
		// AttemptsPerCall and RetriesPerCall are the numbers of attempts and
		// retries that entry hosts sent, per call. An attempt is one sending of a
		// call to one target, and a retry is an attempt after the first.
		AttemptsPerCall float64 `json:"attempts_per_call"`
		RetriesPerCall  float64 `json:"retries_per_call"`
		// ProbesPerCall is the number of probes that entry hosts sent to measure
		// targets, per call.
		ProbesPerCall float64 `json:"probes_per_call"`
		// ProcessorMicros is the processor time of all entry hosts per call, in
		// microseconds.
		ProcessorMicros float64 `json:"processor_us_per_call"`
	}

	// counters are sums of metrics over all entry hosts.
	counters struct{ attempts, retries, probes float64 }
)

const (
	serviceName       = "lab"
	startTimeout      = 30 * time.Second
	startPollInterval = 100 * time.Millisecond
	warmUpTime        = 1500 * time.Millisecond
)

// Run measures all policies of cfg in scenario s, in one round after another, and calls
// handle with each result as it becomes available.
func Run(ctx context.Context, cfg Config, s Scenario, handle func(Row)) error {
	f, err := newFleet(cfg)
	if err != nil {
		return err
	}
	defer f.stop()
	r := &runner{fleet: f, scenario: s}
	if err = r.start(ctx); err != nil {
		return err
	}
	for seed := range cfg.Rounds {
		for i := range cfg.Policies {
			var row Row
			if row, err = r.measure(ctx, cfg.Policies[(i+seed)%len(cfg.Policies)], seed+1); err != nil {
				return err
			}
			handle(row)
		}
	}
	return nil
}

// runner runs one scenario on a fleet.
type runner struct {
	fleet    *fleet
	scenario Scenario
	revision int // Of the service's document; 0 before the first.
}

// start starts the hosts, applies a first document, starts the targets and waits
// until all entry hosts know the service and all targets.
func (r *runner) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.fleet.startHosts(); err != nil {
		return err
	}
	if err := waitUntil(ctx, func() bool { return r.documentApplied(ctx) && r.entriesKnow(ctx, 0) }); err != nil {
		return err
	}
	if err := r.fleet.startTargets(r.scenario, 1); err != nil {
		return err
	}
	return waitUntil(ctx, func() bool { return r.entriesKnow(ctx, r.fleet.cfg.Targets) })
}

// waitUntil polls done until it reports true. It fails when ctx ends first.
func waitUntil(ctx context.Context, done func() bool) error {
	for !done() {
		if !sleep(ctx, startPollInterval) {
			return errors.Errorf("exper: the processes were not ready within %s", startTimeout)
		}
	}
	return nil
}

// documentApplied applies the first document, unless it was applied before, and reports
// whether a document has been applied.
func (r *runner) documentApplied(ctx context.Context) bool {
	return r.revision > 0 || r.applyPolicy(ctx, spec.PolicyLeastOutstanding) == nil
}

// entriesKnow reports whether all entry hosts know the service and at least the given
// number of targets.
func (r *runner) entriesKnow(ctx context.Context, targets int) bool {
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

// applyPolicy changes the service's document to the given policy.
func (r *runner) applyPolicy(ctx context.Context, policy string) error {
	doc := spec.Default()
	doc.Name = serviceName
	doc.Receive.PathPrefixes = []string{"/"}
	doc.Targets.Slots = r.fleet.cfg.Slots
	doc.Route.Policy = policy
	doc.Route.Unprotected = true // The baselines are the policies as published.
	var (
		body []byte
		req  *http.Request
		resp *http.Response
		err  error
	)
	if body, err = json.Marshal(doc); err != nil {
		return errors.Wrap(err, "exper: encode document")
	}
	url := fmt.Sprintf("http://%s/v1/services/%s", r.fleet.controls[0].AdminAddress, serviceName)
	if req, err = http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body)); err != nil {
		return errors.Wrap(err, "exper: apply")
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

// measure measures one policy with one seed, after a warm-up under the same policy.
func (r *runner) measure(ctx context.Context, policy string, seed int) (Row, error) {
	row := Row{Scenario: r.scenario.Name, Policy: policy, Seed: seed}
	if err := r.applyPolicy(ctx, policy); err != nil {
		return row, err
	}
	r.newLoad(uint64(1000+seed), warmUpTime).Run(ctx)
	if err := r.reseedTargets(ctx, seed); err != nil {
		return row, err
	}
	before, usedBefore := r.readCounters(ctx), r.fleet.processorTime()
	if r.scenario.RestartFirstTarget {
		go r.fleet.restartFirstTarget(ctx, r.scenario, seed, r.fleet.cfg.RunTime)
	}
	row.Summary = r.newLoad(uint64(seed), r.fleet.cfg.RunTime).Run(ctx)
	after, calls := r.readCounters(ctx), float64(max(row.Calls, 1))
	row.AttemptsPerCall = (after.attempts - before.attempts) / calls
	row.RetriesPerCall = (after.retries - before.retries) / calls
	row.ProbesPerCall = (after.probes - before.probes) / calls
	row.ProcessorMicros = float64((r.fleet.processorTime() - usedBefore).Microseconds()) / calls
	return row, ctx.Err()
}

// reseedTargets reseeds every target, so that its random draws are the same for all
// policies of a seed.
func (r *runner) reseedTargets(ctx context.Context, seed int) error {
	for i, address := range r.fleet.targets {
		url := fmt.Sprintf("http://%s%s?seed=%d", address, stub.ReseedPath, 100*seed+i)
		var (
			req  *http.Request
			resp *http.Response
			err  error
		)
		if req, err = http.NewRequestWithContext(ctx, http.MethodPost, url, nil); err != nil {
			return errors.Wrap(err, "exper: reseed")
		}
		if resp, err = http.DefaultClient.Do(req); err != nil {
			return errors.Wrap(err, "exper: reseed")
		}
		resp.Body.Close()
	}
	return nil
}

// newLoad returns a load of the given length at the scenario's rate. Its calls arrive as
// a Poisson process drawn from seed.
func (r *runner) newLoad(seed uint64, length time.Duration) *load.Load {
	cfg, s := r.fleet.cfg, r.scenario
	rate := s.Utilisation * float64(cfg.Targets*cfg.Slots) / cfg.MeanServiceTime.Seconds()
	calls := rate * length.Seconds()
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

// readCounters sums the counters of all entry hosts. Hosts that do not answer are
// left out.
func (r *runner) readCounters(ctx context.Context) counters {
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
