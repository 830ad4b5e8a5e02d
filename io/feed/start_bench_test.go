package feed_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/keys"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/roster"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/place"
	"cardamomspool/io/telem"
)

type (
	// startFleet is the fleet of a start benchmark.
	startFleet struct {
		Entries, Controls, Targets, Accounts int
		// Delay is how long a control host takes before it begins to serve an update
		// stream: 350 ms were seen at control hosts with a quarter of a core.
		Delay time.Duration
		// Profile is the folder of the processor profiles; none without one.
		Profile string
	}

	// processCost is what one process has spent since the start of a fleet.
	processCost struct {
		CPU         time.Duration // User and system time.
		Mallocs     uint64
		AllocBytes  uint64
		In, Out     int64 // Bytes, without TCP and IP headers.
		Connections int64
		Follows     int64 // Streams of updates.
		Places      int64 // Streams of calls.
		Confirms    int64 // Questions for the lease.
		Plans       int64 // Requests for the plan.
	}

	// countingControl is a control host that counts requests.
	countingControl struct {
		*feed.Server
		metrics *telem.Registry
		delay   time.Duration
	}

	// startMarks are the times from the start of one entry host to its milestones.
	startMarks struct {
		targets, plan, lease, decision time.Duration
	}
)

const (
	// startControlsEnv holds the startFleet in the environment of the process that runs
	// its control hosts.
	startControlsEnv = "CARDAMOMSPOOL_START_CONTROLS"
	// startProfileEnv names the folder into which a benchmark writes processor profiles.
	startProfileEnv = "CARDAMOMSPOOL_START_PROFILE"
	startTimeout    = 20 * time.Second
	startPoll       = time.Millisecond
	startServices   = 4
	// startLease is key_lease of the deployment that is modelled.
	startLease = 5 * time.Second
	// startGCPercent is GOGC of control hosts.
	startGCPercent = 200
)

// TestMain runs the control hosts of a start benchmark in a process of their own, so that
// their processor time is measured apart from that of the entry hosts.
func TestMain(m *testing.M) {
	text, ok := os.LookupEnv(startControlsEnv)
	if !ok {
		os.Exit(m.Run())
	}
	var f startFleet
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		panic(err)
	}
	if err := f.serveControls(os.Stdin, os.Stdout); err != nil {
		panic(err)
	}
}

// Follow counts the stream and serves it after the delay.
func (c *countingControl) Follow(r *peerpb.FollowRequest, stream peerpb.Fleet_FollowServer) error {
	c.metrics.Counter("follows").Add(1)
	if r.GetControl() == "" {
		time.Sleep(c.delay)
	}
	return c.Server.Follow(r, stream)
}

// Place counts and serves a stream of calls.
func (c *countingControl) Place(stream peerpb.Fleet_PlaceServer) error {
	c.metrics.Counter("places").Add(1)
	return c.Server.Place(stream)
}

// Plan counts and answers a request for the plan.
func (c *countingControl) Plan(ctx context.Context, r *peerpb.PlanRequest) (*peerpb.PlanReply, error) {
	c.metrics.Counter("plans").Add(1)
	return c.Server.Plan(ctx, r)
}

// Confirm answers that the only plan is accepted.
func (c *countingControl) Confirm(context.Context, *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	c.metrics.Counter("confirms").Add(1)
	return &peerpb.ConfirmReply{Epoch: 1, PlanVersion: 1}, nil
}

// serviceName returns the name of the service of the i-th target or entry host.
func serviceName(i int) string {
	return fmt.Sprintf("agenda-banco-%d", i%startServices)
}

// plan returns the plan of the fleet.
func (f startFleet) plan() *plan.Plan {
	p := &plan.Plan{Version: 1}
	for i := range startServices {
		p.Services = append(p.Services, plan.Service{Name: serviceName(i), HealthPath: "/health", Connections: 240})
		p.Routes = append(p.Routes, plan.Route{
			Name: fmt.Sprintf("r-%d", i), Host: "shop.example", PathPrefix: fmt.Sprintf("/%d/", i), Timeout: strict.Duration(time.Second),
			Aim: strict.Duration(500 * time.Millisecond), Attempts: 2, Parts: []plan.Part{{Service: serviceName(i), Weight: 1}},
		})
	}
	for i := range f.Accounts {
		p.Accounts = append(p.Accounts, plan.Account{Name: fmt.Sprintf("account-%d", i), Rate: 10, Burst: 20})
	}
	return p
}

