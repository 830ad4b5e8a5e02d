package feed

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
	"cardamomspool/core/roster"
	"cardamomspool/io/telem"
)

type (
	// Member is a control host with the life of its disk.
	Member struct {
		// Host is its IP number.
		Host netip.Addr `json:"host"`
		// Disk identifies the life of its disk; 0 in the first view.
		Disk uint64 `json:"disk"`
	}

	// View is the set of control hosts that vote.
	View struct {
		// Epoch grows with every change of the view; 0 when none is known.
		Epoch uint64 `json:"epoch"`
		// Members are the hosts, in order.
		Members []Member `json:"members"`
		// Initial is the value that the view begins with: the last one of the
		// view before, or the zero value.
		Initial quorum.Value `json:"initial"`
	}

	// Control is a control host that was seen.
	Control struct {
		// Disk identifies the life of its disk; 0 when not known.
		Disk uint64
		// Since is when it was first seen without a longer break.
		Since time.Time
		// Seen is when it was last seen.
		Seen time.Time
	}

	// Board holds what one host knows of the system. Use NewBoard. It may be
	// used by many goroutines.
	Board struct {
		log     *slog.Logger
		metrics *telem.Set

		onTargets func(service string, records []member.Record)
		onPlan    func(p *plan.Plan)

		mu    sync.Mutex
		table *roster.Table
		marks map[string]mark
		// changes lists the targets that changed, in order, from number first
		// on; each mark holds the number of its target's last change.
		changes  []string
		first    uint64
		plan     *plan.Plan
		planText []byte
		view     View
		controls map[netip.AddrPort]Control
		current  bool
		changed  chan struct{}
	}

	// mark says when a target last changed and whether it is spread from here.
	mark struct {
		order  uint64
		spread bool
	}

	// Option sets one property of a Board.
	Option func(*Board)
)

const (
	// controlMemory is how long a control host that nobody hears is
	// remembered.
	controlMemory = 30 * time.Second
	// controlBreak is how long a control host may be unseen and still count
	// as seen all the while: a few heartbeats of its stream.
	controlBreak = 2 * time.Second
	// maxChanges bounds the list of changes; a stream that is further behind
	// gets all targets.
	maxChanges = 8192
)

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(b *Board) { b.log = log }
}

// WithMetrics sets the metrics that the board counts in.
func WithMetrics(s *telem.Set) Option {
	return func(b *Board) { b.metrics = s }
}

// OnTargets sets a function that is called, one call at a time, with the
// targets of a service whenever they change. It must not call the board.
func OnTargets(f func(service string, records []member.Record)) Option {
	return func(b *Board) { b.onTargets = f }
}

// OnPlan sets a function that is called, one call at a time, with every new
// plan. It must not call the board.
func OnPlan(f func(p *plan.Plan)) Option {
	return func(b *Board) { b.onPlan = f }
}

// Names returns the members as text: IP number, slash, disk.
func (v *View) Names() []string {
	names := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		names = append(names, m.String())
	}
	return names
}

// Has reports whether host is a member.
func (v *View) Has(host netip.Addr) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.Host == host })
}

// String returns the member as IP number, slash, disk.
func (m Member) String() string {
	return m.Host.String() + "/" + strconv.FormatUint(m.Disk, 16)
}

// ParseMember reads what Member.String writes.
func ParseMember(s string) (Member, error) {
	host, disk, _ := strings.Cut(s, "/")
	var (
		m   Member
		err error
	)
	if m.Host, err = netip.ParseAddr(host); err != nil {
		return m, errors.Wrap(err, "feed: member")
	}
	if m.Disk, err = strconv.ParseUint(disk, 16, 64); err != nil {
		return m, errors.Wrap(err, "feed: member")
	}
	return m, nil
}

