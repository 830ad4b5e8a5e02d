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

// epochPrefix, followed by the epoch, names the folder that stores a view's votes.
const epochPrefix = "epoch-"

// enter makes this host take part in view, or in no view when it is not a member. The
// view must already be on disk. enter returns errors of the disk.
func (f *fleet) enter(ctx context.Context, view feed.View) error {
	h := f.host
	if view.Initial.Revision > 0 {
		f.publishPlan(view.Initial)
	}
	if !view.Has(f.self()) {
		h.log.Info("control host does not vote in this view", "epoch", view.Epoch)
		f.setNode(nil, quorum.Saved{}, nil, view)
		return nil
	}
	var (
		folder *disk.Folder
		saved  quorum.Saved
		node   *quorum.Node
		names  []string
		err    error
	)
	if folder, err = h.folder.Subfolder(epochPrefix + strconv.FormatUint(view.Epoch, 10)); err != nil {
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
	if node, err = quorum.NewNode(f.self().String(), names, newRand(), quorum.WithEpoch(view.Epoch)); err != nil {
		return err
	}
	if saved, err = h.restore(folder); err != nil {
		return err
	}
	if saved, err = f.initialState(folder, view, saved); err != nil {
		return err
	}
	h.log.Info("control host enters view", "epoch", view.Epoch, "members", view.Names(), "registers", len(saved.Registers))
	h.sendAll(f.setNode(node, saved, folder, view))
	h.stepMu.Lock()
	defer h.stepMu.Unlock()
	for _, l := range saved.Learnt {
		f.publishNewest([]quorum.Value{l.Chosen})
		f.applyChosen([]quorum.Value{l.Chosen})
	}
	if hasUnsettledOrders(saved) {
		f.state.SetUnsettled(true)
		go f.settleOrders(ctx)
	}
	return nil
}

// initialState returns the state with which this member enters a view; saved is
// what its vote folder holds. It returns saved unchanged unless saved is empty and
// undamaged, the view has an initial value, and the view lists this host with its
// current disk. Otherwise the initial value becomes the accepted and the learnt
// value, and is saved to disk. If the view lists another disk of this host, the
// host may have voted with that disk; the state then stays empty, so that the host
// recovers from the other members. initialState returns errors of the disk.
func (f *fleet) initialState(folder *disk.Folder, view feed.View, saved quorum.Saved) (quorum.Saved, error) {
	if saved.Identity != nil || saved.Damaged || view.Initial.Revision == 0 {
		return saved, nil
	}
	for _, m := range view.Members {
		if m.Host != f.self() || m.Disk != f.disk {
			continue
		}
		saved = quorum.InitialState(view.Initial, quorum.Incarnation{Number: 1, Nonce: f.disk})
		records := []quorum.Record{saved.Registers[0], saved.Learnt[0], *saved.Identity} // The identity is written last: it marks the set as complete.
		for _, r := range records {
			if err := folder.Save(fileName(r), r); err != nil {
				return saved, err
			}
		}
	}
	return saved, nil
}

// setNode replaces the host's node, its vote folder and its view, starts the node with
// what was saved and returns the messages to send. No other step runs before the start:
// messages of the view may have arrived already, and would find the node blank. With a nil
// node the host takes no part in the consensus protocol.
// Callers that wait for a result of the old node get quorum.ErrNoMajority, as the
// outcome is unknown.
func (f *fleet) setNode(node *quorum.Node, saved quorum.Saved, folder *disk.Folder, view feed.View) []quorum.Envelope {
	h := f.host
	h.stepMu.Lock()
	defer h.stepMu.Unlock()
	h.failWaiting(quorum.ErrNoMajority)
	f.closeVoteFolder()
	h.node, h.voteFolder, f.view, f.enteredAt = node, folder, view, time.Now()
	f.publishVote()
	return h.runLockedStep(func(now time.Time) quorum.Output { return node.Start(now, saved) })
}

// close closes the vote folder of the current view.
func (f *fleet) close() {
	f.host.stepMu.Lock()
	defer f.host.stepMu.Unlock()
	f.closeVoteFolder()
	if f.frontListener != nil {
		f.frontListener.Close()
	}
}

// closeVoteFolder closes the vote folder of the current view. The caller holds
// the host's stepMu.
func (f *fleet) closeVoteFolder() {
	h := f.host
	if h.voteFolder == nil || h.voteFolder == h.folder {
		return
	}
	if err := h.voteFolder.Close(); err != nil {
		h.log.Error("closing the vote folder failed", "epoch", f.view.Epoch, "error", err)
	}
	h.voteFolder = nil
}

// nextView returns the view that follows present, whose last value v lists the
// members of the next view. It fails when a member cannot be parsed.
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

// View returns the newest view of voting hosts that this host knows.
func (h *Host) View() feed.View {
	return h.fleet.state.View()
}
