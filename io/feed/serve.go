package feed

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/core/crash"
	"cardamomspool/core/pace"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

type (
	// Server streams a host's copy of the fleet's state to other hosts.
	Server struct {
		peerpb.UnimplementedFleetServer
		state *State
		stop  context.Context // Ends the streams.
		place func(peerpb.Fleet_PlaceServer) error

		mu      sync.Mutex
		entries map[netip.AddrPort]followingEntry // The entry hosts that follow, by peer address.
		streams int                               // Number of open streams of entry hosts.
		// lostEntries holds when entry hosts that no longer follow did so last.
		lostEntries map[netip.AddrPort]time.Time
		started     time.Time
	}

	// followingEntry is an entry host with streams open streams.
	followingEntry struct {
		dataCentre string
		streams    int
	}

	// updateStream generates the updates of one stream. Its fields hold what
	// the follower already has.
	updateStream struct {
		state       *State
		lastChange  uint64 // Number of the last change of a target.
		planVersion uint64 // Version of the plan, or the last one that the follower was told of.
		fetchesPlan bool   // The follower fetches plans by itself.
		epoch       uint64 // Epoch of the view.
		lastLost    uint64 // Number of the last change of the table of lost calls.
		evacuation  uint64 // Revision of the list of evacuated data centres.
		controls    []netip.AddrPort
		condition   conditionFlags
		// limitedVersion is the number of the last change of limited accounts.
		limitedVersion uint64
		first          bool            // No update has been generated yet.
		known          map[uint64]bool // Digests of the targets that the follower held at the start.
		// encoded is the encoded form of the targets and renewals of the last update, if
		// other streams share it; see embed.
		encoded []byte
		// leasesSentAt is when lease renewals were last sent.
		leasesSentAt time.Time
	}
)

const (
	// heartbeatPeriod is the time between two updates of a stream on which
	// nothing changes.
	heartbeatPeriod = 500 * time.Millisecond
	// batchDelay is how long an update is delayed after an urgent change, and after any
	// change for a control host, so that it carries all changes made in the meantime.
	// Other updates to entry hosts are delayed by pace.Batch.
	batchDelay = 15 * time.Millisecond
	// leasePeriod is the time between two lists of lease renewals; it is a
	// fraction of roster.Lease.
	leasePeriod = 4 * time.Second
	// maxListedEntries bounds the entry hosts that one reply lists, which are drawn at
	// random from all.
	maxListedEntries = 64
	// noControls is the only entry of an empty list of control hosts; a list without
	// an entry is an unchanged one.
	noControls = ""
)

var _ peerpb.FleetServer = (*Server)(nil)

// NewServer returns a server that streams state. Its streams end when stop does.
// place serves the streams opened by the Place RPC.
func NewServer(stop context.Context, state *State, place func(peerpb.Fleet_PlaceServer) error) *Server {
	return &Server{state: state, stop: stop, place: place, entries: make(map[netip.AddrPort]followingEntry), lostEntries: make(map[netip.AddrPort]time.Time), started: time.Now()}
}

// Place serves a stream on which an entry host sends the events of its calls and
// receives the decisions about them.
func (s *Server) Place(stream peerpb.Fleet_PlaceServer) error {
	return s.place(stream)
}

// Depart applies the states of targets that are draining or leaving, and relays
// them. When one cannot be parsed, it applies none and fails with code
// InvalidArgument.
func (s *Server) Depart(_ context.Context, r *peerpb.DepartRequest) (*peerpb.DepartReply, error) {
	now := time.Now()
	var targets []roster.Target
	for _, m := range r.GetTargets() {
		t, err := toTarget(m, now)
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		targets = append(targets, t)
	}
	s.state.UpdateTargets(true, targets...)
	return &peerpb.DepartReply{}, nil
}

