package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamomspool/core/keys"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/roster"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/platform"
)

type (
	// fleetTarget is a target of a fleet. It records all calls that reach it.
	fleetTarget struct {
		name, dataCentre string
		address          netip.AddrPort
		running          atomic.Int64

		mu       sync.Mutex
		cold     []interval // Times in which it was cold; the last one may be in the future.
		arrivals []arrivalRecord
	}

	// arrivalRecord is a call as a target saw it.
	arrivalRecord struct {
		sighting
		id string
		at time.Time
	}
)

const (
	limitedAccount = "limited"
	limitedKey     = "key-limited"
	limitedRate    = 10.0
	limitedBurst   = 10.0
	// warmRate is what a cold target takes, in calls a second, and coldTime how long it is cold.
	warmRate = 4.2
	coldTime = 3 * time.Second
	// evacuatedDataCentre has half of the targets.
	evacuatedDataCentre = "far"
	// evacuationDelay is the time after the acknowledgement from which an order must be in force.
	evacuationDelay = 5 * time.Second
	// An order lasts for evacuationDelay and up to maxOrderTime more.
	maxOrderTime = 6 * time.Second
	// planInterval is longer than keyDelay, so that calls with a key that has been in force for
	// that long are made.
	planInterval = 2 * time.Second
	coldInterval = 1500 * time.Millisecond
	beatInterval = 500 * time.Millisecond

	fleetHost  = "shop.example" // Of the calls.
	healthPath = "/health"
	unsafePath = "/unsafe/"
	safePath   = "/safe/"
)

func newFleetTarget(i int, address netip.AddrPort) *fleetTarget {
	t := &fleetTarget{name: fmt.Sprintf("%s-%d", KindTarget, i+1), dataCentre: "near", address: address}
	if i%2 == 1 {
		t.dataCentre = evacuatedDataCentre
	}
	return t
}

// listen serves calls until ctx ends.
func (t *fleetTarget) listen(ctx context.Context, group *sync.WaitGroup) error {
	l, err := net.Listen("tcp", t.address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: t, ReadHeaderTimeout: announceTimeout}
	group.Go(func() { server.Serve(l) })
	context.AfterFunc(ctx, func() { server.Close() })
	return nil
}

// ServeHTTP records a call and answers it after its service time, or answers a probe.
func (t *fleetTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, account := platform.ReadAttempt(r.Header)
	now, isCall := time.Now(), r.URL.Path != healthPath
	running := t.running.Load()
	if isCall {
		running = t.running.Add(1)
		defer t.running.Add(-1)
	}
	platform.SetAnswer(w.Header(), id, wire.Load{Running: int(running), Slots: targetSlots}, t.coldLeft(now))
	if !isCall {
		return
	}
	if running > 2*targetSlots {
		platform.SetNotRun(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrivalRecord{id: id, at: now, sighting: sighting{account: account, hasKey: len(r.Header[keys.Field]) > 0}})
	t.mu.Unlock()
	n, _ := io.Copy(io.Discard, r.Body)
	time.Sleep(serviceTime(id))
	io.WriteString(w, answerTo(id, n))
}

// coldLeft returns for how long the target is still cold.
func (t *fleetTarget) coldLeft(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.cold) == 0 {
		return 0
	}
	return max(t.cold[len(t.cold)-1].end.Sub(now), 0)
}

// announce sends the heartbeats of a target to control hosts in turn until ctx ends.
func (f *Fleet) announce(ctx context.Context, t *fleetTarget, rng *rand.Rand) {
	record := roster.Target{Service: serviceName, Address: t.address, DataCentre: t.dataCentre, Slots: targetSlots, State: member.Ready, Born: time.Now()}
	for ok := true; ok; ok = sleep(ctx, beatInterval) {
		now := time.Now()
		record.Sequence++
		record.WarmAt = now.Add(t.coldLeft(now))
		body := platform.EncodeHeartbeat(&record, now)
		for _, i := range rng.Perm(len(f.controls)) {
			if status, _ := f.send(ctx, f.controls[i], announceTimeout, http.MethodPut, platform.TargetPath(t.name), body); status == http.StatusOK {
				break
			}
		}
	}
}

