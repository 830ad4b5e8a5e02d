package ctrl

import (
	"context"
	"encoding/json"
	"io/fs"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
	"cardamomspool/core/roster"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/admin"
	"cardamomspool/io/disk"
	"cardamomspool/io/drain"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/place"
	"cardamomspool/io/probe"
	"cardamomspool/io/setup"
)

type (
	// fleet is the part of a control host that finds the others from seeds.
	// Its hosts agree on one document, the plan, in views that follow each
	// other: the last value of a view is the first of the next.
	fleet struct {
		host     *Host
		disk     uint64
		board    *feed.Board
		follower *feed.Follower
		places   *place.Server
		front    *drain.Server
		// moves takes the views to change to, newest last.
		moves chan feed.View
		// present is the view of the host's node; it is guarded by the host's
		// step mutex.
		present feed.View
		// entered is when the host entered it.
		entered time.Time

		mu    sync.Mutex
		seeds []netip.AddrPort
	}

	// diskIdentity is kept in the data folder for as long as its disk lives.
	diskIdentity struct {
		Disk uint64 `json:"disk"`
	}
)

const (
	planName     = "plan"
	viewFile     = "view"
	diskFile     = "disk"
	epochPrefix  = "epoch-"
	departLimit  = 700 * time.Millisecond
	proposeLimit = 3 * time.Second
	// placeTick is the time between two looks at the calls that are held.
	placeTick = 5 * time.Millisecond

	// Bounds of the calls that this host decides for, over all entry hosts.
	placeHeld    = 4096
	placeOpen    = 100_000
	placeSlots   = 4
	placeConns   = 200
	placeWait    = 10 * time.Second
	placeBackoff = 100 * time.Millisecond
	// When another host takes over a service within a window of the retry
	// budget, both have their own calls and the whole slack: each spends half
	// of the slack, and leaves a tenth for calls that only the other counts.
	ratioShare = 0.9
	slackShare = 0.5
)

var (
	// ErrNotMember reports a control host that does not vote; one that does
	// must be asked.
	ErrNotMember = errors.New("control: this host does not vote")
	// errDeparture reports a departure that too few control hosts have taken.
	errDeparture = errors.New("control: no majority of control hosts has taken the departure")
)

func newFleet(h *Host) *fleet {
	f := &fleet{host: h, moves: make(chan feed.View, 16), seeds: h.cfg.Fleet.Seeds}
	f.places = place.NewServer(place.Config{
		Service: h.placeDocument(), ProbeInterval: h.cfg.Fleet.ProbeInterval.Std(), Tick: placeTick,
	}, func(service string) []member.Record { return f.board.Records(service) }, probe.HTTP(h.dialect), h.log, h.metrics)
	f.board = feed.NewBoard(feed.WithLogger(h.log), feed.WithMetrics(h.metrics),
		feed.OnTargets(f.places.SetTargets), feed.OnPlan(f.places.SetPlan))
	return f
}

// placeDocument returns the document of the services that this host decides
// for.
func (h *Host) placeDocument() spec.Service {
	doc := spec.Default()
	doc.Hold = spec.Hold{Length: placeHeld, LongestWait: strict.Duration(placeWait)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(placeBackoff), OpenCalls: placeOpen}
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	doc.Retry = spec.Retry{
		Attempts: spec.MaxAttempts, Window: h.cfg.Fleet.RetryWindow,
		BudgetPercent: int(h.cfg.Fleet.RetryRatio * 100 * ratioShare),
		Slack:         int(float64(h.cfg.Fleet.RetrySlack) * slackShare),
	}
	doc.Targets = spec.Targets{Slots: placeSlots, Connections: placeConns}
	return doc
}

// self returns the IP number of this host, by which the others know it.
func (f *fleet) self() netip.Addr {
	return f.host.cfg.PeerAddress.Addr()
}

