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

	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

type (
	// Follower merges the boards of all control hosts that it can find into
	// its own board.
	Follower struct {
		board *Board
		// Seeds returns the addresses to begin with.
		seeds   func() []netip.AddrPort
		host    Self
		traffic peer.Traffic

		mu      sync.Mutex
		active  map[netip.AddrPort]bool
		sources map[netip.AddrPort]source
		started time.Time
		spread  uint64
	}

	// source is the state of the stream from one control host.
	source struct {
		complete bool
		current  bool
	}

	// Self is the host that follows.
	Self struct {
		// Host is its name.
		Host string
		// DataCentre is where it runs.
		DataCentre string
		// Peer is the address of its own peer port; all control hosts have
		// theirs at the same port.
		Peer netip.AddrPort
		// Control says that it is a control host.
		Control bool
		// Disk identifies the life of a control host's disk.
		Disk uint64
	}
)

const (
	searchPeriod = 100 * time.Millisecond
	// silenceLimit is how long a stream may be without an update; three
	// heartbeats are then missing.
	silenceLimit = 1600 * time.Millisecond
	expirePeriod = time.Second
	// settleTime is how long a host that has heard one control host waits for
	// a majority of them before it counts as informed.
	settleTime = 1500 * time.Millisecond
)

// errSilent reports a stream on which nothing has arrived for silenceLimit.
var errSilent = errors.New("feed: the control host has sent nothing for too long")

// NewFollower returns a follower for board that begins with seeds.
func NewFollower(board *Board, self Self, seeds func() []netip.AddrPort, traffic peer.Traffic) *Follower {
	return &Follower{
		board: board, seeds: seeds, host: self, traffic: traffic,
		active: make(map[netip.AddrPort]bool), sources: make(map[netip.AddrPort]source), started: time.Now(),
		spread: rand.Uint64(),
	}
}

// request returns what opens a stream.
func (f *Follower) request() *peerpb.FollowRequest {
	r := &peerpb.FollowRequest{Host: f.host.Host, DataCentre: f.host.DataCentre}
	if f.host.Control {
		r.Control, r.Disk = f.host.Peer.String(), f.host.Disk
	}
	r.Known, r.PlanVersion, r.Epoch = f.board.known()
	return r
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	search := time.NewTicker(searchPeriod)
	defer search.Stop()
	expired := time.Now()
	for {
		for _, address := range f.next() {
			group.Go(func() { f.keep(ctx, address) })
		}
		if now := time.Now(); now.Sub(expired) >= expirePeriod {
			expired = now
			f.board.Expire(now)
		}
		select {
		case <-ctx.Done():
			return
		case <-search.C:
		}
	}
}

// next returns the control hosts to follow from now on: all that are known, but
// one more at a time while none has told all that it knows. The others then
// tell only what is new.
func (f *Follower) next() []netip.AddrPort {
	list := f.wanted()
	if len(list) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	told := false
	for _, s := range f.sources {
		told = told || s.complete
	}
	// Hosts begin with different ones.
	first := int(f.spread % uint64(len(list)))
	list = append(list[first:], list[:first]...)
	var claimed []netip.AddrPort
	for _, address := range list {
		if f.active[address] {
			continue
		}
		f.active[address] = true
		claimed = append(claimed, address)
		if !told {
			break
		}
	}
	return claimed
}

// Informed reports whether enough control hosts have told all that they know:
// a majority of the voting ones, or after a while one that a majority
// confirms.
func (f *Follower) Informed() bool {
	view := f.board.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	complete, current := 0, false
	for address, s := range f.sources {
		if s.complete && view.Has(address.Addr()) {
			complete++
		}
		current = current || s.complete && s.current
	}
	if len(view.Members) == 0 || complete == 0 {
		return false
	}
	return complete >= quorum.Majority(len(view.Members)) || current && time.Since(f.started) > settleTime
}

// Sources returns the number of control hosts that are heard.
func (f *Follower) Sources() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sources)
}

// wanted returns the addresses of all control hosts that are known.
func (f *Follower) wanted() []netip.AddrPort {
	list, port := f.board.Controls(), f.host.Peer.Port()
	for _, m := range f.board.View().Members {
		list = append(list, netip.AddrPortFrom(m.Host, port))
	}
	for _, s := range f.seeds() {
		list = append(list, netip.AddrPortFrom(s.Addr(), port))
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == f.host.Peer })
}

// keep follows one control host for as long as it is wanted.
func (f *Follower) keep(ctx context.Context, address netip.AddrPort) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.active, address)
	}()
	wanted := func() bool { return slices.Contains(f.wanted(), address) }
	peer.Keep(ctx, wanted, func() bool {
		heard, err := f.follow(ctx, address)
		f.mu.Lock()
		delete(f.sources, address)
		f.mu.Unlock()
		if heard && ctx.Err() == nil {
			f.board.metrics.Count("streams_lost").Add(1)
			f.board.log.Warn("control host lost", "address", address.String(), "error", err)
		}
		return heard
	})
}

// follow merges the updates of one stream until it ends or falls silent, and
// reports whether there was one.
func (f *Follower) follow(ctx context.Context, address netip.AddrPort) (bool, error) {
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
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(silenceLimit, func() { cancel(errSilent) })
	defer silence.Stop()
	if stream, err = peerpb.NewFleetClient(conn).Follow(ctx, f.request()); err != nil {
		return false, errors.Wrap(err, "feed: follow")
	}
	for heard := false; ; heard = true {
		if update, err = stream.Recv(); err != nil {
			if errors.Is(context.Cause(ctx), errSilent) {
				err = errSilent
			}
			return heard, err
		}
		silence.Reset(silenceLimit)
		if !heard {
			f.board.log.Info("control host heard", "address", address.String(), "current", update.GetCurrent(),
				"plan_version", update.GetPlanVersion(), "targets", len(update.GetTargets()))
		}
		f.merge(address, update)
	}
}

func (f *Follower) merge(address netip.AddrPort, u *peerpb.FleetUpdate) {
	now := time.Now()
	f.board.SeeControl(address, 0, now)
	if u.GetView() != nil {
		if v, err := toView(u.GetView()); err != nil {
			f.board.log.Error("view refused", "address", address.String(), "error", err)
		} else {
			f.board.SetView(v)
		}
	}
	for _, text := range u.GetControls() {
		if a, err := netip.ParseAddrPort(text); err != nil {
			f.board.log.Error("control host refused", "address", text, "error", err)
		} else if a != f.host.Peer && !f.knows(a) {
			f.board.SeeControl(a, 0, now)
		}
	}
	if len(u.GetPlan()) > 0 {
		p := new(plan.Plan)
		if err := json.Unmarshal(u.GetPlan(), p); err != nil {
			f.board.log.Error("plan refused", "address", address.String(), "error", err)
		} else {
			f.board.SetPlan(p)
		}
	}
	var targets []roster.Target
	for _, m := range u.GetTargets() {
		if t, err := toTarget(m, now); err != nil {
			f.board.log.Error("target refused", "address", address.String(), "target", m.GetId(), "error", err)
		} else {
			targets = append(targets, t)
		}
	}
	f.board.Hear(false, targets...)
	for _, m := range u.GetHeard() {
		f.board.hearAgain(m.GetId(), m.GetSequence(), now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources[address] = source{complete: u.GetComplete(), current: u.GetCurrent()}
}

func (f *Follower) knows(address netip.AddrPort) bool {
	return slices.Contains(f.board.Controls(), address)
}
