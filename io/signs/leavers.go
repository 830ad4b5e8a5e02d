package signs

import (
	"sync"

	"cardamomspool/core/member"
)

// Leavers holds the targets that have said on an answer that they are draining or
// leave, with the incarnation that has. Its zero value is empty. It is safe for concurrent
// use.
type Leavers struct {
	mu           sync.Mutex
	incarnations map[member.Key]uint64
	order        []member.Key // The targets, oldest first.
}

// maxTrackedLeavers bounds the number of targets in Leavers. The oldest are
// forgotten first: they are gone by then.
const maxTrackedLeavers = 4096

// ObserveLeaving records that an incarnation of a target leaves, and reports whether that is news.
func (t *Leavers) ObserveLeaving(target member.Key, incarnation uint64) bool {
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

// Leaves reports whether an incarnation of a target leaves.
func (t *Leavers) Leaves(target member.Key, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaver, known := t.incarnations[target]
	return known && leaver >= incarnation
}