// open reads the view from the data folder, or founds the first one when this
// host is a seed of a first start.
func (f *fleet) open() error {
	var (
		id   diskIdentity
		view feed.View
	)
	h := f.host
	if err := f.load(diskFile, &id); err != nil {
		return err
	}
	if id.Disk == 0 {
		id.Disk = rand.Uint64() | 1
		if err := h.folder.Save(diskFile, id); err != nil {
			return err
		}
	}
	f.disk = id.Disk
	if err := f.recall(); err != nil {
		return err
	}
	if err := f.load(viewFile, &view); err != nil {
		return err
	}
	if view.Epoch == 0 && h.cfg.Fleet.FirstStart {
		view = f.founding()
		if view.Epoch > 0 {
			if err := h.folder.Save(viewFile, view); err != nil {
				return err
			}
		}
	}
	h.log.Info("fleet opened", "disk", strconv.FormatUint(f.disk, 16), "epoch", view.Epoch, "members", view.Names(),
		"first_start", h.cfg.Fleet.FirstStart, "seeds", h.cfg.Fleet.Seeds)
	if view.Epoch > 0 {
		f.board.SetView(view)
	}
	return nil
}

// load reads a file of the data folder. One that is missing leaves v as it is;
// one that is damaged counts as missing, as the host then begins anew.
func (f *fleet) load(name string, v any) error {
	err := f.host.folder.Load(name, v)
	switch {
	case err == nil || errors.Is(err, fs.ErrNotExist):
		return nil
	case errors.Is(err, disk.ErrCorrupt):
		f.host.log.Error("corrupt file counts as lost and is set aside", "file", name, "error", err)
		return f.host.folder.SetAside(name)
	}
	return err
}

// founding returns the view of the seeds if this host is one, and otherwise
// the zero view.
func (f *fleet) founding() feed.View {
	view := feed.View{Epoch: 1}
	for _, seed := range f.host.cfg.Fleet.Seeds {
		if !view.Has(seed.Addr()) {
			view.Members = append(view.Members, feed.Member{Host: seed.Addr()})
		}
	}
	if !view.Has(f.self()) {
		return feed.View{}
	}
	sortMembers(view.Members)
	return view
}

// start serves the board, the calls and the front, and follows the other
// control hosts, until work ends.
func (f *fleet) start(stop, work context.Context, peers *grpc.Server) error {
	h := f.host
	peerpb.RegisterFleetServer(peers, feed.NewServer(stop, f.board, f.places.Serve))
	f.follower = feed.NewFollower(f.board, feed.Self{
		Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Peer: h.cfg.PeerAddress, Control: true, Disk: f.disk,
	}, f.seedList, h.peerTraffic())
	if view := f.board.View(); view.Epoch > 0 {
		if err := f.enter(work, view); err != nil {
			return err
		}
	}
	if h.front != nil {
		var (
			l   net.Listener
			err error
		)
		if l, err = net.Listen("tcp", h.cfg.Fleet.FrontAddress.String()); err != nil {
			return errors.Wrap(err, "control: front address")
		}
		f.front = drain.New(&http.Server{Handler: h.front(h), ReadHeaderTimeout: admin.HeaderTimeout})
		go func() { h.fail(f.front.Serve(l)) }()
	}
	go f.follower.Run(work)
	go f.places.Run(work)
	go f.watchViews(work)
	go f.remember(work)
	return nil
}

func (f *fleet) seedList() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seeds
}

