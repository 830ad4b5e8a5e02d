package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/pace"
	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
	"cardamomspool/core/reach"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

type (
	// Follower merges the streams of all control hosts that it discovers into
	// its own copy of the fleet's state.
	Follower struct {
		state *State
		// seeds returns the addresses to discover control hosts from.
		seeds   func() []netip.AddrPort
		self    Self
		traffic peer.Traffic

		mu sync.Mutex
		// active holds the control hosts that are followed or being connected to.
		active map[netip.AddrPort]bool
		// streams holds the control hosts from which updates arrive.
		streams map[netip.AddrPort]streamState
		// clients holds the connections of the streams.
		clients map[netip.AddrPort]peerpb.FleetClient
		started time.Time // When the Follower was created.
		// confirmed is closed when there is a plan and Synced is true for the first time.
		confirmed     chan struct{}
		confirmedOnce sync.Once
		offset        uint64        // Selects the first control host; see claimNext.
		discover      chan struct{} // Holds a value when a check for control hosts is due.
		// planFetches holds the control hosts from which a plan is being fetched; the
		// last fetch began at planFetchStarted.
		planFetches      map[netip.AddrPort]bool
		planFetchStarted time.Time
	}

	// streamState is the state of the stream from one control host.
	streamState struct {
		complete bool // The first batch has arrived, but for the plan.
		current  bool // The control host is current.
		informed bool // The control host is informed; see Informed.
		// firstPlan is the version of the control host's plan at the first batch,
		// newestPlan that at the last update.
		firstPlan, newestPlan uint64
		// controls are the control hosts that the control host names.
		controls []netip.AddrPort
	}

	// Self describes the host that follows.
	Self struct {
		// Host is its host name.
		Host string
		// DataCentre is the data centre that it runs in.
		DataCentre string
		// Peer is its own peer address. All control hosts use the same peer
		// port.
		Peer netip.AddrPort
		// Control is true for a control host.
		Control bool
		// Disk identifies the disk of a control host, as in Member.
		Disk uint64
	}
)

const (
	// discoveryPeriod is the time between two checks for control hosts that are
	// not followed yet. The first batch of a control host leads to a check at once.
	discoveryPeriod = 100 * time.Millisecond
	// streamTimeout is how long a stream may be without an update before it is
	// closed: three heartbeats are then missing. It doubles, up to maxStreamTimeout,
	// while the control host stays silent on one stream after the other, and is back
	// after a stream of steadyTime.
	streamTimeout    = 1600 * time.Millisecond
	maxStreamTimeout = 4 * streamTimeout
	steadyTime       = 10 * time.Second
	// expirePeriod is the time between two calls of State.Expire.
	expirePeriod = time.Second
	// majorityWait is how long after its start a host waits for the state of a
	// majority of the voting hosts. After that, the state of one control host
	// that a majority confirms is enough.
	majorityWait = 1500 * time.Millisecond
	// planFetchPatience is how long a fetch of a plan may take until another control
	// host is asked as well.
	planFetchPatience = 500 * time.Millisecond
	// planFetchTimeout bounds a fetch of a plan.
	planFetchTimeout = 5 * time.Second
	// entriesTimeout bounds a request for the list of entry hosts.
	entriesTimeout = 300 * time.Millisecond
	// maxPlanFetches is the number of fetches that may run at the same time. Each
	// takes a share of a narrow link from the others.
	maxPlanFetches = 3
)

var (
	// errStreamSilent reports a stream without an update for streamTimeout.
	errStreamSilent = errors.New("feed: the control host has sent nothing for too long")
	errNoControl    = errors.New("feed: no control host is followed")
)

// NewFollower returns a follower that updates state and discovers control hosts
// from the addresses that seeds returns. It counts its bytes in traffic.
func NewFollower(state *State, self Self, seeds func() []netip.AddrPort, traffic peer.Traffic) *Follower {
	return &Follower{
		state: state, seeds: seeds, self: self, traffic: traffic,
		active: make(map[netip.AddrPort]bool), streams: make(map[netip.AddrPort]streamState), clients: make(map[netip.AddrPort]peerpb.FleetClient), started: time.Now(),
		offset: rand.Uint64(), discover: make(chan struct{}, 1), confirmed: make(chan struct{}), planFetches: make(map[netip.AddrPort]bool),
	}
}

