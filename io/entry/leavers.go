package entry

import (
	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

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
	if !h.signs.ObserveLeaving(member.Key{Service: c.service.doc.Name, Target: s.Target}, incarnation) {
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
	if h.signs.Leaves(member.Key{Service: c.service.doc.Name, Target: s.Target}, s.Incarnation) {
		return true
	}
	return h.fleet != nil && h.fleet.hasDeparted(s)
}
