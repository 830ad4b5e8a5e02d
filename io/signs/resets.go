package signs

import (
	"sync"
	"time"
)

// Resets holds when control hosts have told last that the targets of a service reset
// connections when they are full, and what they are not told yet of resets. Its zero value is
// empty. It is safe for concurrent use.
type Resets struct {
	told sync.Map // Name of the service to time.Time.

	mu sync.Mutex
	// untold holds, by service, the targets that have reset connections of calls that this
	// host has decided about alone.
	untold map[string][]string
}

const (
	// toldMemory is how long a service counts as one whose targets reset connections
	// after a control host has told so, which it does with each decision.
	toldMemory = time.Minute
	// toldInterval is the time between two reports of that to this host's own engine.
	toldInterval = 10 * time.Second
	// maxUntoldResets bounds the targets of a service that control hosts are to be told of;
	// a few teach it.
	maxUntoldResets = 8
)

// ObserveResets records that a control host has told so. It reports whether the engine is to
// be told.
func (t *Resets) ObserveResets(service string, now time.Time) bool {
	last, ok := t.told.Load(service)
	if ok && now.Sub(last.(time.Time)) < toldInterval {
		return false
	}
	t.told.Store(service, now)
	return true
}

// ResetsWhenFull reports whether the targets of a service are known to reset connections.
func (t *Resets) ResetsWhenFull(service string, now time.Time) bool {
	last, ok := t.told.Load(service)
	return ok && now.Sub(last.(time.Time)) < toldMemory
}

// AddReset records that a target has reset the connection of a call that this host has decided about
// alone.
func (t *Resets) AddReset(service, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.untold[service]) >= maxUntoldResets {
		return
	}
	if t.untold == nil {
		t.untold = make(map[string][]string)
	}
	t.untold[service] = append(t.untold[service], target)
}

// TakeResets returns the targets that control hosts are to be told of, and forgets them.
func (t *Resets) TakeResets(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.untold[service]
	delete(t.untold, service)
	return list
}
