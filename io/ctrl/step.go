package ctrl

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
)

const (
	// mismatchLogPeriod is the minimum time between two log lines about a peer
	// that is configured with another list of control hosts.
	mismatchLogPeriod = time.Minute
	// folderCheckPeriod is the time between two checks that the data folder
	// still exists.
	folderCheckPeriod = time.Second
)

// errNotTakingPart reports that this host takes no part in the consensus protocol:
// it has stopped or is not a member of the current view.
var errNotTakingPart = errors.New("control: host takes no part in the agreement")

// runStep runs one step of the node. It syncs the records that the step must
// persist before it publishes any result of the step. After a failed write the
// host runs no further step, as its memory is then ahead of its disk. runStep
// returns the messages to send; the caller may return one of them as the reply
// to an RPC. Without a node, or once the host has stopped, it does nothing.
func (h *Host) runStep(step func(now time.Time) quorum.Output) []quorum.Envelope {
	h.stepMu.Lock()
	defer h.stepMu.Unlock()
	return h.runLockedStep(step)
}

// runLockedStep is runStep for a caller that holds stepMu.
func (h *Host) runLockedStep(step func(now time.Time) quorum.Output) []quorum.Envelope {
	if h.stopped || h.node == nil {
		return nil
	}
	out := step(time.Now())
	for _, r := range out.Saves {
		if err := h.voteFolder.Save(fileName(r), r); err != nil {
			h.stopped = true
			h.failWaiting(quorum.ErrNoMajority)
			h.fail(errors.Wrap(err, "control: write to the data folder"))
			return nil
		}
	}
	if h.fleet != nil {
		h.fleet.publishVote()
	}
	h.logEvents(out.Events)
	h.publishChosen(out.Learnt)
	for _, r := range out.Results {
		if c, ok := h.waiting[r.Ticket]; ok {
			c <- r
			delete(h.waiting, r.Ticket)
		}
	}
	return out.Sends
}

// runAndSend runs a step and sends all its messages.
func (h *Host) runAndSend(step func(now time.Time) quorum.Output) {
	h.sendAll(h.runStep(step))
}

// sendAll sends messages.
func (h *Host) sendAll(list []quorum.Envelope) {
	for _, e := range list {
		h.send(e)
	}
}

// stopVoting ends the host's part in the consensus protocol. Callers that wait
// for a result get quorum.ErrNoMajority.
func (h *Host) stopVoting() {
	h.stepMu.Lock()
	defer h.stepMu.Unlock()
	h.stopped = true
	h.failWaiting(quorum.ErrNoMajority)
}

// failWaiting returns err to all callers that wait for a result. The caller
// holds stepMu.
func (h *Host) failWaiting(err error) {
	for ticket, c := range h.waiting {
		c <- quorum.Result{Ticket: ticket, Err: err}
		delete(h.waiting, ticket)
	}
}

