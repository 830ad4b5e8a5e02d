package signs

import (
	"sync"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

// Limits holds the limits that targets have named in answers to this host. Its
// zero value is empty. It is safe for concurrent use.
type Limits struct {
	mu    sync.Mutex
	named map[member.Key]wire.Limit
}

// maxTrackedLimits bounds the number of targets in Limits, which does not
// learn of targets that depart while they name a limit.
const maxTrackedLimits = 4096

// ObserveLimit records what a target has said about its limit. It reports whether that is
// news, and whether there is or was a limit.
func (t *Limits) ObserveLimit(target member.Key, l wire.Limit) (isNew, isLimit bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.named[target]
	switch {
	case !l.Named:
		delete(t.named, target)
		return known, known
	case t.named == nil || len(t.named) >= maxTrackedLimits:
		t.named = make(map[member.Key]wire.Limit)
	}
	t.named[target] = l
	return old != l, true
}
