package entry

import (
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
)

// observeRest records and logs the rest that a target asks for in its answer to c.
func (h *Host) observeRest(c *call, target string, f route.Feedback) {
	if f.Rest <= 0 {
		return
	}
	h.signs.ObserveRest(member.Key{Service: c.service.doc.Name, Target: target}, f.Rest, time.Now())
	h.metrics.Counter("rests_asked").Add(1)
	if h.sampled() {
		h.log.Info("target asks for rest", "call", c.name, "service", c.service.doc.Name, "target", target, "rest", f.Rest.String())
	}
}

// restLeft returns the time for which the target of an attempt wants no calls from this
// host.
func (h *Host) restLeft(c *call, s engine.Send) time.Duration {
	return h.signs.RestLeft(member.Key{Service: c.service.doc.Name, Target: s.Target}, time.Now())
}