// NewBoard returns an empty board.
func NewBoard(opts ...Option) *Board {
	b := &Board{
		log: slog.New(slog.DiscardHandler), metrics: telem.NewSet(), table: roster.NewTable(),
		onTargets: func(string, []member.Record) {}, onPlan: func(*plan.Plan) {},
		marks: make(map[string]mark), controls: make(map[netip.AddrPort]Control), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Hear takes in what targets have said. With spread set, followers of this
// board are told.
func (b *Board) Hear(spread bool, targets ...roster.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := make(map[string]bool)
	for _, t := range targets {
		if b.hear(t, spread) {
			changed[t.Service] = true
		}
	}
	for service := range changed {
		b.onTargets(service, b.table.Service(nil, service))
	}
	if len(changed) > 0 {
		b.wake()
	}
}

// hear takes in what one target has said and reports whether that changes
// anything. The caller holds mu.
func (b *Board) hear(t roster.Target, spread bool) bool {
	if !b.table.Hear(t) {
		if m := b.marks[t.ID]; spread && !m.spread {
			b.note(t.ID, true)
		}
		return false
	}
	b.note(t.ID, spread)
	b.metrics.Count("target_changes").Add(1)
	b.log.Info("target changed", "target", t.ID, "service", t.Service, "address", t.Address.String(),
		"state", t.State.String(), "born", t.Born.UnixMilli(), "sequence", t.Sequence, "heard_here", spread)
	return true
}

// hearAgain notes that a target was heard at the given time, with a sequence
// number that is not older than the known one.
func (b *Board) hearAgain(id string, sequence uint64, heard time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t, ok := b.table.Get(id); ok && t.State < member.Leaving && sequence >= t.Sequence {
		t.Sequence, t.Heard = sequence, heard
		b.table.Hear(t)
	}
}

// note adds a target to the list of changes. The caller holds mu.
func (b *Board) note(id string, spread bool) {
	if len(b.changes) >= maxChanges {
		b.first += uint64(len(b.changes) / 2)
		b.changes = slices.Clone(b.changes[len(b.changes)/2:])
	}
	b.changes = append(b.changes, id)
	b.marks[id] = mark{order: b.order(), spread: spread}
}

// order returns the number of the last change. The caller holds mu.
func (b *Board) order() uint64 {
	return b.first + uint64(len(b.changes))
}

// since calls f with each target that is spread and has changed after change
// number order. The caller holds mu.
func (b *Board) since(order uint64, f func(roster.Target)) {
	if order < b.first {
		for id := range b.marks {
			b.visit(id, f)
		}
		return
	}
	for i, id := range b.changes[order-b.first:] {
		if b.marks[id].order == order+uint64(i)+1 { // Its last change.
			b.visit(id, f)
		}
	}
}

func (b *Board) visit(id string, f func(roster.Target)) {
	if t, ok := b.table.Get(id); ok && b.marks[id].spread {
		f(t)
	}
}

// known returns digests of all targets, and the plan's version and the view's
// epoch.
func (b *Board) known() (digests []uint64, version, epoch uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.table.All(nil) {
		digests = append(digests, digest(t))
	}
	if b.plan != nil {
		version = b.plan.Version
	}
	return digests, version, b.view.Epoch
}

// Target returns what is known of the target called id.
func (b *Board) Target(id string) (roster.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Get(id)
}

// Targets returns all targets that are known.
func (b *Board) Targets() []roster.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.All(nil)
}

// Records returns the targets of a service.
func (b *Board) Records(service string) []member.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Service(nil, service)
}

// Expire forgets targets and control hosts that were not heard for long.
func (b *Board) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, service := range b.table.Expire(nil, now) {
		b.log.Info("targets expired", "service", service, "lease", roster.Lease.String())
		b.onTargets(service, b.table.Service(nil, service))
	}
	for id := range b.marks {
		if _, ok := b.table.Get(id); !ok {
			delete(b.marks, id)
		}
	}
	for address, c := range b.controls {
		if now.Sub(c.Seen) > controlMemory {
			delete(b.controls, address)
		}
	}
}

// SetPlan puts a plan in force that is higher than the one held, and reports
// whether it is.
func (b *Board) SetPlan(p *plan.Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan != nil && p.Version <= b.plan.Version {
		return false
	}
	text, err := json.Marshal(p)
	if err != nil {
		b.log.Error("plan not put in force", "version", p.Version, "error", err)
		return false
	}
	b.plan, b.planText = p, text
	b.log.Info("plan in force", "version", p.Version, "routes", len(p.Routes), "services", len(p.Services))
	b.onPlan(p)
	b.wake()
	return true
}

// Plan returns the plan in force, or nil. It must not be changed.
func (b *Board) Plan() *plan.Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.plan
}

// SetView notes the voting hosts unless a newer view is known, and reports
// whether that changed anything.
func (b *Board) SetView(v View) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.Epoch <= b.view.Epoch {
		return false
	}
	b.view = v
	b.log.Info("view of control hosts", "epoch", v.Epoch, "members", v.Names())
	b.wake()
	return true
}

// View returns the voting hosts.
func (b *Board) View() View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// SeeControl notes that there is a control host at address, which has a disk
// with the given identity, or 0 when that is not known.
func (b *Board) SeeControl(address netip.AddrPort, diskID uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, known := b.controls[address]
	if !known || now.Sub(c.Seen) > controlBreak {
		c.Since = now
	}
	c.Seen = now
	if diskID != 0 {
		c.Disk = diskID
	}
	b.controls[address] = c
	if !known {
		b.log.Info("control host found", "address", address.String())
		b.wake()
	}
}

// Control returns what is known of the control host at address.
func (b *Board) Control(address netip.AddrPort) Control {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.controls[address]
}

// Controls returns the control hosts that were seen lately.
func (b *Board) Controls() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.controlList()
}

func (b *Board) controlList() []netip.AddrPort {
	var list []netip.AddrPort
	for address := range b.controls {
		list = append(list, address)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// SetCurrent notes whether a majority has lately confirmed what this board
// holds.
func (b *Board) SetCurrent(current bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != current {
		b.current = current
		b.wake()
	}
}

// wake tells everybody who waits for a change. The caller holds mu.
func (b *Board) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}
