package feed

import (
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/crash"
	"cardamomspool/core/member"
	"cardamomspool/core/pace"
	"cardamomspool/core/quorum"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer/peerpb"
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

	// State is one host's copy of the fleet's state. Use NewState. It is safe
	// for concurrent use.
	State struct {
		log     *slog.Logger
		metrics *telem.Registry

		onTargets func(service string, records []member.Record)

		mu    sync.Mutex
		table *roster.Table
		// stale holds the services whose targets have changed since onTargets was last
		// called for them. deliverTimer, if not nil, will call it; deliveredAt is when
		// it was last called.
		stale        map[string]bool
		deliverTimer *time.Timer
		deliveredAt  time.Time
		// The changes of all targets are numbered from 1, in their order.
		// changes holds the ID of the changed target for each change, oldest
		// first. changesBase is how many of the oldest changes were dropped from
		// it. changeRecords holds a record for each known target, by ID.
		changeRecords map[string]changeRecord
		changes       []string
		changesBase   uint64
		// renewed is the last result of renewals, made at renewedAt.
		renewed   []*peerpb.TargetHeard
		renewedAt time.Time
		accounts  accounts
		crashes   *crash.Table // The calls that were at targets as these ended.
		// lastExpiry is the time of the last call of Expire, and keepUntil the time
		// before which no lease expires.
		lastExpiry, keepUntil time.Time

		// The following are not guarded by mu.
		waker       *waker
		evacuations evacuations
		plans       plans
		views       views
		controls    controls
		condition   condition
	}

	// changeRecord holds the number of the last change of a target, as in
	// State.changes, and whether this host relays the target to its followers.
	changeRecord struct {
		change  uint64
		relayed bool
		// from is the control host that has sent the last change; invalid if this host
		// has heard it from the target, or is no longer connected to that control host.
		from netip.AddrPort
		// heardAt is when this host last heard the target itself.
		heardAt time.Time
	}

	// Option sets one property of a State.
	Option func(*State)
)

const (
	// maxChanges is the maximum length of State.changes. A stream that lacks an
	// older change is sent all targets.
	maxChanges = 8192
	// maxExpiryGap is the time between two calls of Expire above which the process
	// must have been stalled.
	maxExpiryGap = 2 * expirePeriod
)

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(s *State) { s.log = log }
}

// WithMetrics sets the metrics that count the changes of targets.
func WithMetrics(metrics *telem.Registry) Option {
	return func(s *State) { s.metrics = metrics }
}

// OnTargets sets a callback that is called with all targets of a service whenever
// one of them changes or expires: at once when a target departs or expires or when there
// was no change lately, otherwise after the time that pace.Rebuild allows. Calls do not
// overlap. The callback must not call methods of the State.
func OnTargets(f func(service string, records []member.Record)) Option {
	return func(s *State) { s.onTargets = f }
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

// NewState returns a State that holds nothing yet.
func NewState(opts ...Option) *State {
	s := &State{
		log: slog.New(slog.DiscardHandler), metrics: telem.NewRegistry(), table: roster.NewTable(),
		onTargets: func(string, []member.Record) {},
		crashes:   crash.NewTable(),
		stale:     make(map[string]bool), changeRecords: make(map[string]changeRecord), controls: controls{hosts: make(map[netip.AddrPort]Control)}, waker: newWaker(),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// UpdateTargets applies new states of targets. If relay is true, this host has heard them
// itself, and they are streamed to its followers.
func (s *State) UpdateTargets(relay bool, targets ...roster.Target) {
	s.updateTargets(relay, netip.AddrPort{}, targets)
}

// updateTargets is UpdateTargets; from is the control host that has sent the states, and
// invalid for none.
func (s *State) updateTargets(relay bool, from netip.AddrPort, targets []roster.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, leaving := false, false
	for _, t := range targets {
		if s.updateTarget(t, relay, from) {
			s.stale[t.Service] = true
			changed = true
			leaving = leaving || t.State > member.Ready
		}
	}
	switch {
	case leaving:
		s.deliver()
		s.waker.notifyUrgent()
	case changed:
		s.deliverSoon(time.Now())
		s.waker.notify()
	}
}

// deliverSoon calls deliver, now or as soon as pace.Rebuild allows. The caller holds mu.
func (s *State) deliverSoon(now time.Time) {
	if s.deliverTimer != nil {
		return
	}
	wait := s.deliveredAt.Add(pace.Rebuild(s.table.Len())).Sub(now)
	if wait <= 0 {
		s.deliver()
		return
	}
	s.deliverTimer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.deliver()
	})
}

// deliver calls onTargets for the services whose targets have changed. The caller holds
// mu.
func (s *State) deliver() {
	if s.deliverTimer != nil {
		s.deliverTimer.Stop()
		s.deliverTimer = nil
	}
	s.deliveredAt = time.Now()
	for service := range s.stale {
		s.onTargets(service, s.records(service))
	}
	clear(s.stale)
}

// updateTarget applies the state of one target and reports whether that changed
// anything but its lease. The caller holds mu.
func (s *State) updateTarget(t roster.Target, relay bool, from netip.AddrPort) bool {
	if !s.table.Merge(t) {
		if relay {
			s.recordHeard(t.ID)
		}
		return false
	}
	s.recordChange(t.ID, relay, from)
	s.metrics.Counter("target_changes").Add(1)
	s.log.Info("target changed", "target", t.ID, "service", t.Service, "address", t.Address.String(),
		"state", t.State.String(), "born", t.Born.UnixMilli(), "sequence", t.Sequence, "heard_here", relay)
	return true
}

// renewLeases records that heartbeats of targets were received elsewhere, at now less
// their ages. Targets whose leases have expired here come back; see roster.Table.Renew.
func (s *State) renewLeases(renewals []*peerpb.TargetHeard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	returned := make(map[string]int)
	for _, m := range renewals {
		if !s.table.Renew(m.GetId(), m.GetSequence(), now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond), now) {
			continue
		}
		s.recordChange(m.GetId(), false, netip.AddrPort{})
		t, _ := s.table.Get(m.GetId())
		returned[t.Service]++
	}
	for service, n := range returned {
		s.log.Info("expired targets returned", "service", service, "targets", n)
		s.stale[service] = true
	}
	if len(returned) > 0 {
		s.deliver()
		s.waker.notify()
	}
}

