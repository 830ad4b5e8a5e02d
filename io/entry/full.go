package entry

import (
	"time"

	"cardamomspool/core/engine"
)

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
	if told && h.signs.ObserveResets(c.service.doc.Name, time.Now()) && c.control != nil {
		h.system.Root.Send(c.service.pid, engine.LearnResets{})
	}
}

// localSlotShare returns the share of the slots of targets that this host may use when it
// decides alone, if they reset connections when they are full: the hosts share them evenly.
func (h *Host) localSlotShare() float64 {
	if h.fleet != nil {
		return 1 / float64(h.fleet.hosts.Get())
	}
	return 1 / float64(max(len(h.cfg.Entries), 1))
}

// shareSlots passes the share of the slots to the engines of all services.
func (f *fleet) shareSlots() {
	for _, s := range f.host.services.Load().list {
		f.host.system.Root.Send(s.pid, engine.SetSlotShare{Share: 1 / float64(f.hosts.Get())})
	}
}
