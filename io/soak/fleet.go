package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/strict"
	"cardamomspool/internal/free"
	"cardamomspool/io/setup"
)

type (
	// Fleet is a soak test of a fleet: control hosts that discover each other, agree on plans
	// with client accounts and on evacuations, and decide for the calls of the entry hosts. Its
	// targets are part of the test. Use NewFleet to create it.
	Fleet struct {
		*Soak
		// plain leaves out what earlier versions do not know: accounts, quotas, evacuations and
		// limits of cold targets.
		plain   bool
		ports   [3]uint16 // For peers, administration and the front, the same on all hosts.
		seeds   []netip.AddrPort
		fronts  map[*process]netip.AddrPort
		servers []*fleetTarget

		changesMu sync.Mutex
		changes   []change // Of plans; the one of index n has version n+1.
		orders    []change // Evacuations and their withdrawals in turn.
		lost      []string // Control hosts that did not return the last acknowledged plan.
	}

	// change is a plan or an order that was sent to control hosts until it was acknowledged.
	change struct {
		sent         time.Time
		acknowledged time.Time // Zero if it was not.
	}

	// PowerLoss kills all hosts, whichever its victim, and starts them again after the time Down.
	PowerLoss struct{ Down time.Duration }
)

const (
	fleetControls = 4
	fleetSeeds    = 3 // The first voting control hosts. One that is lost is replaced.
	fleetEntries  = 3
	fleetTargets  = 8 // In two data centres.
	// fleetPause has a cold target, and the limited account, get more calls than they may if
	// nothing limits them.
	fleetPause = 30 * time.Millisecond
	// fleetEventInterval is the mean time between two faults. One in powerLossOneIn is a loss of
	// power.
	fleetEventInterval = 500 * time.Millisecond
	powerLossOneIn     = 20
	fleetKeyLease      = 2 * time.Second
	quotaWindow        = 5 * time.Second
	quotaOvershoot     = 0.1
	quotaSlack         = 20
	warmOvershoot      = 1.5
	warmSlack          = 8.0
	probeInterval      = 100 * time.Millisecond
)

func (PowerLoss) fault() {}

// String names the fault and the time until the restart.
func (f PowerLoss) String() string { return fmt.Sprintf("loss of power, back after %s", f.Down) }

// NewFleet returns a soak test of a fleet of the executable at the path program. All files are
// written to folder. The default size is 4, 3 and 8; the first three control hosts are the seeds.
// WithGentle has no effect.
func NewFleet(program, folder string, opts ...Option) *Fleet {
	opts = append([]Option{WithPause(fleetPause), WithSize(fleetControls, fleetEntries, fleetTargets)}, opts...)
	f := &Fleet{Soak: New(program, nil, folder, opts...), fronts: make(map[*process]netip.AddrPort)}
	f.protocol = protocol{draw: f.drawFleetKey, prepare: prepareFleetCall, outcome: fleetOutcome}
	f.spareControls = max(f.controlCount-fleetSeeds, 0)
	return f
}

// Run starts the fleet, sends the calls while it injects faults and changes plans, orders and
// targets, kills all processes and returns the report, as Soak.Run does.
func (f *Fleet) Run(ctx context.Context) (Report, error) {
	return f.run(ctx, func(ctx context.Context) error {
		events := f.fixedEvents
		if events == nil {
			events = f.drawFleetEvents(maxRun)
		}
		if err := f.injectFaults(ctx, events); err != nil {
			return err
		}
		<-ctx.Done() // All calls have ended.
		return ctx.Err()
	})
}

// run starts the fleet, sends the calls while inject disturbs it, and ends the calls when inject
// returns.
func (f *Fleet) run(ctx context.Context, inject func(context.Context) error) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer f.killAll()
	if err := f.prepareFleet(); err != nil {
		return Report{}, err
	}
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return Report{}, err
		}
	}
	var background, load sync.WaitGroup
	defer background.Wait()
	defer cancel() // Before the wait.
	for i, t := range f.servers {
		if err := t.listen(ctx, &background); err != nil {
			return Report{}, err
		}
		background.Go(func() { f.announce(ctx, t, rand.New(rand.NewPCG(f.seed, uint64(i)+1000))) })
	}
	background.Go(func() { f.pollReadiness(ctx) })
	if err := f.awaitService(ctx); err != nil {
		return Report{}, err
	}
	f.timeline.begin = time.Now()
	working, stop := context.WithCancel(ctx)
	defer stop()
	load.Go(func() {
		defer stop()
		f.sendCalls(working)
	})
	load.Go(func() { f.changePlans(working) })
	load.Go(func() { f.reportProgress(working) })
	if !f.plain {
		load.Go(func() { f.giveOrders(working) })
		load.Go(func() { f.coolTargets(working) })
	}
	err := inject(working)
	if err == nil || !errors.Is(err, context.Canceled) {
		stop()
	}
	load.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		return Report{}, err
	}
	f.readPlans(ctx)
	report := f.report()
	return report, report.Err()
}