// Plan returns the plan in force, and fails with code NotFound when there is none.
func (s *Server) Plan(context.Context, *peerpb.PlanRequest) (*peerpb.PlanReply, error) {
	p := s.state.Plan()
	if p == nil {
		return nil, status.Error(codes.NotFound, "no plan is known")
	}
	data, err := s.state.plans.encoder.gzip(p)
	if err != nil {
		s.state.log.Error("plan could not be encoded", "version", p.Version, "error", err)
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.PlanReply{Plan: data}, nil
}

// Entries returns entry hosts that follow this host, at most maxListedEntries.
func (s *Server) Entries(context.Context, *peerpb.EntriesRequest) (*peerpb.EntriesReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.EntriesReply{}
	for address, e := range s.entries { // In random order.
		if len(reply.GetEntries()) >= maxListedEntries {
			break
		}
		reply.Entries = append(reply.Entries, &peerpb.EntryHost{Address: address.String(), DataCentre: e.dataCentre})
	}
	return reply, nil
}

// addEntry lists an entry host until the returned function is called.
func (s *Server) addEntry(address netip.AddrPort, dataCentre string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams++
	delete(s.lostEntries, address)
	s.entries[address] = followingEntry{dataCentre: dataCentre, streams: s.entries[address].streams + 1}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.streams--
		e := s.entries[address]
		if e.streams--; e.streams == 0 {
			delete(s.entries, address)
			s.lostEntries[address] = time.Now()
			return
		}
		s.entries[address] = e
	}
}

// Follow streams the state of the fleet until the follower or the server stops. The last
// update holds all that was known when the server stopped.
func (s *Server) Follow(r *peerpb.FollowRequest, stream peerpb.Fleet_FollowServer) error {
	control, err := netip.ParseAddrPort(r.GetControl())
	s.state.log.Info("host follows", "follower", r.GetHost(), "control", err == nil)
	if err == nil {
		// The request shows only that the control host was alive when it
		// connected. The updates on the stream from that control host show
		// whether it still is.
		s.state.ObserveControl(control, r.GetDisk(), time.Now())
	}
	delay := func() time.Duration { return batchDelay }
	entry, entryErr := netip.ParseAddrPort(r.GetEntry())
	if entryErr == nil {
		defer s.addEntry(entry, r.GetDataCentre())()
		delay = s.entryBatch
	}
	out := newUpdateStream(s.state, r, time.Now())
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for heartbeat := true; ; {
		now := time.Now()
		update, wake, hasChanges := out.next(now)
		if entryErr == nil && s.addAccounts(update, out, now) {
			hasChanges = true
		}
		if hasChanges || heartbeat {
			embed(update, out.encoded)
			if sendErr := stream.Send(update); sendErr != nil {
				return sendErr
			}
		}
		heartbeat = false
		select {
		case <-wake.changed:
			// Changes come in bursts; one update carries all changes of a burst.
			awaitBatch(stream.Context(), delay(), wake.urgent, s.stop.Done())
		case <-ticker.C:
			heartbeat = true
		case <-stream.Context().Done():
			s.state.log.Info("host follows no longer", "follower", r.GetHost())
			return nil
		case <-s.stop.Done():
			if last, _, more := out.next(time.Now()); more {
				embed(last, out.encoded)
				if sendErr := stream.Send(last); sendErr != nil {
					return sendErr
				}
			}
			return status.Error(codes.Unavailable, "control host stops")
		}
	}
}

// entryBatch returns the time over which changes are collected for an entry host.
func (s *Server) entryBatch() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pace.Batch(s.streams)
}

// awaitBatch waits for delay, or for batchDelay once urgent is closed. It returns early
// when ctx ends or stop is closed.
func awaitBatch(ctx context.Context, delay time.Duration, urgent, stop <-chan struct{}) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return
	case <-ctx.Done():
		return
	case <-stop:
		return
	case <-urgent:
	}
	timer.Reset(batchDelay)
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-stop:
	}
}