// newRequest returns the request that opens a stream. It tells the control host
// what this host already holds.
func (f *Follower) newRequest() *peerpb.FollowRequest {
	r := &peerpb.FollowRequest{Host: f.self.Host, DataCentre: f.self.DataCentre, FetchesPlan: true}
	if f.self.Control {
		r.Control, r.Disk = f.self.Peer.String(), f.self.Disk
	} else {
		r.Entry = f.self.Peer.String()
	}
	r.Known, r.PlanVersion, r.Epoch = f.state.summary()
	return r
}

// Run discovers and follows control hosts, and calls State.Expire every
// expirePeriod, until ctx ends. It returns when all streams have ended.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	discovery := time.NewTicker(discoveryPeriod)
	defer discovery.Stop()
	lastExpiry := time.Now()
	for {
		for _, address := range f.claimNext() {
			group.Go(func() { f.maintain(ctx, address) })
		}
		if now := time.Now(); now.Sub(lastExpiry) >= expirePeriod {
			lastExpiry = now
			f.state.Expire(now)
		}
		if f.self.Control {
			f.state.setInformed(f.hearsMajority())
		}
		select {
		case <-ctx.Done():
			return
		case <-discovery.C:
		case <-f.discover:
		}
	}
}

// claimNext marks control hosts as active and returns them, to start following
// them. Until a control host has sent its first batch, it returns one more per
// call; from then on it returns all that are known. So most control hosts are
// followed after one has sent its state, and send only what differs from it.
func (f *Follower) claimNext() []netip.AddrPort {
	list := f.knownControls()
	if len(list) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	anyComplete := false
	for _, s := range f.streams {
		anyComplete = anyComplete || s.complete
	}
	// The offset is random, so that followers start with different control hosts.
	first := int(f.offset % uint64(len(list)))
	list = append(list[first:], list[:first]...)
	var claimed []netip.AddrPort
	for _, address := range list {
		if f.active[address] {
			continue
		}
		f.active[address] = true
		claimed = append(claimed, address)
		if !anyComplete {
			break
		}
	}
	return claimed
}

// Synced reports whether the first batches of enough control hosts have arrived, with
// their plans or newer ones: those of a majority of the voting hosts or, after
// majorityWait, that of one voting host and that of one current control host, which may
// be the same.
func (f *Follower) Synced() bool {
	view, planVersion := f.state.View(), f.state.planVersion()
	f.mu.Lock()
	defer f.mu.Unlock()
	complete, current := 0, false
	for address, s := range f.streams {
		if !s.complete || s.firstPlan > planVersion {
			continue
		}
		if view.Has(address.Addr()) {
			complete++
		}
		current = current || s.current
	}
	if len(view.Members) == 0 || complete == 0 {
		return false
	}
	return complete >= quorum.Majority(len(view.Members)) || current && time.Since(f.started) > majorityWait
}

// Confirmed returns a channel that is closed when there is a plan and Synced is true for
// the first time. From then on the plan in force is not older than those that a majority
// of the voting hosts had when this host asked them.
func (f *Follower) Confirmed() <-chan struct{} {
	return f.confirmed
}

// checkConfirmed closes the channel of Confirmed if its conditions hold.
func (f *Follower) checkConfirmed() {
	if f.state.planVersion() > 0 && f.Synced() {
		f.confirmedOnce.Do(func() { close(f.confirmed) })
	}
}

// Informed reports whether the control host at address receives the updates of a
// majority of the voting hosts, and whether it has said so yet. If it does, it knows of
// every departure that was acknowledged, since a majority has each of them.
func (f *Follower) Informed(address netip.AddrPort) (informed, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.streams[address]
	return s.informed, known
}

// hearsMajority reports whether this control host receives the updates of a majority of
// the voting hosts, itself included.
func (f *Follower) hearsMajority() bool {
	view := f.state.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	heard := 0
	if view.Has(f.self.Peer.Addr()) {
		heard++
	}
	for address, s := range f.streams {
		if s.complete && view.Has(address.Addr()) {
			heard++
		}
	}
	return len(view.Members) > 0 && heard >= quorum.Majority(len(view.Members))
}

// Streams returns the number of control hosts from which updates arrive.
func (f *Follower) Streams() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.streams)
}

// knownControls returns the peer addresses of all known control hosts except this
// host, sorted and each once.
func (f *Follower) knownControls() []netip.AddrPort {
	list, port := f.state.Controls(), f.self.Peer.Port()
	for _, m := range f.state.View().Members {
		list = append(list, netip.AddrPortFrom(m.Host, port))
	}
	for _, s := range f.seeds() {
		list = append(list, netip.AddrPortFrom(s.Addr(), port))
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == f.self.Peer })
}