// prepareFleet chooses addresses, and writes the settings of all hosts.
func (f *Fleet) prepareFleet() error {
	for i := range f.ports {
		address, err := free.Address()
		if err != nil {
			return err
		}
		f.ports[i] = address.Port()
	}
	var hosts []netip.Addr
	for range f.controlCount + f.entryCount {
		hosts = append(hosts, free.IP())
	}
	for _, host := range hosts[:min(fleetSeeds, f.controlCount)] {
		f.seeds = append(f.seeds, netip.AddrPortFrom(host, f.ports[0]))
	}
	for i, host := range hosts[:f.controlCount] {
		cfg := setup.DefaultControl()
		cfg.Common = f.fleetSettings(fmt.Sprintf("%s-%d", KindControl, i+1), host)
		cfg.DataFolder, cfg.StopGrace = filepath.Join(f.folder, cfg.Host), strict.Duration(stopGrace)
		cfg.Fleet.FirstStart, cfg.Fleet.ProbeInterval = true, strict.Duration(probeInterval)
		cfg.Fleet.RetryRatio, cfg.Fleet.RetryWindow, cfg.Fleet.RetrySlack = 0.2, strict.Duration(10*time.Second), 20
		p, err := f.addHost(KindControl, cfg.Host, f.withoutNewFields(cfg))
		if err != nil {
			return err
		}
		f.controls = append(f.controls, p)
		f.adminAddress[p], f.fronts[p] = cfg.AdminAddress, cfg.Fleet.FrontAddress
	}
	for i, host := range hosts[f.controlCount:] {
		cfg := setup.DefaultEntry()
		cfg.Common = f.fleetSettings(fmt.Sprintf("%s-%d", KindEntry, i+1), host)
		call, err := free.Address()
		if err != nil {
			return err
		}
		cfg.CallAddress, cfg.DrainDelay, cfg.StopGrace = call, strict.Duration(entryDrainDelay), strict.Duration(stopGrace)
		p, err := f.addHost(KindEntry, cfg.Host, f.withoutNewFields(cfg))
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
		f.adminAddress[p], f.callAddress[p] = cfg.AdminAddress, call
	}
	for i := range f.targetCount {
		address, err := free.Address()
		if err != nil {
			return err
		}
		f.servers = append(f.servers, newFleetTarget(i, address))
	}
	return nil
}

// fleetSettings returns the settings that control and entry hosts share.
func (f *Fleet) fleetSettings(name string, host netip.Addr) setup.Common {
	c := setup.Common{
		Host: name, DataCentre: "here", LogLevel: "info",
		PeerAddress: netip.AddrPortFrom(host, f.ports[0]), AdminAddress: netip.AddrPortFrom(host, f.ports[1]),
		Fleet: setup.Fleet{Adapter: setup.AdapterPlatform, Seeds: f.seeds, FrontAddress: netip.AddrPortFrom(host, f.ports[2])},
	}
	if f.plain {
		return c
	}
	if strings.HasPrefix(name, string(KindEntry)) {
		c.Fleet.KeyLease = strict.Duration(fleetKeyLease)
	}
	c.Fleet.QuotaWindow, c.Fleet.QuotaOvershoot, c.Fleet.QuotaSlack = strict.Duration(quotaWindow), quotaOvershoot, quotaSlack
	c.Fleet.WarmOvershoot, c.Fleet.WarmSlack = warmOvershoot, warmSlack
	return c
}

// awaitService waits until every entry host serves a call with the steady key.
func (f *Fleet) awaitService(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !f.putPlan(ctx, 0) {
		return errors.Errorf("soak: the first plan was not acknowledged within %s", startTimeout)
	}
	client := &http.Client{Timeout: callTimeout}
	for _, p := range f.entries {
		for {
			c := callRecord{id: "start", entry: p, key: callKey{text: steadyKey}}
			if _, err := f.exchange(ctx, client, &c, false); err == nil && c.status == http.StatusOK {
				break
			}
			if !sleep(ctx, pollInterval) {
				return errors.Errorf("soak: %s did not serve within %s", p.name, startTimeout)
			}
		}
	}
	return nil
}

// drawFleetEvents draws the events of a run of the given length: faults of single hosts, and
// losses of power of all. There are no relays; hosts are frozen in place of being isolated, for
// longer than a key lease or than the silence after which a voting host is replaced.
func (f *Fleet) drawFleetEvents(length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(f.seed, 5))
	var events []Event
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() * float64(fleetEventInterval)) {
		e := Event{At: at}
		e.Victim, e.Fault = f.drawProcessFault(rng)
		if isolate, ok := e.Fault.(Isolate); ok {
			e.Fault = Freeze{For: isolate.For / 2}
		}
		if rng.IntN(powerLossOneIn) == 0 {
			e.Fault = PowerLoss{Down: time.Duration(rng.Int64N(int64(maxDownTime)))}
		}
		events = append(events, e)
	}
	return events
}

// losePower kills all hosts at once and starts them again, once the other faults have ended.
func (s *Soak) losePower(e Event, f PowerLoss) error {
	for _, p := range s.processes() {
		p.faultMu.Lock()
		defer p.faultMu.Unlock()
	}
	s.timeline.addEvent(e)
	var group sync.WaitGroup
	failed := make(chan error, len(s.processes()))
	for _, p := range s.processes() {
		group.Go(func() { failed <- s.killAndStart(p, f.Down, nil) })
	}
	group.Wait()
	for range s.processes() {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}