// targets returns the targets of the fleet.
func (f startFleet) targets() []roster.Target {
	var list []roster.Target
	for i := range f.Targets {
		list = append(list, roster.Target{
			ID: fmt.Sprintf("i-%010x", uint64(i+1)*2654435761%(1<<40)), Service: serviceName(i), DataCentre: "occ-a", Slots: 4, State: member.Ready,
			Sequence: 9, Born: time.UnixMilli(1787853841000), Heard: time.Now(), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8644),
		})
	}
	return list
}

// serveControls runs the control hosts. It writes their addresses to out once they hear
// each other, resets the counts at the first line of in, and writes the processCost of all
// at the second one.
func (f startFleet) serveControls(in io.Reader, out io.Writer) error {
	debug.SetGCPercent(startGCPercent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var (
		addresses []netip.AddrPort
		states    []*feed.State
		listeners []net.Listener
		port      uint16
		view      = feed.View{Epoch: 1}
		metrics   = telem.NewRegistry()
		log       = slog.New(slog.NewTextHandler(os.Stderr, nil))
		received  = peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")}
	)
	for i := range f.Controls {
		host := netip.AddrFrom4([4]byte{127, 0, 8, byte(i + 1)})
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, port).String())
		if err != nil {
			return err
		}
		address := l.Addr().(*net.TCPAddr).AddrPort()
		port = address.Port()
		addresses, listeners = append(addresses, address), append(listeners, l)
		view.Members = append(view.Members, feed.Member{Host: host})
	}
	for i, address := range addresses {
		doc := spec.Default()
		doc.Route = spec.Route{Policy: spec.PolicyFastest}
		healthy := func(context.Context, member.Record, string) (route.Probe, error) {
			return route.Probe{Result: route.ProbeHealthy}, nil
		}
		placement := place.NewServer(place.Config{ServiceTemplate: doc, HoldCheckInterval: 5 * time.Millisecond}, healthy, log, telem.NewRegistry())
		go placement.Run(ctx)
		state := feed.NewState(feed.WithLogger(log), feed.OnTargets(placement.SetTargets), feed.OnPlan(placement.SetPlan))
		state.SetView(view)
		state.UpdateTargets(true, f.targets()...)
		state.SetPlan(f.plan())
		state.SetCurrent(true)
		states = append(states, state)
		server := peer.NewServer()
		peerpb.RegisterFleetServer(server, &countingControl{Server: feed.NewServer(ctx, state, placement.Serve), metrics: metrics, delay: f.Delay})
		go server.Serve(&acceptCounter{Listener: peer.CountListener(listeners[i], received), metrics: metrics})
		self := feed.Self{Host: fmt.Sprintf("control-%d", i), Peer: address, Control: true}
		ignored := telem.NewRegistry()
		follower := feed.NewFollower(state, self, func() []netip.AddrPort { return addresses }, peer.Traffic{In: ignored.Counter("in"), Out: ignored.Counter("out")})
		go follower.Run(ctx)
	}
	for begin := time.Now(); slices.ContainsFunc(states, func(s *feed.State) bool { return !s.Informed() }); time.Sleep(startPoll) {
		if time.Since(begin) > startTimeout {
			return fmt.Errorf("control hosts do not hear each other")
		}
	}
	if err := json.NewEncoder(out).Encode(addresses); err != nil {
		return err
	}
	lines := bufio.NewScanner(in)
	lines.Scan()
	before := measureProcess(metrics)
	stopProfile, err := f.profile("control")
	if err != nil {
		return err
	}
	lines.Scan()
	stopProfile()
	if err := json.NewEncoder(out).Encode(measureProcess(metrics).minus(before)); err != nil {
		return err
	}
	lines.Scan() // Ends with the benchmark.
	return nil
}

// acceptCounter counts connections.
type acceptCounter struct {
	net.Listener
	metrics *telem.Registry
}

// Accept waits for the next connection.
func (l *acceptCounter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.metrics.Counter("connections").Add(1)
	}
	return conn, err
}

// profile starts a processor profile of this process and returns what ends it.
func (f startFleet) profile(name string) (stop func(), err error) {
	if f.Profile == "" {
		return func() {}, nil
	}
	file, err := os.Create(filepath.Join(f.Profile, name+".pprof"))
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
	}, nil
}

