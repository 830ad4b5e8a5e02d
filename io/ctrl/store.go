package ctrl

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
)

// errName reports a change to a document whose name is not valid.
var errName = errors.New("control: the service name is not valid")

// Apply makes one change and returns once a majority of control hosts holds
// it on disk. It returns a *quorum.ConflictError when the document has moved
// on, a *quorum.ReusedError when the request's identity belongs to another
// change, quorum.ErrRecovering when this host does not vote, and
// quorum.ErrNoMajority when the outcome is not known.
func (h *Host) Apply(ctx context.Context, c quorum.Change) (quorum.Request, error) {
	if !spec.ValidName(c.Name) {
		return quorum.Request{}, errName
	}
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Apply(now, c) })
	return r.Done, r.Err
}

// Read returns the document called name as a majority of control hosts holds
// it: no older than any change accepted before the call. The revision is 0
// when there never was one. It returns quorum.ErrNoMajority when too few
// answer and quorum.ErrRecovering when this host does not vote.
func (h *Host) Read(ctx context.Context, name string) (spec.Versioned, error) {
	if !spec.ValidName(name) {
		return spec.Versioned{Name: name}, nil // There can be none.
	}
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Read(now, name) })
	return r.Value.Versioned, r.Err
}

// Get returns the newest document called name that this host has learnt.
func (h *Host) Get(name string) (spec.Versioned, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.learnt[name].Chosen.Versioned
	return v, v.Revision > 0 && !v.Deleted
}

// List returns the newest documents that this host has learnt, by name.
func (h *Host) List() []spec.Versioned {
	values, _, _ := h.chosen()
	list := make([]spec.Versioned, 0, len(values))
	for _, v := range values {
		if !v.Deleted {
			list = append(list, v.Versioned)
		}
	}
	return list
}

// History returns the latest values of a service that this host has learnt,
// oldest first, without their requests.
func (h *Host) History(name string) []quorum.Value {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.learnt[name].History)
}

// Status tells how this host stood a moment ago.
func (h *Host) Status() quorum.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.status
	s.Peers = slices.Clone(s.Peers)
	return s
}

// chosen returns all learnt values by name, whether a majority has lately
// confirmed that there are no newer ones, and a channel that is closed when
// either changes.
func (h *Host) chosen() ([]quorum.Value, bool, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	values := make([]quorum.Value, 0, len(h.learnt))
	for l := range maps.Values(h.learnt) {
		values = append(values, l.Chosen)
	}
	slices.SortFunc(values, func(a, b quorum.Value) int { return cmp.Compare(a.Name, b.Name) })
	return values, h.status.Current, h.changed
}

// publishMetrics offers the host's state among its metrics.
func (h *Host) publishMetrics() {
	h.metrics.Func("agreement", func() any { return h.Status() })
}
