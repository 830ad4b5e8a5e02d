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
	// Member is a voting control host and the identity of its disk.
	Member struct {
		// Host is its IP address.
		Host netip.Addr `json:"host"`
		// Disk identifies its disk; a wiped or replaced disk gets a new
		// identity. It is 0 in the first view.
		Disk uint64 `json:"disk"`
	}

	// View is the set of control hosts that vote.
	View struct {
		// Epoch increases with every change of the view; 0 when no view is
		// known.
		Epoch uint64 `json:"epoch"`
		// Members are the hosts, sorted by address.
		Members []Member `json:"members"`
		// Initial is the value that the view starts with: the last value of
		// the previous view, or the zero value.
		Initial quorum.Value `json:"initial"`
	}

	// Control is what is known of a control host.
	Control struct {
		// Disk identifies its disk; 0 when unknown.
		Disk uint64
		// FirstSeen is when it was first seen, since the last gap that was
		// longer than maxControlGap.
		FirstSeen time.Time
		// LastSeen is when it was last seen.
		LastSeen time.Time
	}

	// Board is one host's copy of the fleet's state. Use NewBoard. It is safe
	// for concurrent use.
	Board struct {
		log     *slog.Logger
		metrics *telem.Set

		onTargets func(service string, records []member.Record)
		onPlan    func(p *plan.Plan)

		mu            sync.Mutex
		table         *roster.Table
		changeRecords map[string]changeRecord
		// changes is the log of changed targets, by ID, oldest first.
		// changesBase is the number of changes dropped from its start.
		// changeRecords holds the number of each target's last change.
		changes     []string
		changesBase uint64
		plan        *plan.Plan
		planJSON    []byte
		view        View
		controls    map[netip.AddrPort]Control
		current     bool
		changed     chan struct{}
	}

	// changeRecord holds the number of a target's last change and whether this
	// host relays the target to its followers.
	changeRecord struct {
		change  uint64
		relayed bool
	}

	// Option sets one property of a Board.
	Option func(*Board)
)

const (
	// controlExpiry is how long after its last sighting a control host is
	// forgotten.
	controlExpiry = 30 * time.Second
	// maxControlGap is how long a control host may be unseen and still count
	// as continuously seen: a few heartbeats of its stream.
	maxControlGap = 2 * time.Second
	// maxChanges is the maximum length of the log of changes. A stream that is
	// further behind gets all targets.
	maxChanges = 8192
)

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(b *Board) { b.log = log }
}

// WithMetrics sets the metrics that count the changes of targets.
func WithMetrics(s *telem.Set) Option {
	return func(b *Board) { b.metrics = s }
}

// OnTargets sets a callback for the targets of a service, called whenever they
// change. Calls do not overlap. The callback must not call methods of the Board.
func OnTargets(f func(service string, records []member.Record)) Option {
	return func(b *Board) { b.onTargets = f }
}

// OnPlan sets a callback for new plans. Calls do not overlap. The callback must
// not call methods of the Board.
func OnPlan(f func(p *plan.Plan)) Option {
	return func(b *Board) { b.onPlan = f }
}

// Names returns the members in the form of Member.String.
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

// String returns the member as its IP address, a slash and its disk identity in
// hexadecimal.
func (m Member) String() string {
	return m.Host.String() + "/" + strconv.FormatUint(m.Disk, 16)
}

// ParseMember parses the form that Member.String returns. It fails when the
// address or the disk identity is malformed.
func ParseMember(s string) (Member, error) {
	host, disk, _ := strings.Cut(s, "/")
	var (
		m   Member
		err error
	)
	if m.Host, err = netip.ParseAddr(host); err != nil {
		return m, errors.Wrapf(err, "feed: member %q", s)
	}
	if m.Disk, err = strconv.ParseUint(disk, 16, 64); err != nil {
		return m, errors.Wrapf(err, "feed: member %q", s)
	}
	return m, nil
}

