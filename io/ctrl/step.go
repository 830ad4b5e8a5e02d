package ctrl

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
)

const (
	// strangerPeriod is the shortest time between two log lines about hosts
	// with another list of control hosts.
	strangerPeriod = time.Minute
	folderPeriod   = time.Second
)

// errNoVote reports a host that takes no part in the agreement: it has stopped
// or is not in the view.
var errNoVote = errors.New("control: host takes no part in the agreement")

// do runs one step of the node: it syncs what the step asks for, and only then
// lets anything of it be seen. After a failed write the host takes no further
// step, as its memory is then ahead of its disk. It returns the messages to
// send, which the caller may answer with.
func (h *Host) do(step func(now time.Time) quorum.Output) []quorum.Envelope {
	h.step.Lock()
	defer h.step.Unlock()
	if h.stopped || h.node == nil {
		return nil
	}
	out := step(time.Now())
	for _, r := range out.Saves {
		if err := h.votes.Save(fileName(r), r); err != nil {
			h.stopped = true
			h.abandon(quorum.ErrNoMajority)
			h.fail(errors.Wrap(err, "control: write to the data folder"))
			return nil
		}
	}
	h.logEvents(out.Events)
	h.publish(out.Learnt)
	for _, r := range out.Results {
		if c, ok := h.waiting[r.Ticket]; ok {
			c <- r
			delete(h.waiting, r.Ticket)
		}
	}
	return out.Sends
}

// run does a step and sends all its messages.
func (h *Host) run(step func(now time.Time) quorum.Output) {
	for _, e := range h.do(step) {
		h.send(e)
	}
}

// halt ends the host's part in the agreement; callers that wait are told.
func (h *Host) halt() {
	h.step.Lock()
	defer h.step.Unlock()
	h.stopped = true
	h.abandon(quorum.ErrNoMajority)
}

func (h *Host) abandon(err error) {
	for ticket, c := range h.waiting {
		c <- quorum.Result{Ticket: ticket, Err: err}
		delete(h.waiting, ticket)
	}
}

// tick lets time pass in the node, and looks after the data folder, until ctx
// ends.
func (h *Host) tick(ctx context.Context) {
	ticker := time.NewTicker(quorum.TickPeriod)
	defer ticker.Stop()
	checked := time.Now()
	for {
		h.run(func(now time.Time) quorum.Output { return h.node.Tick(now) })
		h.publishStatus()
		if time.Since(checked) >= folderPeriod {
			checked = time.Now()
			if err := h.folder.Check(); err != nil {
				h.halt()
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

// propose hands a change or read to the node and waits for its result.
func (h *Host) propose(ctx context.Context, begin func(now time.Time) (uint64, quorum.Output)) quorum.Result {
	result := make(chan quorum.Result, 1)
	taken := false
	h.run(func(now time.Time) quorum.Output {
		ticket, out := begin(now)
		h.waiting[ticket] = result
		taken = true
		return out
	})
	if !taken {
		return quorum.Result{Err: errNoVote}
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return quorum.Result{Err: quorum.ErrNoMajority}
	}
}

// publish shows newly learnt values to readers and wakes all watchers.
func (h *Host) publish(values []quorum.Value) {
	if len(values) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range values {
		h.learnt[v.Name] = h.node.Learnt(v.Name)
		h.log.Info("document chosen", "service", v.Name, "revision", v.Revision, "deleted", v.Deleted)
	}
	close(h.changed)
	h.changed = make(chan struct{})
	if h.fleet != nil {
		h.fleet.learn(values)
	}
}

// publishStatus shows readers how the host stands; it wakes watchers when the
// host has become current or no longer is.
func (h *Host) publishStatus() {
	h.step.Lock()
	s := quorum.Status{Host: h.cfg.Host}
	if h.node != nil {
		s = h.node.Status(time.Now())
	}
	h.step.Unlock()
	if h.fleet != nil {
		h.fleet.board.SetCurrent(s.Current)
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

func (h *Host) logEvents(events []quorum.Event) {
	for _, e := range events {
		attrs := make([]any, 0, 6)
		for _, a := range [][2]string{{"peer", e.Host}, {"service", e.Name}, {"detail", e.Detail}} {
			if a[1] != "" {
				attrs = append(attrs, a[0], a[1])
			}
		}
		switch e.Kind {
		case quorum.EventStranger:
			if p := h.peer(e.Host); p != nil && p.isStrange(time.Now()) {
				h.log.Warn(string(e.Kind), attrs...)
			}
		case quorum.EventMajorityLost, quorum.EventSuperseded, quorum.EventRecovering:
			h.log.Warn(string(e.Kind), attrs...)
		default:
			h.log.Info(string(e.Kind), attrs...)
		}
	}
}
