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
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/member"
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
		seeds   *feed.Seeds
	}

	// diskIdentity is kept in the data folder for as long as its disk lives.
	diskIdentity struct {
		Disk uint64 `json:"disk"`
	}
)

const (
	viewFile = "view"
	diskFile = "disk"
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

func newFleet(h *Host) *fleet {
	f := &fleet{host: h, moves: make(chan feed.View, 16), seeds: feed.NewSeeds(h.cfg.Fleet.Seeds)}
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
	}, f.seeds.List, h.peerTraffic())
	// Taken before anything is heard of others.
	view := f.board.View()
	if view.Epoch > 0 {
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
	go f.watchViews(work, view.Epoch)
	go f.remember(work)
	return nil
}

// SetSeeds replaces the addresses that the host searches from. It has no
// effect on a host that is no part of a fleet.
func (h *Host) SetSeeds(seeds []netip.AddrPort) {
	if h.fleet == nil {
		return
	}
	h.fleet.seeds.Set(seeds)
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
