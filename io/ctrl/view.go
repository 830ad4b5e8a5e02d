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
	viewPeriod = 200 * time.Millisecond
	// lostAfter is how long a voting host must have been silent until another
	// takes its place; a successor counts four seconds after it has started.
	lostAfter = 2500 * time.Millisecond
	// joinAfter is how long a host must have been seen until it may vote.
	joinAfter = 500 * time.Millisecond
	// maxVoters is the greatest number of hosts that vote; more cost each
	// change more messages and disk syncs.
	maxVoters = 7
)

// watchViews changes to the views that were agreed after the one of epoch
// entered, and proposes new ones, until ctx ends.
func (f *fleet) watchViews(ctx context.Context, entered uint64) {
	ticker := time.NewTicker(viewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-f.moves:
			f.board.SetView(next)
		case <-ticker.C:
		}
		if view := f.board.View(); view.Epoch > entered {
			if err := f.move(ctx, view); err != nil {
				f.host.fail(err)
				return
			}
			entered = view.Epoch
		}
		f.propose(ctx, time.Now())
	}
}

// move changes to a view; it is on disk before this host votes in it.
func (f *fleet) move(ctx context.Context, view feed.View) error {
	if err := f.host.folder.Save(viewFile, view); err != nil {
		return err
	}
	return f.enter(ctx, view)
}

// propose ends the view when another one suits the hosts that are alive
// better. Only the first voting host that hears a majority does.
func (f *fleet) propose(ctx context.Context, now time.Time) {
	view, entered, status, ok := f.standing(now)
	if !ok || !status.Current {
		return
	}
	var lost []netip.Addr
	for _, p := range status.Peers {
		host, err := netip.ParseAddr(p.Host)
		if err != nil {
			f.host.log.Error("peer is no IP number", "peer", p.Host, "error", err)
			return
		}
		if isLost(p, entered, now) {
			lost = append(lost, host)
		} else if host.Less(f.self()) {
			return // That host proposes.
		}
	}
	next := nextMembers(f.withDisks(view), lost, f.candidates(view, now))
	if next == nil || slices.ContainsFunc(next, func(m feed.Member) bool { return m.Disk == 0 }) {
		return
	}
	names := (&feed.View{Members: next}).Names()
	f.host.log.Info("view ends", "epoch", view.Epoch, "lost", lost, "next", names)
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	c := quorum.Change{Name: planName, Next: names}
	r := f.host.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return f.host.node.Apply(now, c) })
	if r.Err != nil {
		f.host.log.Warn("view not ended", "epoch", view.Epoch, "error", r.Err)
	}
}

// standing returns the view that this host votes in, when it entered it and the
// status of its node, and false when it votes in none.
func (f *fleet) standing(now time.Time) (feed.View, time.Time, quorum.Status, bool) {
	f.host.step.Lock()
	defer f.host.step.Unlock()
	if f.host.node == nil {
		return feed.View{}, time.Time{}, quorum.Status{}, false
	}
	return f.present, f.entered, f.host.node.Status(now), true
}

// withDisks returns the view with the present disks of its members, as far as
// they are known. The first view names none, and a member that has recovered
// has another one.
func (f *fleet) withDisks(view feed.View) feed.View {
	view.Members = slices.Clone(view.Members)
	for i, m := range view.Members {
		id := f.disk
		if m.Host != f.self() {
			id = f.board.Control(netip.AddrPortFrom(m.Host, f.host.cfg.PeerAddress.Port())).Disk
		}
		if id != 0 {
			view.Members[i].Disk = id
		}
	}
	return view
}

// candidates returns the control hosts that could vote and do not, those seen
// the longest first.
func (f *fleet) candidates(view feed.View, now time.Time) []feed.Member {
	type candidate struct {
		feed.Member
		since time.Time
	}
	var list []candidate
	for _, address := range f.board.Controls() {
		c := f.board.Control(address)
		if view.Has(address.Addr()) || address.Addr() == f.self() || c.Disk == 0 || now.Sub(c.Since) < joinAfter || now.Sub(c.Seen) > joinAfter*2 {
			continue
		}
		list = append(list, candidate{Member: feed.Member{Host: address.Addr(), Disk: c.Disk}, since: c.Since})
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return a.since.Compare(b.since) })
	members := make([]feed.Member, 0, len(list))
	for _, c := range list {
		members = append(members, c.Member)
	}
	return members
}

// nextMembers returns the members of the view that should follow, or nil when
// the present one is as good: a candidate takes the place of each lost host,
// and two more join as long as the number stays odd, since an even number
// bears no more losses than the odd one below it.
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

func sortMembers(list []feed.Member) {
	slices.SortFunc(list, func(a, b feed.Member) int { return cmp.Or(a.Host.Compare(b.Host), cmp.Compare(a.Disk, b.Disk)) })
}

// isLost reports whether a voting host has been silent for lostAfter, counted
// from when the view was entered at the earliest.
func isLost(p quorum.PeerStatus, entered, now time.Time) bool {
	since := p.LastContact
	if entered.After(since) {
		since = entered
	}
	return now.Sub(since) > lostAfter
}
