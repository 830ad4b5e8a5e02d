package entry

import (
	"sync"
	"time"

	"cardamomspool/core/engine"
)

// resetTracker holds when control hosts have told last that the targets of a service reset
// connections when they are full, and what they are not told yet of resets. Its zero value is
// empty. It is safe for concurrent use.
type resetTracker struct {
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

// observe records that a control host has told so. It reports whether the engine is to be told.
func (t *resetTracker) observe(service string, now time.Time) bool {
	last, ok := t.told.Load(service)
	if ok && now.Sub(last.(time.Time)) < toldInterval {
		return false
	}
	t.told.Store(service, now)
	return true
}

// learnt reports whether the targets of a service are known to reset connections.
func (t *resetTracker) learnt(service string, now time.Time) bool {
	last, ok := t.told.Load(service)
	return ok && now.Sub(last.(time.Time)) < toldMemory
}

// add records that a target has reset the connection of a call that this host has decided about
// alone.
func (t *resetTracker) add(service, target string) {
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

// take returns the targets that control hosts are to be told of, and forgets them.
func (t *resetTracker) take(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.untold[service]
	delete(t.untold, service)
	return list
}

// noteResets records what a decision tells of the service: a host that decides alone later, or
// carries calls of others, then knows it.
func (h *Host) noteResets(c *call, action engine.Action) {
	told := false
	switch a := action.(type) {
	case engine.Send:
		told = a.ResetsWhenFull
	case engine.Hold:
		told = a.ResetsWhenFull
	case engine.Refuse:
		told = a.ResetsWhenFull
	}
	if told && h.resets.observe(c.service.doc.Name, time.Now()) && c.control != nil {
		h.system.Root.Send(c.service.pid, engine.LearnResets{})
	}
}

// localSlotShare returns the share of the slots of targets that this host may use when it
// decides alone, if they reset connections when they are full: the hosts share them evenly.
func (h *Host) localSlotShare() float64 {
	if h.fleet != nil {
		return 1 / float64(h.fleet.hostCount())
	}
	return 1 / float64(max(len(h.cfg.Entries), 1))
}

// shareSlots passes the share of the slots to the engines of all services.
func (f *fleet) shareSlots() {
	for _, s := range f.host.services.Load().list {
		f.host.system.Root.Send(s.pid, engine.SetSlotShare{Share: 1 / float64(f.hostCount())})
	}
}
