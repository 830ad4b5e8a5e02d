package ctrl

import (
	"context"
	"io/fs"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/admin"
	"cardamomspool/io/disk"
	"cardamomspool/io/drain"
	"cardamomspool/io/feed"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/place"
	"cardamomspool/io/probe"
)

type (
	// fleet is the part of a control host that discovers the other control
	// hosts from seed addresses. The control hosts agree on one document, the
	// plan, in consecutive views (configurations of voting hosts): the last
	// value of a view is the first value of the next.
	fleet struct {
		host *Host
		// disk is this host's disk identity (see diskIdentity).
		disk      uint64
		state     *feed.State
		follower  *feed.Follower
		placement *place.Server
		// front serves operators and targets; nil without a handler for it.
		front *drain.Server
		// frontListener is that of front.
		frontListener net.Listener
		// nextViews queues the agreed views that this host has yet to enter,
		// newest last.
		nextViews chan feed.View
		// view is the view of the host's node; it is guarded by the host's
		// stepMu.
		view feed.View
		// enteredAt is when the host entered view; also guarded by stepMu.
		enteredAt time.Time
		seeds     *feed.Seeds
		saves     *targetSaves
		usage     *usageExchange // nil without quotas.
		// vote is what this host has accepted, on disk; see Confirm.
		vote atomic.Pointer[vote]
	}

	// diskIdentity is a random number that is stored in the data folder. It is
	// lost with the disk's content, so a wiped or replaced disk gets a new one.
	diskIdentity struct {
		Disk uint64 `json:"disk"`
	}
)

const (
	// Names of the documents in the data folder that hold the current view and the
	// diskIdentity.
	viewFile = "view"
	diskFile = "disk"
	// placementCheckInterval is the time between two checks of the queued calls.
	placementCheckInterval = 5 * time.Millisecond

	// Limits for each service whose calls this host places, over all entry
	// hosts: the total weight of its queued calls, its open calls, the calls
	// that a target runs at once, the connections to a target, and the time
	// that a call may be queued.
	placementMaxQueued   = 4096
	placementMaxOpen     = 100_000
	placementSlots       = 4
	placementConnections = 200
	placementMaxWait     = 10 * time.Second
	// placementRetryAfter is the minimum time after which the caller of a
	// refused call may retry.
	placementRetryAfter = 100 * time.Millisecond
	// The retry budget of a service allows, per time window, a ratio of the
	// calls plus a fixed number of retries, the slack, which the control hosts share
	// (rank.Share). A quarter of the ratio is left for calls that are counted here and
	// not by the users: those that two hosts count, since an entry host offers a call to
	// another one when a stream is lost, and those by which a platform tests which
	// configuration is in force, one in eight on a fleet of 130 entry hosts.
	retryRatioFactor = 0.75
	// extraWindow is the sliding window in which the limit of second attempts holds. It
	// is long enough for a service of a few calls a second to have one, and as long as
	// the windows in which users count repeated calls.
	extraWindow = 10 * time.Second
	// extrasLogOneIn is the share of refused second attempts that are logged: under
	// shortage most are refused.
	extrasLogOneIn = 64
)

// newFleet returns the fleet part of h. The caller sets h.fleet to it.
func newFleet(h *Host) *fleet {
	f := &fleet{host: h, nextViews: make(chan feed.View, 16), seeds: feed.NewSeeds(h.cfg.Fleet.Seeds), saves: newTargetSaves()}
	cfg := h.placement(func() []netip.AddrPort { return f.state.Controls() })
	if h.cfg.Fleet.QuotaWindow > 0 {
		f.usage = newUsageExchange(f)
		cfg.Quota = f.usage.ledger
	}
	if cfg.Cold.Overshoot > 0 || cfg.Cold.Slack > 0 {
		cfg.Cold.OnCold = f.noteCold
	}
	f.placement = place.NewServer(cfg, probe.HTTP(h.dialect), h.log, h.metrics)
	f.state = feed.NewState(feed.WithLogger(h.log), feed.WithMetrics(h.metrics),
		feed.OnTargets(f.placement.SetTargets), feed.OnPlan(f.setPlan))
	return f
}

// setPlan puts a plan in force. It is called by f.state.
func (f *fleet) setPlan(p *plan.Plan) {
	if f.usage != nil {
		f.usage.setPlan(p)
	}
	f.placement.SetPlan(p)
}

// placement returns the configuration of the part that decides for calls. controls
// returns the known control hosts.
func (h *Host) placement(controls func() []netip.AddrPort) place.Config {
	return place.Config{
		ServiceTemplate: h.placementDocument(), ProbeInterval: h.cfg.Fleet.ProbeInterval.Std(), HoldCheckInterval: placementCheckInterval,
		Self: h.cfg.PeerAddress, Controls: controls,
		Cold:          place.ColdConfig{Overshoot: h.cfg.Fleet.WarmOvershoot, Slack: h.cfg.Fleet.WarmSlack, Informed: func() bool { return h.fleet.state.Informed() }},
		ExtraAttempts: h.cfg.Fleet.ExtraAttempts, ExtraWindow: extraWindow, LogOneIn: extrasLogOneIn,
	}
}

