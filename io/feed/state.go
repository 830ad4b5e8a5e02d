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
	//
	// It consists of tables, each with its own lock. No table calls another one: the methods
	// of State call them one after the other, and after a change the waker. Where locks are
	// held at the same time, they are taken in this order:
	//
	//  1. merging;
	//  2. that of deliveries, during the callback of OnTargets;
	//  3. that of one table; those of plans and accounts are held during their callbacks.
	//
	// That of firstLists is taken before those of targets and changes.
	//
	// A stream holds the lock of one table at a time, or that of firstLists and one more. It
	// asks the waker before it reads, and condition before the other tables, so that what it
	// says of this host holds for them.
	State struct {
		log     *slog.Logger
		metrics *telem.Registry

		onTargets func(service string, records []member.Record)

		// merging is held during changes of targets, so that they are in changes in the
		// order in which they were made.
		merging    sync.Mutex
		deliveries *deliveries

		targets     *targets
		changes     *changes
		firstLists  firstLists
		crashes     *crash.Table // The calls that were at targets as these ended.
		evacuations evacuations
		plans       plans
		views       views
		controls    controls
		condition   condition
		accounts    accounts
		waker       *waker
	}

	// Option sets one property of a State.
	Option func(*State)
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
		log: slog.New(slog.DiscardHandler), metrics: telem.NewRegistry(), targets: newTargets(), changes: newChanges(),
		onTargets: func(string, []member.Record) {},
		crashes:   crash.NewTable(), controls: controls{hosts: make(map[netip.AddrPort]Control)}, waker: newWaker(),
	}
	s.deliveries = newDeliveries(func(service string) { s.onTargets(service, s.Records(service)) })
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
	s.merging.Lock()
	defer s.merging.Unlock()
	changed, leaving := false, false
	for _, t := range targets {
		if s.updateTarget(t, relay, from) {
			s.deliveries.mark(t.Service)
			changed = true
			leaving = leaving || t.State > member.Ready
		}
	}
	switch {
	case leaving:
		s.deliveries.run()
		s.waker.notifyUrgent()
	case changed:
		s.deliveries.runSoon(time.Now(), pace.Rebuild(s.targets.len()))
		s.waker.notify()
	}
}

// updateTarget applies the state of one target and reports whether that changed
// anything but its lease. The caller holds merging.
func (s *State) updateTarget(t roster.Target, relay bool, from netip.AddrPort) bool {
	if !s.targets.merge(t) {
		if relay {
			s.changes.recordHeard(t.ID)
		}
		return false
	}
	s.changes.record(t.ID, relay, from)
	s.metrics.Counter("target_changes").Add(1)
	s.log.Info("target changed", "target", t.ID, "service", t.Service, "address", t.Address.String(),
		"state", t.State.String(), "born", t.Born.UnixMilli(), "sequence", t.Sequence, "heard_here", relay)
	return true
}

// renewLeases records that heartbeats of targets were received elsewhere, at now less
// their ages. Targets whose leases have expired here come back; see roster.Table.Renew.
func (s *State) renewLeases(renewals []*peerpb.TargetHeard, now time.Time) {
	s.merging.Lock()
	defer s.merging.Unlock()
	returned := make(map[string]int)
	for _, m := range renewals {
		t, ok := s.targets.renewLease(m, now)
		if !ok {
			continue
		}
		s.changes.record(t.ID, false, netip.AddrPort{})
		returned[t.Service]++
	}
	for service, n := range returned {
		s.log.Info("expired targets returned", "service", service, "targets", n)
		s.deliveries.mark(service)
	}
	if len(returned) > 0 {
		s.deliveries.run()
		s.waker.notify()
	}
}

// summary returns the digests of all targets, the plan's version and the view's
// epoch. It is sent to control hosts, so that they don't send what this host
// already holds.
func (s *State) summary() (digests []uint64, version, epoch uint64) {
	return s.targets.digests(), s.planVersion(), s.View().Epoch
}

// Target returns the known state of the target called id, and false when it is
// unknown.
func (s *State) Target(id string) (roster.Target, bool) {
	return s.targets.get(id)
}

// Replaced reports whether a target that was started later than the given incarnation of
// another, or of the same one, is known at address. It returns false for incarnation 0,
// which stands for an unknown one.
func (s *State) Replaced(incarnation uint64, address netip.AddrPort) bool {
	return s.targets.replaced(incarnation, address)
}

// Targets returns all known targets.
func (s *State) Targets() []roster.Target {
	return s.targets.all()
}

// Expire removes the targets whose leases have expired at now, and the control
// hosts that have not been seen for longer than controlExpiry. It must be called every
// expirePeriod: a longer gap means that this process was stalled and could not hear
// the targets, so that they are kept for another lease.
func (s *State) Expire(now time.Time) {
	s.merging.Lock()
	defer s.merging.Unlock()
	services, ok := s.targets.expire(now, s.log)
	s.crashes.Expire(now)
	if ok {
		for _, service := range services {
			s.log.Info("targets expired", "service", service, "lease", roster.Lease.String())
		}
		s.deliveries.mark(services...)
		s.deliveries.runMarked()
	}
	s.changes.remove(s.targets.unknown(s.changes.ids()))
	s.controls.expire(now)
}
