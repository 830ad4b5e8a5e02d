package entry

import (
	"sync"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

// leaverTracker holds the targets that have said on an answer that they are draining or
// leave, with the incarnation that has. Its zero value is empty. It is safe for concurrent
// use.
type leaverTracker struct {
	mu           sync.Mutex
	incarnations map[member.Key]uint64
	order        []member.Key // The targets, oldest first.
}

// maxTrackedLeavers bounds the number of targets in a leaverTracker. The oldest are
// forgotten first: they are gone by then.
const maxTrackedLeavers = 4096

// add records that an incarnation of a target leaves, and reports whether that is news.
func (t *leaverTracker) add(target member.Key, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.incarnations[target]
	if known && old >= incarnation {
		return false
	}
	if t.incarnations == nil {
		t.incarnations = make(map[member.Key]uint64)
	}
	t.incarnations[target] = incarnation
	if known {
		return true
	}
	if t.order = append(t.order, target); len(t.order) > maxTrackedLeavers {
		delete(t.incarnations, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

// has reports whether an incarnation of a target leaves.
func (t *leaverTracker) has(target member.Key, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaver, known := t.incarnations[target]
	return known && leaver >= incarnation
}

// observeLeaving records that the target of an attempt has said on its answer that it is
// draining or leaves. An answer that names no incarnation speaks of the one that the
// attempt was sent to.
func (h *Host) observeLeaving(c *call, s engine.Send, answer wire.AnswerInfo) {
	if answer.State < member.Draining {
		return
	}
	incarnation := s.Incarnation
	if answer.Incarnation > 0 {
		incarnation = answer.Incarnation
	}
	if !h.leavers.add(member.Key{Service: c.service.doc.Name, Target: s.Target}, incarnation) {
		return
	}
	h.metrics.Counter("leavers_noticed").Add(1)
	h.log.Info("target says that it leaves", "call", c.name, "service", c.service.doc.Name, "target", s.Target,
		"incarnation", incarnation, "state", answer.State.String())
}

// hasDeparted reports whether the target of a decision is draining or has left as far as
// this host knows, by the target's announcements or answers. The host that decided may not
// know it yet, as when it was frozen or cut off.
func (h *Host) hasDeparted(c *call, s engine.Send) bool {
	if h.leavers.has(member.Key{Service: c.service.doc.Name, Target: s.Target}, s.Incarnation) {
		return true
	}
	return h.fleet != nil && h.fleet.hasDeparted(s)
}