// send sends a request to the front address of a control host and returns the status and the
// body of the answer, 0 without one.
func (f *Fleet) send(ctx context.Context, control *process, timeout time.Duration, method, path, body string) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.fronts[control].String()+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	client := http.Client{Timeout: timeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// sendUntilAcknowledged sends a request to random control hosts until one answers 200, and adds
// it to list. It reports false if ctx ends first.
func (f *Fleet) sendUntilAcknowledged(ctx context.Context, rng *rand.Rand, list *[]change, method, path, body string) bool {
	f.changesMu.Lock()
	*list = append(*list, change{sent: time.Now()})
	i := len(*list) - 1
	f.changesMu.Unlock()
	for ctx.Err() == nil {
		if status, _ := f.send(ctx, f.operator.randomControl(rng), operatorTimeout, method, path, body); status == http.StatusOK {
			f.changesMu.Lock()
			(*list)[i].acknowledged = time.Now()
			f.changesMu.Unlock()
			return true
		}
		sleep(ctx, pollInterval)
	}
	return false
}

// putPlan sends the n-th plan, of version n+1, whose changing account has the n-th key.
func (f *Fleet) putPlan(ctx context.Context, n int) bool {
	rng := rand.New(rand.NewPCG(f.seed, uint64(n)+2000))
	p := plan.Plan{Version: uint64(n) + 1, Services: []plan.Service{{
		Name: serviceName, HealthPath: healthPath, Connections: 240, WarmTime: strict.Duration(coldTime), WarmRate: warmRate,
	}}}
	for path, idempotent := range map[string]bool{unsafePath: false, safePath: true} {
		p.Routes = append(p.Routes, plan.Route{
			Name: strings.Trim(path, "/"), Host: fleetHost, PathPrefix: path, Idempotent: idempotent, Attempts: 2, Rank: 1,
			Timeout: strict.Duration(3 * time.Second), Aim: strict.Duration(500 * time.Millisecond), Parts: []plan.Part{{Service: serviceName, Weight: 1}},
		})
	}
	var accounts []platform.LabAccount
	if !f.plain {
		accounts = []platform.LabAccount{
			{Name: steadyAccount, Key: steadyKey},
			{Name: changingAccount, Key: changingKey(n)},
			{Name: limitedAccount, Key: limitedKey, Rate: limitedRate, Burst: limitedBurst},
		}
	}
	return f.sendUntilAcknowledged(ctx, rng, &f.changes, http.MethodPut, platform.ConfigPath(), platform.EncodePlan(&p, accounts))
}

// readPlans reads the plan from every control host, which must return the last acknowledged one
// or a newer one within recoveryTimeout.
func (f *Fleet) readPlans(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	var want uint64
	for n := range f.changes {
		if !f.changes[n].acknowledged.IsZero() {
			want = uint64(n) + 1
		}
	}
	for _, p := range f.controls {
		var got struct {
			Version uint64 `json:"version"`
		}
		for again := true; again; again = got.Version < want && sleep(ctx, pollInterval) {
			if status, body := f.send(ctx, p, operatorTimeout, http.MethodGet, platform.ConfigPath(), ""); status != http.StatusOK || json.Unmarshal(body, &got) != nil {
				got.Version = 0
			}
		}
		if got.Version < want {
			f.lost = append(f.lost, fmt.Sprintf("%s returned version %d of the plan, of which version %d was acknowledged", p.name, got.Version, want))
		}
	}
}

// changePlans sends plans until ctx ends, each of which withdraws a key.
func (f *Fleet) changePlans(ctx context.Context) {
	for n := 1; sleep(ctx, planInterval) && f.putPlan(ctx, n); n++ {
		continue
	}
}

// giveOrders orders the evacuation of a data centre and withdraws it, in turn, until ctx ends.
func (f *Fleet) giveOrders(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.seed, 6))
	for method, pause := http.MethodPost, time.Second; sleep(ctx, pause); {
		if !f.sendUntilAcknowledged(ctx, rng, &f.orders, method, platform.EvacuationPath(evacuatedDataCentre), "") {
			return
		}
		pause = time.Duration(rng.Int64N(int64(maxOrderTime)))
		if method == http.MethodPost {
			method, pause = http.MethodDelete, pause+evacuationDelay
		} else {
			method = http.MethodPost
		}
	}
}

// coolTargets makes one target after another cold until ctx ends.
func (f *Fleet) coolTargets(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.seed, 7))
	for sleep(ctx, coldInterval) {
		t, now := f.servers[rng.IntN(len(f.servers))], time.Now()
		t.mu.Lock()
		if n := len(t.cold); n == 0 || t.cold[n-1].end.Before(now) {
			t.cold = append(t.cold, interval{begin: now, end: now.Add(coldTime)})
		}
		t.mu.Unlock()
	}
}

// drawFleetKey draws the key of a call that begins now.
func (f *Fleet) drawFleetKey(rng *rand.Rand, _ *process) callKey {
	if f.plain {
		return callKey{valid: true}
	}
	switch n := rng.IntN(forbiddenOneIn); {
	case n == 0:
		return callKey{text: "key-unknown", forbidden: true}
	case n < forbiddenOneIn/3:
		return callKey{text: limitedKey, account: limitedAccount, valid: true}
	case n < 2*forbiddenOneIn/3:
		return callKey{text: steadyKey, account: steadyAccount, valid: true}
	}
	f.changesMu.Lock()
	defer f.changesMu.Unlock()
	n := max(len(f.changes)-1-rng.IntN(recentKeys), 0)
	key := callKey{text: changingKey(n), account: changingAccount}
	if n+1 < len(f.changes) {
		withdrawn := f.changes[n+1].acknowledged
		key.forbidden = !withdrawn.IsZero() && time.Since(withdrawn) > fleetKeyLease
	}
	return key
}

// prepareFleetCall names the route and the call.
func prepareFleetCall(c *callRecord, req *http.Request) {
	req.Method, req.URL.Path, req.Host = http.MethodPost, unsafePath, fleetHost
	if c.idempotent {
		req.URL.Path = safePath
	}
	platform.SetCall(req.Header, c.id, "forged")
}

// fleetOutcome returns the outcome that the status of an answer tells.
func fleetOutcome(resp *http.Response) string {
	switch {
	case resp.StatusCode == http.StatusOK:
		return ""
	case platform.IsNotRun(resp.StatusCode) || resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusNotFound:
		return wire.OutcomeNotRun
	}
	return wire.OutcomeUnknown
}

// withoutNewFields returns settings as hosts of earlier versions read them: these refuse fields
// that they do not know. A setting that is 0 is left out.
func (f *Fleet) withoutNewFields(cfg any) any {
	if !f.plain {
		return cfg
	}
	var fields struct {
		Fleet map[string]any `json:"fleet"`
	}
	all := make(map[string]any)
	data, err := json.Marshal(cfg)
	if err != nil || json.Unmarshal(data, &fields) != nil || json.Unmarshal(data, &all) != nil {
		return cfg // The hosts say what is wrong with it.
	}
	maps.DeleteFunc(fields.Fleet, func(_ string, v any) bool { return v == 0.0 || v == "0s" })
	all["fleet"] = fields.Fleet
	return all
}