// measureProcess returns what this process has spent since it began. The counts are those
// in metrics.
func measureProcess(metrics *telem.Registry) processCost {
	var (
		usage syscall.Rusage
		mem   runtime.MemStats
	)
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	runtime.ReadMemStats(&mem)
	n := func(name string) int64 { return metrics.Counter(name).Value() }
	return processCost{
		CPU:     time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		Mallocs: mem.Mallocs, AllocBytes: mem.TotalAlloc, In: n("in"), Out: n("out"), Connections: n("connections"),
		Follows: n("follows"), Places: n("places"), Confirms: n("confirms"), Plans: n("plans"),
	}
}

// minus returns the cost since before.
func (c processCost) minus(before processCost) processCost {
	return processCost{
		CPU: c.CPU - before.CPU, Mallocs: c.Mallocs - before.Mallocs, AllocBytes: c.AllocBytes - before.AllocBytes,
		In: c.In - before.In, Out: c.Out - before.Out, Connections: c.Connections - before.Connections,
		Follows: c.Follows - before.Follows, Places: c.Places - before.Places, Confirms: c.Confirms - before.Confirms, Plans: c.Plans - before.Plans,
	}
}

// startEntry starts the i-th entry host and waits for its milestones.
func (f startFleet) startEntry(ctx context.Context, i int, controls []netip.AddrPort, log *slog.Logger, metrics *telem.Registry) (startMarks, error) {
	var m startMarks
	begin := time.Now()
	traffic := peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")}
	self := feed.Self{Host: fmt.Sprintf("entry-%d", i), DataCentre: "occ-a", Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(i + 1)}), controls[0].Port())}
	var (
		mu      sync.Mutex
		targets = make(map[string]int) // By service.
	)
	state := feed.NewState(feed.WithLogger(log), feed.WithMetrics(metrics), feed.OnTargets(func(service string, records []member.Record) {
		mu.Lock()
		defer mu.Unlock()
		targets[service] = len(records)
	}))
	hasTargets := func() bool {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, count := range targets {
			n += count
		}
		return n == f.Targets
	}
	follower := feed.NewFollower(state, self, func() []netip.AddrPort { return controls }, traffic)
	pool := place.NewClientPool(state.Controls, follower.Informed, traffic, log, metrics)
	go follower.Run(ctx)
	go pool.Run(ctx)
	await := func(mark *time.Duration, done func() bool) error {
		for !done() {
			if time.Since(begin) > startTimeout {
				return fmt.Errorf("entry host %d is not ready: %+v", i, m)
			}
			time.Sleep(startPoll)
		}
		*mark = time.Since(begin)
		return nil
	}
	if err := await(&m.targets, hasTargets); err != nil {
		return m, err
	}
	select {
	case <-follower.Confirmed():
		m.plan = time.Since(begin)
	case <-time.After(startTimeout):
		return m, fmt.Errorf("entry host %d has no confirmed plan: %+v", i, m)
	}
	var (
		answers  = make(map[netip.Addr]bool)
		asked    = make(map[netip.Addr]bool)
		majority = f.Controls/2 + 1
	)
	wanted := func(host netip.Addr) bool {
		mu.Lock()
		defer mu.Unlock()
		missed := !asked[host]
		asked[host] = true
		return missed
	}
	answered := func(host netip.Addr, _ keys.Answer) {
		mu.Lock()
		defer mu.Unlock()
		answers[host] = true
	}
	hasLease := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(answers) >= majority
	}
	if err := await(&m.lease, func() bool {
		follower.Confirm(ctx, startLease/2, wanted, answered)
		return hasLease()
	}); err != nil {
		return m, err
	}
	var client *place.Client
	service := serviceName(i)
	if err := await(&m.decision, func() bool {
		client = pool.Pick(service, time.Now())
		return client != nil
	}); err != nil {
		return m, err
	}
	decided, now := make(chan engine.Action, 8), time.Now()
	arrive := engine.Arrive{Call: 1, Deadline: now.Add(startTimeout), Class: spec.Class{Weight: 1, Deadline: startTimeout, Idempotent: true}}
	client.StartCall(service, arrive, place.Callbacks{OnDecision: func(a engine.Action) { decided <- a }, OnStreamLost: func() {}}, now)
	select {
	case <-decided:
		m.decision = time.Since(begin)
	case <-time.After(startTimeout):
		return m, fmt.Errorf("entry host %d has no decision: %+v", i, m)
	}
	return m, nil
}

