package ctrl

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"cardamomspool/core/quorum"
	"cardamomspool/io/disk"
	"cardamomspool/io/feed"
	"cardamomspool/io/setup"
)

// epochPrefix and the epoch name the folder of a view's votes.
const epochPrefix = "epoch-"

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

// View returns the view of voting hosts that this host knows.
func (h *Host) View() feed.View {
	return h.fleet.board.View()
}
