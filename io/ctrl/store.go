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

// errInvalidName reports a change to a document with an invalid name.
var errInvalidName = errors.New("control: the name of the document is not valid")

// Apply makes one change and returns once a majority of control hosts has
// written it to disk. It returns a *quorum.ConflictError when the document has a
// newer revision, a *quorum.RequestReusedError when the request ID belongs to
// another change, quorum.ErrRecovering while this host does not vote yet, and
// quorum.ErrNoMajority when the outcome is unknown. It returns another error when
// the name is not valid or this host has stopped.
func (h *Host) Apply(ctx context.Context, c quorum.Change) (quorum.Request, error) {
	if !spec.ValidDocumentName(c.Name) {
		return quorum.Request{}, errInvalidName
	}
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Apply(now, c) })
	return r.Request, r.Err
}

// Read returns the document called name as a majority of control hosts holds
// it: it is no older than any change accepted before the call. The revision is 0
// when the document never existed. Read returns quorum.ErrNoMajority when too few
// hosts answer, quorum.ErrRecovering while this host does not vote yet, and another
// error when it has stopped.
func (h *Host) Read(ctx context.Context, name string) (spec.Versioned, error) {
	if !spec.ValidDocumentName(name) {
		return spec.Versioned{Name: name}, nil // No document can have an invalid name.
	}
	r := h.propose(ctx, func(now time.Time) (uint64, quorum.Output) { return h.node.Read(now, name) })
	return r.Value.Versioned, r.Err
}

// Get returns the newest document called name that this host has learnt, and
// false when there is none or it was deleted; for a deleted one it returns the
// revision of the deletion.
func (h *Host) Get(name string) (spec.Versioned, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.learnt[name].Chosen.Versioned
	return v, v.Revision > 0 && !v.Deleted
}

// List returns the newest documents of services that this host has learnt, without
// deleted ones, sorted by name.
func (h *Host) List() []spec.Versioned {
	values, _, _ := h.learntValues()
	list := make([]spec.Versioned, 0, len(values))
	for _, v := range values {
		if !v.Deleted && v.Name != spec.AccountsName {
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

// Status returns this host's status as last published, at most about
// quorum.TickPeriod ago.
func (h *Host) Status() quorum.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.status
	s.Peers = slices.Clone(s.Peers)
	return s
}

// learntValues returns all learnt values sorted by name, whether a majority has
// recently confirmed that there are no newer values, and a channel that is closed
// when the values or the confirmation change.
func (h *Host) learntValues() ([]quorum.Value, bool, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	values := make([]quorum.Value, 0, len(h.learnt))
	for l := range maps.Values(h.learnt) {
		values = append(values, l.Chosen)
	}
	slices.SortFunc(values, func(a, b quorum.Value) int { return cmp.Compare(a.Name, b.Name) })
	return values, h.status.Current, h.changed
}

// publishMetrics adds a metric that shows the host's status.
func (h *Host) publishMetrics() {
	h.metrics.Func("agreement", func() any { return h.Status() })
}