// run starts the fleet once. It returns the costs of the process with all control hosts
// and of that with all entry hosts, and the milestones of the entry hosts.
func (f startFleet) run(b *testing.B) (control, entry processCost, marks []startMarks) {
	text, err := json.Marshal(f)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), startControlsEnv+"="+string(text))
	logs, err := os.Create(filepath.Join(b.TempDir(), "control.log"))
	if err != nil {
		b.Fatal(err)
	}
	defer logs.Close()
	cmd.Stderr = logs
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer cmd.Wait()
	defer in.Close()
	var controls []netip.AddrPort
	decoder := json.NewDecoder(out)
	if err := decoder.Decode(&controls); err != nil {
		b.Fatal(err)
	}
	entryLogs, err := os.Create(filepath.Join(b.TempDir(), "entry.log"))
	if err != nil {
		b.Fatal(err)
	}
	defer entryLogs.Close()
	log, metrics := slog.New(slog.NewTextHandler(entryLogs, nil)), telem.NewRegistry()
	runtime.GC()
	fmt.Fprintln(in, "begin")
	before := measureProcess(metrics)
	stopProfile, err := f.profile("entry")
	if err != nil {
		b.Fatal(err)
	}
	var (
		group sync.WaitGroup
		errs  = make(chan error, f.Entries)
	)
	marks = make([]startMarks, f.Entries)
	for i := range f.Entries {
		group.Go(func() {
			var err error
			if marks[i], err = f.startEntry(ctx, i, controls, log, metrics); err != nil {
				errs <- err
			}
		})
	}
	group.Wait()
	// The last streams are opened after the first decision of a host.
	time.Sleep(f.Delay + 300*time.Millisecond)
	stopProfile()
	entry = measureProcess(metrics).minus(before)
	fmt.Fprintln(in, "end")
	if err := decoder.Decode(&control); err != nil {
		b.Fatal(err)
	}
	cancel()
	select {
	case err := <-errs:
		b.Fatal(err)
	default:
	}
	return control, entry, marks
}

// Measures what the start of all entry hosts at the same moment costs a control host, for
// each entry host, and what it costs an entry host, until it has the targets, the plan, the
// lease and the first decision. With startProfileEnv it writes processor profiles.
func BenchmarkStartOfEntryHosts(b *testing.B) {
	for name, f := range map[string]startFleet{
		"large":      {Entries: 119, Controls: 7, Targets: 354, Accounts: 82},
		"large_late": {Entries: 119, Controls: 7, Targets: 354, Accounts: 82, Delay: 350 * time.Millisecond},
		"small":      {Entries: 14, Controls: 3, Targets: 36},
		"small_late": {Entries: 14, Controls: 3, Targets: 36, Delay: 150 * time.Millisecond},
	} {
		f.Profile = os.Getenv(startProfileEnv)
		b.Run(name, func(b *testing.B) {
			var (
				control, entry processCost
				marks          []startMarks
				runs           float64
			)
			for b.Loop() {
				c, e, m := f.run(b)
				control, entry, marks = c.plus(control), e.plus(entry), append(marks, m...)
				runs++
			}
			b.ReportMetric(0, "ns/op")
			pairs, hosts := runs*float64(f.Entries*f.Controls), runs*float64(f.Entries)
			for unit, n := range map[string]float64{
				"ctl-cpu-us": float64(control.CPU.Microseconds()), "ctl-mallocs": float64(control.Mallocs), "ctl-alloc-B": float64(control.AllocBytes),
				"ctl-in-B": float64(control.In), "ctl-out-B": float64(control.Out), "ctl-conns": float64(control.Connections), "ctl-follows": float64(control.Follows),
				"ctl-places": float64(control.Places), "ctl-confirms": float64(control.Confirms), "ctl-plans": float64(control.Plans),
			} {
				b.ReportMetric(n/pairs, unit)
			}
			b.ReportMetric(float64(entry.CPU.Microseconds())/hosts, "entry-cpu-us")
			b.ReportMetric(float64(entry.Mallocs)/hosts, "entry-mallocs")
			b.ReportMetric(float64(entry.In)/hosts, "entry-in-B")
			b.ReportMetric(float64(entry.Out)/hosts, "entry-out-B")
			for unit, mark := range map[string]func(startMarks) time.Duration{
				"targets-ms": func(m startMarks) time.Duration { return m.targets }, "plan-ms": func(m startMarks) time.Duration { return m.plan },
				"lease-ms": func(m startMarks) time.Duration { return m.lease }, "decision-ms": func(m startMarks) time.Duration { return m.decision },
			} {
				var total time.Duration
				for _, m := range marks {
					total += mark(m)
				}
				b.ReportMetric(float64(total.Milliseconds())/float64(len(marks)), unit)
			}
		})
	}
}

// plus returns the sum of two costs.
func (c processCost) plus(d processCost) processCost {
	return c.minus(processCost{}.minus(d))
}