// maintain follows one control host, reconnecting when the stream ends, until the
// control host is no longer known or ctx ends.
func (f *Follower) maintain(ctx context.Context, address netip.AddrPort) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.active, address)
	}()
	isWanted := func() bool { return slices.Contains(f.knownControls(), address) }
	patience := &pace.Patience{Min: streamTimeout, Max: maxStreamTimeout}
	peer.Reconnect(ctx, isWanted, func() bool {
		received, err := f.follow(ctx, address, patience)
		f.mu.Lock()
		delete(f.streams, address)
		delete(f.clients, address)
		f.mu.Unlock()
		f.state.changes.forgetRelay(address)
		if received && ctx.Err() == nil {
			f.state.metrics.Counter("streams_lost").Add(1)
			f.state.log.Warn("control host lost", "address", address.String(), "error", err)
		}
		return received
	})
}

// follow merges the updates of one stream until the stream ends or times out. It
// reports whether any update arrived, and always returns an error that says why
// the stream ended. patience is that with this control host.
func (f *Follower) follow(ctx context.Context, address netip.AddrPort, patience *pace.Patience) (bool, error) {
	var (
		conn   *grpc.ClientConn
		stream peerpb.Fleet_FollowClient
		update *peerpb.FleetUpdate
		err    error
	)
	if conn, err = peer.Dial(address, peer.WithTraffic(f.traffic)); err != nil {
		return false, errors.Wrap(err, "feed: dial")
	}
	defer conn.Close()
	var fetches sync.WaitGroup
	defer fetches.Wait()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := peerpb.NewFleetClient(conn)
	begin := time.Now()
	watchdog := time.AfterFunc(patience.Current(), func() { cancel(errStreamSilent) })
	defer watchdog.Stop()
	if stream, err = client.Follow(ctx, f.newRequest()); err != nil {
		return false, errors.Wrap(err, "feed: follow")
	}
	for received := false; ; received = true {
		if update, err = stream.Recv(); err != nil {
			if errors.Is(context.Cause(ctx), errStreamSilent) {
				err = errStreamSilent
				patience.GiveUp()
			}
			return received, err
		}
		if time.Since(begin) > steadyTime {
			patience.Reset()
		}
		watchdog.Reset(patience.Current())
		if !received {
			f.state.log.Info("control host heard", "address", address.String(), "current", update.GetCurrent(),
				"plan_version", update.GetPlanVersion(), "targets", len(update.GetTargets()))
		}
		f.merge(address, update, client)
		f.checkConfirmed()
		if !received {
			fetches.Go(func() { f.sendAllLostCalls(ctx, client) })
			select {
			case f.discover <- struct{}{}:
			default:
			}
		}
		if f.claimPlanFetch(address, update.GetPlanVersion(), time.Now()) {
			fetches.Go(func() { f.fetchPlans(ctx, client, address) })
		}
	}
}

// claimPlanFetch reports whether the plan of the control host at address, which has
// announced the given version, is to be fetched from it: it is newer, and no control
// host was asked lately. If so, fetchPlans must follow.
func (f *Follower) claimPlanFetch(address netip.AddrPort, version uint64, now time.Time) bool {
	if version <= f.state.planVersion() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	running := len(f.planFetches)
	if f.planFetches[address] || running >= maxPlanFetches || running > 0 && now.Sub(f.planFetchStarted) < planFetchPatience {
		return false
	}
	f.planFetches[address], f.planFetchStarted = true, now
	return true
}

// fetchPlans fetches the plan of the control host at address, which client is connected
// to, and puts it in force, until it is as new as what the control host has announced.
// If that fails, the next update of any control host leads to another fetch.
func (f *Follower) fetchPlans(ctx context.Context, client peerpb.FleetClient, address netip.AddrPort) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.planFetches, address)
	}()
	for f.lacksPlanOf(address) {
		p, err := fetchPlan(ctx, client)
		if err != nil {
			f.state.metrics.Counter("plan_fetches_failed").Add(1)
			f.state.log.Warn("plan not fetched", "address", address.String(), "error", err)
			return
		}
		if !f.state.SetPlan(p) {
			return // The control host may have started anew with an older plan.
		}
		f.checkConfirmed()
	}
}

// lacksPlanOf reports whether the control host at address has announced a newer plan
// than the one in force.
func (f *Follower) lacksPlanOf(address netip.AddrPort) bool {
	held := f.state.planVersion()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streams[address].newestPlan > held
}