// NewBoard returns a Board that holds nothing yet.
func NewBoard(opts ...Option) *Board {
	b := &Board{
		log: slog.New(slog.DiscardHandler), metrics: telem.NewSet(), table: roster.NewTable(),
		onTargets: func(string, []member.Record) {}, onPlan: func(*plan.Plan) {},
		changeRecords: make(map[string]changeRecord), controls: make(map[netip.AddrPort]Control), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// UpdateTargets applies new states of targets. With relay set, they are streamed
// to this host's followers.
func (b *Board) UpdateTargets(relay bool, targets ...roster.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := make(map[string]bool)
	for _, t := range targets {
		if b.updateTarget(t, relay) {
			changed[t.Service] = true
		}
	}
	for service := range changed {
		b.onTargets(service, b.table.Service(nil, service))
	}
	if len(changed) > 0 {
		b.notify()
	}
}

// updateTarget applies the state of one target and reports whether that changed
// anything but its lease. The caller holds mu.
func (b *Board) updateTarget(t roster.Target, relay bool) bool {
	if !b.table.Merge(t) {
		if r := b.changeRecords[t.ID]; relay && !r.relayed {
			b.recordChange(t.ID, true)
		}
		return false
	}
	b.recordChange(t.ID, relay)
	b.metrics.Count("target_changes").Add(1)
	b.log.Info("target changed", "target", t.ID, "service", t.Service, "address", t.Address.String(),
		"state", t.State.String(), "born", t.Born.UnixMilli(), "sequence", t.Sequence, "heard_here", relay)
	return true
}

// renewLease records that a target's heartbeat was received at heardAt. It has no
// effect when sequence is older than the known number, or when the target is
// leaving or unknown.
func (b *Board) renewLease(id string, sequence uint64, heardAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t, ok := b.table.Get(id); ok && t.State < member.Leaving && sequence >= t.Sequence {
		t.Sequence, t.Heard = sequence, heardAt
		b.table.Merge(t)
	}
}

// recordChange appends a target to the log of changes. The caller holds mu.
func (b *Board) recordChange(id string, relay bool) {
	if len(b.changes) >= maxChanges {
		b.changesBase += uint64(len(b.changes) / 2)
		b.changes = slices.Clone(b.changes[len(b.changes)/2:])
	}
	b.changes = append(b.changes, id)
	b.changeRecords[id] = changeRecord{change: b.lastChange(), relayed: relay}
}

// lastChange returns the number of the last change. The caller holds mu.
func (b *Board) lastChange() uint64 {
	return b.changesBase + uint64(len(b.changes))
}

// changedSince calls f with each relayed target that has changed after the given
// change number. The caller holds mu.
func (b *Board) changedSince(change uint64, f func(roster.Target)) {
	if change < b.changesBase {
		for id := range b.changeRecords {
			b.visitRelayed(id, f)
		}
		return
	}
	for i, id := range b.changes[change-b.changesBase:] {
		if b.changeRecords[id].change == change+uint64(i)+1 { // The target has not changed again since.
			b.visitRelayed(id, f)
		}
	}
}

// visitRelayed calls f with the target called id if it is relayed. The caller
// holds mu.
func (b *Board) visitRelayed(id string, f func(roster.Target)) {
	if t, ok := b.table.Get(id); ok && b.changeRecords[id].relayed {
		f(t)
	}
}

// summary returns the digests of all targets, the plan's version and the view's
// epoch, by which a control host skips what this host already holds.
func (b *Board) summary() (digests []uint64, version, epoch uint64) {
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

// Target returns the known state of the target called id, and false when it is
// unknown.
func (b *Board) Target(id string) (roster.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Get(id)
}

// Targets returns all known targets.
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

// Expire removes targets whose leases have expired and control hosts that were
// not seen for controlExpiry.
func (b *Board) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, service := range b.table.Expire(nil, now) {
		b.log.Info("targets expired", "service", service, "lease", roster.Lease.String())
		b.onTargets(service, b.table.Service(nil, service))
	}
	for id := range b.changeRecords {
		if _, ok := b.table.Get(id); !ok {
			delete(b.changeRecords, id)
		}
	}
	for address, c := range b.controls {
		if now.Sub(c.LastSeen) > controlExpiry {
			delete(b.controls, address)
		}
	}
}

// SetPlan puts a plan in force if its version is higher than the current plan's,
// and reports whether it did.
func (b *Board) SetPlan(p *plan.Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan != nil && p.Version <= b.plan.Version {
		return false
	}
	text, err := json.Marshal(p)
	if err != nil {
		b.log.Error("plan could not be encoded", "version", p.Version, "error", err)
		return false
	}
	b.plan, b.planJSON = p, text
	b.log.Info("plan in force", "version", p.Version, "routes", len(p.Routes), "services", len(p.Services))
	b.onPlan(p)
	b.notify()
	return true
}

// Plan returns the plan in force, or nil. The caller must not modify it.
func (b *Board) Plan() *plan.Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.plan
}

// SetView stores a view if its epoch is higher than the current view's, and
// reports whether it did.
func (b *Board) SetView(v View) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.Epoch <= b.view.Epoch {
		return false
	}
	b.view = v
	b.log.Info("new view of control hosts", "epoch", v.Epoch, "members", v.Names())
	b.notify()
	return true
}

// View returns the newest known view.
func (b *Board) View() View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// ObserveControl records that a control host was seen at address. diskID is the
// identity of its disk, or 0 when unknown.
func (b *Board) ObserveControl(address netip.AddrPort, diskID uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, known := b.controls[address]
	if !known || now.Sub(c.LastSeen) > maxControlGap {
		c.FirstSeen = now
	}
	c.LastSeen = now
	if diskID != 0 {
		c.Disk = diskID
	}
	b.controls[address] = c
	if !known {
		b.log.Info("control host found", "address", address.String())
		b.notify()
	}
}

// Control returns what is known of the control host at address, or the zero
// value.
func (b *Board) Control(address netip.AddrPort) Control {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.controls[address]
}

// Controls returns the sorted addresses of the control hosts that have not
// expired.
func (b *Board) Controls() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sortedControls()
}

// sortedControls implements Controls. The caller holds mu.
func (b *Board) sortedControls() []netip.AddrPort {
	var list []netip.AddrPort
	for address := range b.controls {
		list = append(list, address)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// SetCurrent records whether a majority has recently confirmed that this host's
// state is up to date.
func (b *Board) SetCurrent(current bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != current {
		b.current = current
		b.notify()
	}
}

// notify wakes all streams that wait for a change. The caller holds mu.
func (b *Board) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}