// SetSeeds replaces the addresses that the host searches from. It has no
// effect on a host that is no part of a fleet.
func (h *Host) SetSeeds(seeds []netip.AddrPort) {
	if h.fleet == nil {
		return
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.seeds = seeds
}

// learn takes in newly chosen values of the present view. The caller holds the
// host's step mutex.
func (f *fleet) learn(values []quorum.Value) {
	for _, v := range values {
		if v.Name != planName {
			continue
		}
		f.publish(v)
		if len(v.Next) == 0 {
			continue
		}
		if next, err := nextView(f.present, v); err != nil {
			f.host.log.Error("next view not understood", "error", err)
		} else {
			f.moves <- next
		}
	}
}

// publish puts a chosen plan on the board.
func (f *fleet) publish(v quorum.Value) {
	if v.Version == 0 {
		return
	}
	var d plan.Document
	if err := json.Unmarshal(v.Body, &d); err != nil {
		f.host.log.Error("chosen plan not understood", "version", v.Version, "error", err)
		return
	}
	f.board.SetPlan(&d.Plan)
}

// nextView returns the view that follows one whose last value is v.
func nextView(present feed.View, v quorum.Value) (feed.View, error) {
	next := feed.View{Epoch: present.Epoch + 1, Initial: v}
	next.Initial.Next = nil
	for _, name := range v.Next {
		m, err := feed.ParseMember(name)
		if err != nil {
			return next, err
		}
		next.Members = append(next.Members, m)
	}
	return next, nil
}

// enter begins to vote in a view, or to follow it when this host is not a
// member. The view must be on disk.
func (f *fleet) enter(ctx context.Context, view feed.View) error {
	h := f.host
	if view.Initial.Revision > 0 {
		f.publish(view.Initial)
	}
	if !view.Has(f.self()) {
		h.log.Info("control host does not vote in this view", "epoch", view.Epoch)
		f.setNode(nil, nil, view)
		return nil
	}
	var (
		folder *disk.Folder
		saved  quorum.Saved
		node   *quorum.Node
		names  []string
		err    error
	)
	if folder, err = h.folder.Sub(epochPrefix + strconv.FormatUint(view.Epoch, 10)); err != nil {
		return err
	}
	for _, m := range view.Members {
		names = append(names, m.Host.String())
		if m.Host == f.self() || h.peer(m.Host.String()) != nil {
			continue
		}
		p := setup.Peer{Host: m.Host.String(), PeerAddress: netip.AddrPortFrom(m.Host, h.cfg.PeerAddress.Port())}
		if err = h.dialPeer(ctx, p); err != nil {
			return err
		}
	}
	if node, err = quorum.NewNode(f.self().String(), names, random(), quorum.WithEpoch(view.Epoch)); err != nil {
		return err
	}
	if saved, err = h.restore(folder); err != nil {
		return err
	}
	if saved, err = f.inherit(folder, view, saved); err != nil {
		return err
	}
	f.setNode(node, folder, view)
	h.log.Info("control host enters view", "epoch", view.Epoch, "members", view.Names(), "registers", len(saved.Registers))
	h.run(func(now time.Time) quorum.Output { return node.Start(now, saved) })
	h.step.Lock()
	defer h.step.Unlock()
	for _, l := range saved.Learnt {
		f.learn([]quorum.Value{l.Chosen})
	}
	return nil
}

// inherit gives a member that has not begun to vote in a view the view's first
// value. A member whose disk is not the one that the view names may have voted
// with another disk; it recovers from the others instead.
func (f *fleet) inherit(folder *disk.Folder, view feed.View, saved quorum.Saved) (quorum.Saved, error) {
	if saved.Identity != nil || saved.Damaged || view.Initial.Revision == 0 {
		return saved, nil
	}
	for _, m := range view.Members {
		if m.Host != f.self() || m.Disk != f.disk {
			continue
		}
		saved = quorum.Inherit(view.Initial, quorum.Incarnation{Number: 1, Nonce: f.disk})
		records := []quorum.Record{saved.Registers[0], saved.Learnt[0], *saved.Identity} // The identity ends the set.
		for _, r := range records {
			if err := folder.Save(fileName(r), r); err != nil {
				return saved, err
			}
		}
	}
	return saved, nil
}

// setNode replaces the node that votes; nil votes no longer. Whoever waits for
// the former one is told that the outcome is not known.
func (f *fleet) setNode(node *quorum.Node, folder *disk.Folder, view feed.View) {
	h := f.host
	h.step.Lock()
	defer h.step.Unlock()
	h.abandon(quorum.ErrNoMajority)
	f.closeVotes()
	h.node, h.votes, f.present, f.entered = node, folder, view, time.Now()
}

// close releases the folder of the present view.
func (f *fleet) close() {
	f.host.step.Lock()
	defer f.host.step.Unlock()
	f.closeVotes()
}

// closeVotes closes the folder of the present view. The caller holds the host's
// step mutex.
func (f *fleet) closeVotes() {
	h := f.host
	if h.votes == nil || h.votes == h.folder {
		return
	}
	if err := h.votes.Close(); err != nil {
		h.log.Error("folder of the view closed badly", "epoch", f.present.Epoch, "error", err)
	}
	h.votes = nil
}

// PutPlan puts a plan in force and returns once a majority holds it on disk,
// or a higher version. It returns ErrNotMember when this host does not vote
// and quorum.ErrNoMajority when the outcome is not known.
func (h *Host) PutPlan(ctx context.Context, d plan.Document) error {
	body, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "control: plan")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	begin := time.Now()
	c := quorum.Change{Name: planName, Version: d.Plan.Version, At: begin, Body: body}
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Apply(now, c) })
	h.log.Info("plan proposed", "version", d.Plan.Version, "epoch", h.fleet.board.View().Epoch,
		"held", r.Value.Version, "took", time.Since(begin).String(), "error", errorText(r.Err))
	return memberError(r.Err)
}

