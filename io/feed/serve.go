package feed

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/core/roster"
	"cardamomspool/io/peer/peerpb"
)

type (
	// Server serves a board to other hosts.
	Server struct {
		peerpb.UnimplementedFleetServer
		board *Board
		stop  context.Context
		place func(peerpb.Fleet_PlaceServer) error
	}

	// sender is one stream of a board.
	sender struct {
		board    *Board
		order    uint64
		version  uint64
		epoch    uint64
		controls []netip.AddrPort
		current  bool
		first    bool
		known    map[uint64]bool // Digests of what the follower began with.
		// refreshed is when the targets heard since were last sent.
		refreshed time.Time
	}
)

const (
	// heartbeatPeriod is the time between two updates of a stream on which
	// nothing changes.
	heartbeatPeriod = 500 * time.Millisecond
	// companyWait is how long a change waits for others before it is sent.
	companyWait = 15 * time.Millisecond
	// refreshPeriod is the time between two lists of the targets that were
	// heard again; it is a fraction of roster.Lease.
	refreshPeriod = 4 * time.Second
)

var _ peerpb.FleetServer = (*Server)(nil)

// NewServer returns a server of board that ends its streams with stop. place
// serves the streams of calls.
func NewServer(stop context.Context, board *Board, place func(peerpb.Fleet_PlaceServer) error) *Server {
	return &Server{board: board, stop: stop, place: place}
}

// Place streams calls and decisions.
func (s *Server) Place(stream peerpb.Fleet_PlaceServer) error {
	return s.place(stream)
}

// Depart takes in targets that leave.
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
	s.board.Hear(true, targets...)
	return &peerpb.DepartReply{}, nil
}

// Follow streams the board.
func (s *Server) Follow(r *peerpb.FollowRequest, stream peerpb.Fleet_FollowServer) error {
	control, err := netip.ParseAddrPort(r.GetControl())
	s.board.log.Info("host follows", "follower", r.GetHost(), "control", err == nil)
	if err == nil {
		// Shows only that the host was alive when it connected: what it sends on
		// its own board shows that it still is.
		s.board.SeeControl(control, r.GetDisk(), time.Now())
	}
	out := newSender(s.board, r, time.Now())
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for beat := true; ; {
		now := time.Now()
		update, changed, news := out.next(now)
		if news || beat {
			if failed := stream.Send(update); failed != nil {
				return failed
			}
		}
		beat = false
		select {
		case <-changed:
			// Changes come in company; one update carries them all.
			select {
			case <-time.After(companyWait):
			case <-stream.Context().Done():
			}
		case <-ticker.C:
			beat = true
		case <-stream.Context().Done():
			s.board.log.Info("host follows no longer", "follower", r.GetHost())
			return nil
		case <-s.stop.Done():
			return status.Error(codes.Unavailable, "control host stops")
		}
	}
}

// newSender returns the stream of a board to the host that sent r. What r says
// that the host holds is left out of it.
func newSender(b *Board, r *peerpb.FollowRequest, now time.Time) *sender {
	s := &sender{board: b, first: true, refreshed: now, version: r.GetPlanVersion(), epoch: r.GetEpoch()}
	if len(r.GetKnown()) > 0 {
		s.known = make(map[uint64]bool, len(r.GetKnown()))
		for _, d := range r.GetKnown() {
			s.known[d] = true
		}
	}
	return s
}

// next returns the update that brings the stream up to date, the channel that
// the board's next change closes, and whether the update says anything new.
func (s *sender) next(now time.Time) (*peerpb.FleetUpdate, <-chan struct{}, bool) {
	b := s.board
	b.mu.Lock()
	defer b.mu.Unlock()
	u := &peerpb.FleetUpdate{Current: b.current, Complete: true}
	news := s.first || s.current != b.current
	if b.view.Epoch > s.epoch {
		u.View = fromView(b.view)
		s.epoch, news = b.view.Epoch, true
	}
	if list := b.controlList(); !slices.Equal(list, s.controls) {
		for _, address := range list {
			u.Controls = append(u.Controls, address.String())
		}
		s.controls, news = list, true
	}
	if b.plan != nil {
		u.PlanVersion = b.plan.Version
		if b.plan.Version > s.version {
			u.Plan = b.planText
			s.version, news = b.plan.Version, true
		}
	}
	b.since(s.order, func(t roster.Target) {
		if s.known != nil && s.known[digest(t)] {
			u.Heard = append(u.Heard, heardAgain(t, now)) // Or its lease would end.
			return
		}
		u.Targets = append(u.Targets, fromTarget(t, now))
	})
	s.known = nil
	if now.Sub(s.refreshed) >= refreshPeriod {
		for id := range b.marks {
			b.visit(id, func(t roster.Target) {
				if t.Heard.After(s.refreshed) {
					u.Heard = append(u.Heard, heardAgain(t, now))
				}
			})
		}
		s.refreshed = now
	}
	news = news || len(u.Targets)+len(u.Heard) > 0
	s.order, s.current, s.first = b.order(), b.current, false
	return u, b.changed, news
}

// heardAgain returns the message that renews the lease of a target.
func heardAgain(t roster.Target, now time.Time) *peerpb.TargetHeard {
	age := uint32(max(now.Sub(t.Heard), 0).Milliseconds())
	return &peerpb.TargetHeard{Id: t.ID, Sequence: t.Sequence, AgeMs: age}
}

// Departing returns the message that tells of a target that leaves.
func Departing(t roster.Target, now time.Time) *peerpb.DepartRequest {
	return &peerpb.DepartRequest{Targets: []*peerpb.TargetState{fromTarget(t, now)}}
}