// placementDocument returns the service document that applies to all services
// whose calls this host places.
func (h *Host) placementDocument() spec.Service {
	doc := spec.Default()
	doc.Hold = spec.Hold{Length: placementMaxQueued, LongestWait: strict.Duration(placementMaxWait)}
	doc.Refuse = spec.Refuse{RetryAfter: strict.Duration(placementRetryAfter), OpenCalls: placementMaxOpen}
	doc.Route = spec.Route{Policy: spec.PolicyFastest}
	doc.Retry = spec.Retry{
		Attempts: spec.MaxAttempts, Window: h.cfg.Fleet.RetryWindow,
		BudgetPercent: int(h.cfg.Fleet.RetryRatio * 100 * retryRatioFactor),
		Slack:         h.cfg.Fleet.RetrySlack,
	}
	doc.Targets = spec.Targets{Slots: placementSlots, Connections: placementConnections}
	return doc
}

// self returns the IP address that identifies this host to the others.
func (f *fleet) self() netip.Addr {
	return f.host.cfg.PeerAddress.Addr()
}

// open loads the disk identity, the targets and the view from the data folder.
// A host without a disk identity gets a new one. Without a stored view, a host
// that is a seed creates the first view if the settings say that the fleet
// starts for the first time.
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
	if err := f.loadTargets(); err != nil {
		return err
	}
	if err := f.load(viewFile, &view); err != nil {
		return err
	}
	if view.Epoch == 0 && h.cfg.Fleet.FirstStart {
		view = f.firstView()
		if view.Epoch > 0 {
			if err := h.folder.Save(viewFile, view); err != nil {
				return err
			}
		}
	}
	h.log.Info("fleet opened", "disk", strconv.FormatUint(f.disk, 16), "epoch", view.Epoch, "members", view.Names(),
		"first_start", h.cfg.Fleet.FirstStart, "seeds", h.cfg.Fleet.Seeds)
	if view.Epoch > 0 {
		f.state.SetView(view)
	}
	return nil
}

// load reads a file of the data folder into v. A missing file leaves v
// unchanged. A corrupt file is set aside and treated as missing: the host then
// starts afresh.
func (f *fleet) load(name string, v any) error {
	err := f.host.folder.Load(name, v)
	switch {
	case err == nil || errors.Is(err, fs.ErrNotExist):
		return nil
	case errors.Is(err, disk.ErrCorrupt):
		f.host.log.Error("corrupt file counts as lost and is set aside", "file", name, "error", err)
		return f.host.folder.Quarantine(name)
	}
	return err
}

// firstView returns the first view, whose members are the seeds, when this host
// is a seed, and otherwise the zero view.
func (f *fleet) firstView() feed.View {
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

// start serves the fleet state, the placement of calls and the front, and
// follows the other control hosts. The streams of calls end when stop ends, those of
// updates when following ends, and its goroutines when work ends; Host.stop ends the
// front. start returns an error when the view cannot be entered or the front address is not
// available.
func (f *fleet) start(stop, following, work context.Context, peers *grpc.Server) error {
	h := f.host
	server := feed.NewServer(following, f.state, f.placement.Serve)
	peerpb.RegisterFleetServer(peers, &fleetServer{Server: server, fleet: f, stop: stop})
	f.follower = feed.NewFollower(f.state, feed.Self{
		Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Peer: h.cfg.PeerAddress, Control: true, Disk: f.disk,
	}, f.seeds.List, h.peerTraffic())
	// The view is read before the follower starts, so that it is the one from
	// disk.
	view := f.state.View()
	if view.Epoch > 0 {
		if err := f.enter(work, view); err != nil {
			return err
		}
	}
	h.publishStatus() // Operators and targets must not be answered by an empty status.
	if h.front != nil {
		var err error
		if f.frontListener, err = net.Listen("tcp", h.cfg.Fleet.FrontAddress.String()); err != nil {
			return errors.Wrap(err, "control: front address")
		}
		f.front = drain.New(&http.Server{Handler: h.requests.wrap("front", h.front(h)), ReadHeaderTimeout: admin.ReadHeaderTimeout})
		go func() { h.fail(f.front.Serve(f.frontListener)) }()
	}
	go f.follower.Run(work)
	go f.placement.Run(stop)
	go f.watchViews(stop, work, view.Epoch)
	if f.usage != nil {
		go f.usage.run(work, server.EntryHosts)
	}
	go f.saveTargets(work)
	return nil
}

// SetSeeds replaces the addresses from which the host discovers other control
// hosts. It has no effect on a host that is not part of a fleet.
func (h *Host) SetSeeds(seeds []netip.AddrPort) {
	if h.fleet == nil {
		return
	}
	h.fleet.seeds.Set(seeds)
}

// applyChosen queues the next view when a newly chosen value ends the current one. The
// caller holds the host's stepMu.
func (f *fleet) applyChosen(values []quorum.Value) {
	for _, v := range values {
		if v.Name != planName || len(v.Next) == 0 {
			continue
		}
		if next, err := nextView(f.view, v); err != nil {
			f.host.log.Error("next view could not be parsed", "error", err)
		} else {
			f.nextViews <- next
		}
	}
}

// publishNewest publishes the plan with the highest revision among chosen values: it holds
// all that came before.
func (f *fleet) publishNewest(values []quorum.Value) {
	var newest quorum.Value
	for _, v := range values {
		if v.Name == planName && v.Revision > newest.Revision {
			newest = v
		}
	}
	if newest.Revision > 0 {
		f.publishPlan(newest)
	}
}

// publishPlan stores a chosen plan and the chosen orders to evacuate data centres in the
// fleet state. It ignores the plan of a value that holds none yet.
func (f *fleet) publishPlan(v quorum.Value) {
	f.publishOrders(v)
	if v.Version == 0 {
		return
	}
	d, err := plan.DecodeDocument(v.Body)
	if err != nil {
		f.host.log.Error("chosen plan could not be decoded", "version", v.Version, "error", err)
		return
	}
	f.state.SetPlan(&d.Plan)
}