// ReadPlan returns the newest plan as a majority holds it, and false when
// there is none. It returns ErrNotMember when this host does not vote and
// quorum.ErrNoMajority when too few answer.
func (h *Host) ReadPlan(ctx context.Context) (plan.Document, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	var d plan.Document
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Read(now, planName) })
	switch {
	case r.Err != nil:
		return d, false, memberError(r.Err)
	case len(r.Value.Next) > 0:
		return d, false, quorum.ErrNoMajority // The next view may hold a newer one.
	case r.Value.Version == 0:
		return d, false, nil
	}
	if err := json.Unmarshal(r.Value.Body, &d); err != nil {
		return d, false, errors.Wrap(err, "control: plan")
	}
	return d, true, nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// memberError returns the error of a proposal as the front sees it.
func memberError(err error) error {
	var sealed *quorum.SealedError
	switch {
	case errors.Is(err, errNoVote):
		return ErrNotMember
	case errors.As(err, &sealed):
		return quorum.ErrNoMajority // The next view is about to begin.
	}
	return err
}

// Announce takes in what a target says of itself. A target that leaves is
// acknowledged, by a nil error, only once a majority of the voting hosts knows.
func (h *Host) Announce(ctx context.Context, t roster.Target) error {
	h.fleet.board.Hear(t, true)
	if t.State < member.Draining {
		return nil
	}
	return h.fleet.depart(ctx, t)
}

// Target returns what is known of a target.
func (h *Host) Target(id string) (roster.Target, bool) {
	return h.fleet.board.Target(id)
}

// depart tells all control hosts of a target that leaves.
func (f *fleet) depart(ctx context.Context, t roster.Target) error {
	ctx, cancel := context.WithTimeout(ctx, departLimit)
	defer cancel()
	view := f.board.View()
	request := feed.Departing(t, time.Now())
	answers := make(chan bool, len(view.Members))
	asked, taken := 0, 0
	for _, m := range view.Members {
		if m.Host == f.self() {
			taken++
			continue
		}
		asked++
		go func() { answers <- f.tellDeparture(ctx, m.Host, request) }()
	}
	for ; asked > 0 && taken < quorum.Majority(len(view.Members)); asked-- {
		if <-answers {
			taken++
		}
	}
	f.host.log.Info("departure taken", "target", t.ID, "state", t.State.String(), "hosts", taken, "epoch", view.Epoch)
	if len(view.Members) == 0 || taken < quorum.Majority(len(view.Members)) {
		return errDeparture
	}
	return nil
}

func (f *fleet) tellDeparture(ctx context.Context, host netip.Addr, request *peerpb.DepartRequest) bool {
	conn, err := peer.Dial(netip.AddrPortFrom(host, f.host.cfg.PeerAddress.Port()), peer.WithTraffic(f.host.peerTraffic()))
	if err == nil {
		defer conn.Close()
		_, err = peerpb.NewFleetClient(conn).Depart(ctx, request)
	}
	if err != nil {
		f.host.log.Debug("departure not told", "peer", host.String(), "error", err)
	}
	return err == nil
}

// Voters returns the addresses at which the fronts of the voting hosts serve,
// all but this one's.
func (h *Host) Voters() []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range h.fleet.board.View().Members {
		if m.Host != h.fleet.self() {
			list = append(list, netip.AddrPortFrom(m.Host, h.cfg.Fleet.FrontAddress.Port()))
		}
	}
	return list
}

// View returns the view of voting hosts that this host knows.
func (h *Host) View() feed.View {
	return h.fleet.board.View()
}