// tick advances the node's clock and publishes its status every
// quorum.TickPeriod, and checks the data folder every folderCheckPeriod, until
// ctx ends. If the data folder was removed, it stops voting and makes Run fail.
func (h *Host) tick(ctx context.Context) {
	ticker := time.NewTicker(quorum.TickPeriod)
	defer ticker.Stop()
	lastCheck := time.Now()
	for {
		h.runAndSend(func(now time.Time) quorum.Output { return h.node.Tick(now) })
		h.publishStatus()
		if time.Since(lastCheck) >= folderCheckPeriod {
			lastCheck = time.Now()
			if err := h.folder.Check(); err != nil {
				h.stopVoting()
				h.fail(err)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// propose starts a change or read with begin, which returns the node's ticket for
// it, and waits for the result. The result's Err is errNotTakingPart when the host
// has stopped or has no node, and quorum.ErrNoMajority when ctx ends first. The change
// or read is then withdrawn as far as it has not begun: its caller sends it again to
// another host, and would compete with it.
func (h *Host) propose(ctx context.Context, begin func(now time.Time) (uint64, quorum.Output)) quorum.Result {
	result := make(chan quorum.Result, 1)
	started := false
	var (
		ticket uint64
		node   *quorum.Node
	)
	h.runAndSend(func(now time.Time) quorum.Output {
		var out quorum.Output
		ticket, out = begin(now)
		h.waiting[ticket] = result
		node, started = h.node, true
		return out
	})
	if !started {
		return quorum.Result{Err: errNotTakingPart}
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		go h.withdraw(node, ticket) // The caller need not wait for a step of the node.
		return quorum.Result{Err: quorum.ErrNoMajority}
	}
}

// withdraw withdraws the proposal with the given ticket of a node.
func (h *Host) withdraw(node *quorum.Node, ticket uint64) {
	h.runAndSend(func(now time.Time) quorum.Output {
		if h.node != node {
			return quorum.Output{} // The view has changed; tickets of the former node mean nothing.
		}
		delete(h.waiting, ticket)
		return h.node.Cancel(now, ticket)
	})
}

// publishChosen makes newly learnt values visible to API handlers and streams, and
// wakes the streams. The plan comes into force soon after; see publishPending. The caller
// holds stepMu.
func (h *Host) publishChosen(values []quorum.Value) {
	if len(values) == 0 {
		return
	}
	h.mu.Lock()
	for _, v := range values {
		h.learnt[v.Name] = h.node.Learnt(v.Name)
		h.log.Info("document chosen", "service", v.Name, "revision", v.Revision, "deleted", v.Deleted)
	}
	close(h.changed)
	h.changed = make(chan struct{})
	h.mu.Unlock()
	if h.fleet == nil {
		return
	}
	h.fleet.applyChosen(values)
	h.unpublished = append(h.unpublished, values...)
	h.publishing++
	h.sends.Add(1)
	go func() {
		defer h.sends.Done()
		h.publishPending()
		h.stepMu.Lock()
		defer h.stepMu.Unlock()
		h.publishing--
	}()
}

// publishPending puts the chosen values that were not published yet in force at this host.
// It decodes plans, which takes longer than a step of the node, and returns once all values
// are published that were chosen before the call. The caller must not hold stepMu.
func (h *Host) publishPending() {
	h.publishMu.Lock()
	defer h.publishMu.Unlock()
	h.stepMu.Lock()
	values := h.unpublished
	h.unpublished = nil
	h.stepMu.Unlock()
	h.fleet.publishNewest(values)
}

// publishStatus updates the status that API handlers and streams see. It wakes the
// streams when the host becomes current or stops being current. A host becomes current only
// once what it has learnt is in force.
func (h *Host) publishStatus() {
	h.stepMu.Lock()
	s := quorum.Status{Host: h.cfg.Host}
	if h.node != nil {
		s = h.node.Status(time.Now())
	}
	publishing := h.publishing > 0
	h.stepMu.Unlock()
	s.Current = s.Current && (!publishing || h.Status().Current)
	if h.fleet != nil {
		h.fleet.state.SetCurrent(s.Current)
	}
	s.DiskSyncs, s.DiskFailures = h.folder.Syncs(), h.folder.Failures()
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Current != h.status.Current {
		close(h.changed)
		h.changed = make(chan struct{})
		h.log.Info("confirmation by a majority", "current", s.Current)
	}
	h.status = s
}

// logEvents logs the node's events. An event about a peer that is configured with
// another list of control hosts is logged at most once per mismatchLogPeriod.
func (h *Host) logEvents(events []quorum.Event) {
	for _, e := range events {
		attrs := make([]any, 0, 6)
		for _, a := range [][2]string{{"peer", e.Host}, {"service", e.Name}, {"detail", e.Detail}} {
			if a[1] != "" {
				attrs = append(attrs, a[0], a[1])
			}
		}
		switch e.Kind {
		case quorum.EventOtherCluster:
			if p := h.peer(e.Host); p != nil && p.isMismatchLogDue(time.Now()) {
				h.log.Warn(string(e.Kind), attrs...)
			}
		case quorum.EventMajorityLost, quorum.EventSuperseded, quorum.EventRecovering:
			h.log.Warn(string(e.Kind), attrs...)
		default:
			h.log.Info(string(e.Kind), attrs...)
		}
	}
}