// recordChange appends a target to changes, dropping the older half of a list that
// is full, and updates its change record. The caller holds mu.
func (s *State) recordChange(id string, relay bool, from netip.AddrPort) {
	if len(s.changes) >= maxChanges {
		s.changesBase += uint64(len(s.changes) / 2)
		s.changes = slices.Clone(s.changes[len(s.changes)/2:])
	}
	s.changes = append(s.changes, id)
	r := changeRecord{change: s.lastChange(), relayed: relay, from: from}
	if relay {
		r.heardAt = time.Now()
	}
	s.changeRecords[id] = r
}

// recordHeard records that this host has heard a target whose state it knows. A target
// that another control host has sent and still relays is not relayed once more: under
// load targets change from one control host to the next, and each change would be sent to
// all hosts. Its lease is renewed from here. The caller holds mu.
func (s *State) recordHeard(id string) {
	r := s.changeRecords[id]
	if !r.relayed && !r.from.IsValid() {
		s.recordChange(id, true, netip.AddrPort{})
		return
	}
	r.heardAt = time.Now()
	s.changeRecords[id] = r
}

// forgetRelay records that the control host at address can no longer be counted on to
// relay the targets that it has sent. This host relays those that it hears from then on.
func (s *State) forgetRelay(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.changeRecords {
		if r.from == address {
			r.from = netip.AddrPort{}
			s.changeRecords[id] = r
		}
	}
}

// lastChange returns the number of the last change of any target. The caller holds mu.
func (s *State) lastChange() uint64 {
	return s.changesBase + uint64(len(s.changes))
}

// changedSince calls f with each relayed target that has changed after the given
// change number. The caller holds mu.
func (s *State) changedSince(change uint64, f func(roster.Target)) {
	if change < s.changesBase {
		for id := range s.changeRecords {
			s.visitRelayed(id, f)
		}
		return
	}
	for i, id := range s.changes[change-s.changesBase:] {
		if s.changeRecords[id].change == change+uint64(i)+1 { // The target has not changed again since.
			s.visitRelayed(id, f)
		}
	}
}

// visitRelayed calls f with the target called id if it is relayed. The caller
// holds mu.
func (s *State) visitRelayed(id string, f func(roster.Target)) {
	if t, ok := s.table.Get(id); ok && s.changeRecords[id].relayed {
		f(t)
	}
}

// summary returns the digests of all targets, the plan's version and the view's
// epoch. It is sent to control hosts, so that they don't send what this host
// already holds.
func (s *State) summary() (digests []uint64, version, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.table.All(nil) {
		digests = append(digests, digest(t))
	}
	return digests, s.planVersion(), s.View().Epoch
}

// Target returns the known state of the target called id, and false when it is
// unknown.
func (s *State) Target(id string) (roster.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(id)
}

// Replaced reports whether a target that was started later than the given incarnation of
// another, or of the same one, is known at address. It returns false for incarnation 0,
// which stands for an unknown one.
func (s *State) Replaced(incarnation uint64, address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.table.All(nil), func(t roster.Target) bool {
		return t.Address == address && incarnation > 0 && t.Incarnation() > incarnation
	})
}

// Targets returns all known targets.
func (s *State) Targets() []roster.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.All(nil)
}

// Records returns the targets of a service that are not in evacuated data centres.
func (s *State) Records(service string) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records(service)
}

// Expire removes the targets whose leases have expired at now, and the control
// hosts that have not been seen for longer than controlExpiry. It must be called every
// expirePeriod: a longer gap means that this process was stalled and could not hear
// the targets, so that they are kept for another lease.
func (s *State) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now.Sub(s.lastExpiry); !s.lastExpiry.IsZero() && gap > maxExpiryGap {
		s.keepUntil = now.Add(roster.Lease)
		s.log.Warn("process was stalled, targets are kept", "stall", gap.String(), "lease", roster.Lease.String())
	}
	s.lastExpiry = now
	s.crashes.Expire(now)
	if !now.Before(s.keepUntil) {
		for _, service := range s.table.Expire(nil, now) {
			s.log.Info("targets expired", "service", service, "lease", roster.Lease.String())
			s.stale[service] = true
		}
		if len(s.stale) > 0 {
			s.deliver()
		}
	}
	for id := range s.changeRecords {
		if _, ok := s.table.Get(id); !ok {
			delete(s.changeRecords, id)
		}
	}
	s.controls.expire(now)
}
