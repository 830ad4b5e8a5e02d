package ctrl

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"cardamomspool/core/quorum"
	"cardamomspool/io/feed"
)

const (
	// viewCheckPeriod is the time between two checks whether the view should
	// change.
	viewCheckPeriod = 200 * time.Millisecond
	// lostTimeout is how long a voting host must have been silent before
	// another control host replaces it. Other hosts rely on the replacing host
	// only from four seconds after that host's start.
	lostTimeout = 2500 * time.Millisecond
	// joinDelay is how long a host must have been seen before it may vote. A
	// host that was last seen more than twice that time ago may not.
	joinDelay = 500 * time.Millisecond
	// maxVoters is the maximum number of voting hosts. Each further one costs
	// every change more messages and disk syncs.
	maxVoters = 7
)

// watchViews enters each view whose epoch is higher than entered, the epoch of the
// view that this host is in, and proposes new views, until stop ends. Connections to the
// members last until work ends. When a view cannot be entered, it makes Run fail.
func (f *fleet) watchViews(stop, work context.Context, entered uint64) {
	ticker := time.NewTicker(viewCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop.Done():
			return
		case next := <-f.nextViews:
			f.state.SetView(next)
		case <-ticker.C:
		}
		if view := f.state.View(); view.Epoch > entered {
			if err := f.saveAndEnter(work, view); err != nil {
				f.host.fail(err)
				return
			}
			entered = view.Epoch
		}
		f.proposeView(stop, time.Now())
	}
}

// saveAndEnter saves a view to disk and then enters it, so that the view is on
// disk before this host votes in it.
func (f *fleet) saveAndEnter(ctx context.Context, view feed.View) error {
	if err := f.host.folder.Save(viewFile, view); err != nil {
		return err
	}
	return f.enter(ctx, view)
}

// proposeView proposes the next view when nextMembers returns members for it. Only
// the live voting host with the lowest address proposes, and only while it is
// current.
func (f *fleet) proposeView(ctx context.Context, now time.Time) {
	view, entered, status, ok := f.votingState(now)
	if !ok || !status.Current {
		return
	}
	var lost []netip.Addr
	for _, p := range status.Peers {
		host, err := netip.ParseAddr(p.Host)
		if err != nil {
			f.host.log.Error("peer name is not an IP address", "peer", p.Host, "error", err)
			return
		}
		if isLost(p, entered, now) {
			lost = append(lost, host)
		} else if host.Less(f.self()) {
			return // That host is live and has a lower address, so it proposes.
		}
	}
	next := nextMembers(f.withDisks(view), lost, f.candidates(view, now))
	if next == nil || slices.ContainsFunc(next, func(m feed.Member) bool { return m.Disk == 0 }) {
		return
	}
	names := (&feed.View{Members: next}).Names()
	f.host.log.Info("view ends", "epoch", view.Epoch, "lost", lost, "next", names)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c := quorum.Change{Name: planName, Next: names}
	r := f.host.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return f.host.node.Apply(now, c) })
	if r.Err != nil {
		f.host.log.Warn("view not ended", "epoch", view.Epoch, "error", r.Err)
	}
}

// votingState returns the view that this host is a member of, the time at which it
// entered the view, and its node's status. It returns false when the host has no
// node, as it is not a member.
func (f *fleet) votingState(now time.Time) (feed.View, time.Time, quorum.Status, bool) {
	f.host.stepMu.Lock()
	defer f.host.stepMu.Unlock()
	if f.host.node == nil {
		return feed.View{}, time.Time{}, quorum.Status{}, false
	}
	return f.view, f.enteredAt, f.host.node.Status(now), true
}

// withDisks returns the view with the current disk identity of each member whose
// disk is known. The first view holds no disk identities, and a member that has
// recovered has a new one.
func (f *fleet) withDisks(view feed.View) feed.View {
	view.Members = slices.Clone(view.Members)
	for i, m := range view.Members {
		id := f.disk
		if m.Host != f.self() {
			id = f.state.Control(netip.AddrPortFrom(m.Host, f.host.cfg.PeerAddress.Port())).Disk
		}
		if id != 0 {
			view.Members[i].Disk = id
		}
	}
	return view
}

// candidates returns the control hosts that are not members and could vote (see
// joinDelay), sorted by the time at which they were first seen, earliest first.
func (f *fleet) candidates(view feed.View, now time.Time) []feed.Member {
	type candidate struct {
		feed.Member
		since time.Time
	}
	var list []candidate
	for _, address := range f.state.Controls() {
		c := f.state.Control(address)
		if view.Has(address.Addr()) || address.Addr() == f.self() || c.Disk == 0 || now.Sub(c.FirstSeen) < joinDelay || now.Sub(c.LastSeen) > joinDelay*2 {
			continue
		}
		list = append(list, candidate{Member: feed.Member{Host: address.Addr(), Disk: c.Disk}, since: c.FirstSeen})
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return a.since.Compare(b.since) })
	members := make([]feed.Member, 0, len(list))
	for _, c := range list {
		members = append(members, c.Member)
	}
	return members
}

// nextMembers returns the members of the next view, or nil when the current view
// need not change. A candidate replaces each lost host, as far as there are
// candidates. When no host is lost, further candidates join so that the number of
// members is odd and at most maxVoters: an even number of members tolerates no
// more losses than the odd number below it.
func nextMembers(view feed.View, lost []netip.Addr, candidates []feed.Member) []feed.Member {
	next := slices.Clone(view.Members)
	changed := false
	for _, host := range lost {
		if len(candidates) == 0 {
			break
		}
		if !view.Has(host) {
			continue
		}
		next = slices.DeleteFunc(next, func(m feed.Member) bool { return m.Host == host })
		next = append(next, candidates[0])
		candidates, changed = candidates[1:], true
	}
	for len(candidates) > 0 && len(lost) == 0 && len(next) < maxVoters {
		step := 2 - (len(next)+1)%2
		if len(candidates) < step {
			break
		}
		next = append(next, candidates[:step]...)
		candidates, changed = candidates[step:], true
	}
	if !changed {
		return nil
	}
	sortMembers(next)
	return next
}

// sortMembers sorts members by IP address, then by disk identity.
func sortMembers(list []feed.Member) {
	slices.SortFunc(list, func(a, b feed.Member) int { return cmp.Or(a.Host.Compare(b.Host), cmp.Compare(a.Disk, b.Disk)) })
}

// isLost reports whether a voting host has been silent for longer than
// lostTimeout, counted from its last contact or from entered, the time at which
// the view was entered, whichever is later.
func isLost(p quorum.PeerStatus, entered, now time.Time) bool {
	since := p.LastContact
	if entered.After(since) {
		since = entered
	}
	return now.Sub(since) > lostTimeout
}