// fetchPlan returns the plan of the control host that client is connected to.
func fetchPlan(ctx context.Context, client peerpb.FleetClient) (*plan.Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, planFetchTimeout)
	defer cancel()
	reply, err := client.Plan(ctx, &peerpb.PlanRequest{})
	if err != nil {
		return nil, errors.Wrap(err, "feed: fetch plan")
	}
	return decodePlan(reply.GetPlan())
}

// Entries returns the other entry hosts that follow one of the control hosts that this
// host follows, drawn at random. It fails when no control host answers.
func (f *Follower) Entries(ctx context.Context) ([]reach.Carrier, error) {
	f.mu.Lock()
	clients := make([]peerpb.FleetClient, 0, len(f.clients))
	for _, client := range f.clients { // In random order.
		clients = append(clients, client)
	}
	f.mu.Unlock()
	err := errNoControl
	for _, client := range clients {
		var reply *peerpb.EntriesReply
		if reply, err = requestEntries(ctx, client); err != nil {
			continue
		}
		var list []reach.Carrier
		for _, e := range reply.GetEntries() {
			address, parseErr := netip.ParseAddrPort(e.GetAddress())
			if parseErr != nil {
				f.state.log.Error("entry host refused", "address", e.GetAddress(), "error", parseErr)
				continue
			}
			if address != f.self.Peer {
				list = append(list, reach.Carrier{Address: address, DataCentre: e.GetDataCentre()})
			}
		}
		return list, nil
	}
	return nil, errors.Wrap(err, "feed: entry hosts")
}

// requestEntries asks one control host for entry hosts.
func requestEntries(ctx context.Context, client peerpb.FleetClient) (*peerpb.EntriesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	return client.Entries(ctx, &peerpb.EntriesRequest{})
}

// merge applies one update of the control host at address, which client is connected to.
// Parts of the update
// that cannot be parsed are logged and skipped.
func (f *Follower) merge(address netip.AddrPort, u *peerpb.FleetUpdate, client peerpb.FleetClient) {
	now := time.Now()
	f.state.ObserveControl(address, 0, now)
	if u.GetView() != nil {
		if v, err := toView(u.GetView()); err != nil {
			f.state.log.Error("view refused", "address", address.String(), "error", err)
		} else {
			f.state.SetView(v)
		}
	}
	if e := u.GetEvacuation(); e != nil {
		f.state.SetEvacuation(e.GetRevision(), e.GetDataCentres())
	}
	controls := f.mergeControls(address, u.GetControls())
	for _, a := range controls {
		f.state.nameControl(a, now)
	}
	if len(u.GetPlan()) > 0 {
		p := new(plan.Plan)
		if err := json.Unmarshal(u.GetPlan(), p); err != nil {
			f.state.log.Error("plan refused", "address", address.String(), "error", err)
		} else {
			f.state.SetPlan(p)
		}
	}
	var targets []roster.Target
	for _, m := range u.GetTargets() {
		if t, err := toTarget(m, now); err != nil {
			f.state.log.Error("target refused", "address", address.String(), "target", m.GetId(), "error", err)
		} else {
			targets = append(targets, t)
		}
	}
	f.state.updateTargets(false, address, targets)
	f.state.renewLeases(u.GetHeard(), now)
	f.state.addLostCalls(peer.ToLostCalls(u.GetLostCalls(), now), now)
	f.state.accounts.merge(address, u, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.streams[address]
	if !known {
		s.firstPlan = u.GetPlanVersion()
	}
	s.newestPlan = u.GetPlanVersion()
	s.complete, s.current, s.informed, s.controls = u.GetComplete(), u.GetCurrent(), u.GetInformed(), controls
	f.streams[address], f.clients[address] = s, client
}

// mergeControls returns the control hosts that the one at address names, without this
// host: those of names, or the former ones if names has no entry. Entries that cannot
// be parsed are logged and skipped.
func (f *Follower) mergeControls(address netip.AddrPort, names []string) []netip.AddrPort {
	if len(names) == 0 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.streams[address].controls
	}
	var list []netip.AddrPort
	for _, text := range names {
		if text == noControls {
			continue
		}
		if a, err := netip.ParseAddrPort(text); err != nil {
			f.state.log.Error("control host refused", "address", text, "error", err)
		} else if a != f.self.Peer {
			list = append(list, a)
		}
	}
	return list
}