// newUpdateStream returns the stream of updates to the host that sent r. The
// updates omit what the host already holds according to r.
func newUpdateStream(state *State, r *peerpb.FollowRequest, now time.Time) *updateStream {
	s := &updateStream{state: state, first: true, leasesSentAt: now, planVersion: r.GetPlanVersion(), epoch: r.GetEpoch(), fetchesPlan: r.GetFetchesPlan()}
	if len(r.GetKnown()) > 0 {
		s.known = make(map[uint64]bool, len(r.GetKnown()))
		for _, d := range r.GetKnown() {
			s.known[d] = true
		}
	}
	return s
}

// next returns the update that brings the follower up to date, what wakes the stream
// next, and whether the update holds anything new.
func (s *updateStream) next(now time.Time) (*peerpb.FleetUpdate, wakeUp, bool) {
	state := s.state
	wake := state.waker.next()
	condition := state.condition.get()
	u := &peerpb.FleetUpdate{Current: condition.current, Informed: condition.informed, Complete: !condition.unsettled}
	hasChanges := s.first || s.condition != condition
	if u.Evacuation = state.fromEvacuation(s.evacuation); u.GetEvacuation() != nil {
		s.evacuation, hasChanges = u.GetEvacuation().GetRevision(), true
	}
	if v := state.View(); v.Epoch > s.epoch {
		u.View = fromView(v)
		s.epoch, hasChanges = v.Epoch, true
	}
	if list := state.heardControls(now); !slices.Equal(list, s.controls) {
		for _, address := range list {
			u.Controls = append(u.Controls, address.String())
		}
		if len(list) == 0 {
			u.Controls = []string{noControls}
		}
		s.controls, hasChanges = list, true
	}
	if p := state.Plan(); p != nil {
		u.PlanVersion = p.Version
		if p.Version > s.planVersion {
			if !s.fetchesPlan {
				u.Plan = state.encodedPlan(p)
			}
			s.planVersion, hasChanges = p.Version, true
		}
	}
	s.encoded = nil
	if s.first {
		list := state.firstLists.get(state, now)
		s.encoded, s.lastChange, s.known = list.addTo(u, s.known), list.change, nil
	} else {
		var changed []string
		changed, s.lastChange = state.changes.since(s.lastChange)
		for _, t := range state.targets.list(changed) {
			u.Targets = append(u.Targets, fromTarget(t, now))
		}
	}
	var lost []crash.Report
	lost, s.lastLost = state.crashes.AppendChanged(nil, s.lastLost, minSharedTargets)
	u.LostCalls = peer.FromLostCalls(lost, now)
	if !s.first && now.Sub(s.leasesSentAt) >= leasePeriod { // The first update has all leases.
		u.Heard = append(u.Heard, state.renewals(now)...)
		s.leasesSentAt = now
	}
	hasChanges = hasChanges || len(u.Targets)+len(u.Heard)+len(u.LostCalls) > 0
	s.condition, s.first = condition, false
	return u, wake, hasChanges
}

// renewals returns the renewals of the leases of the targets that this host has heard
// itself in the last leasePeriod and a little more. Streams that ask within
// heartbeatPeriod share one list.
func (s *State) renewals(now time.Time) []*peerpb.TargetHeard {
	if list, ok := s.targets.renewals(now); ok {
		return list
	}
	return s.targets.renew(s.changes.heardSince(now.Add(-leasePeriod-2*heartbeatPeriod)), now)
}

// leaseRenewal returns the message that renews the lease of a target. It holds the
// time since the target's last heartbeat.
func leaseRenewal(t roster.Target, now time.Time) *peerpb.TargetHeard {
	age := uint32(max(now.Sub(t.Heard), 0).Milliseconds())
	return &peerpb.TargetHeard{Id: t.ID, Sequence: t.Sequence, AgeMs: age}
}

// NewDepartRequest returns the request that announces that a target is draining
// or leaving.
func NewDepartRequest(t roster.Target, now time.Time) *peerpb.DepartRequest {
	return &peerpb.DepartRequest{Targets: []*peerpb.TargetState{fromTarget(t, now)}}
}
