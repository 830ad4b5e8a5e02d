package entry

import (
	"log/slog"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/io/place"
)

// observeLimit logs a change of the limit that a target names in its answer to c. If a
// control host decided about the call, observeLimit tells this host's own engine what the
// target said, since the engine may have to decide later.
func (h *Host) observeLimit(c *call, target string, f route.Feedback, elapsed time.Duration) {
	if !f.Answered {
		return
	}
	isNew, isLimit := h.signs.ObserveLimit(member.Key{Service: c.service.doc.Name, Target: target}, f.Limit)
	if isNew {
		h.metrics.Counter("limit_changes").Add(1)
		h.log.Info("limit of target", "service", c.service.doc.Name, "target", target, "named", f.Limit.Named,
			slog.Float64("calls_per_second", f.Limit.Rate), "call", c.name)
	}
	if isLimit && c.control != nil {
		h.system.Root.Send(c.service.pid, engine.LimitReport{Target: target, Limit: f.Limit, Elapsed: elapsed})
	}
}

// localLimitShare returns the share of a target's limit that this host may use when it
// decides by itself. The hosts of a fixed list share the limit evenly. A host of a fleet
// does not know how many others decide by themselves, so it sends limited targets
// nothing then.
func (h *Host) localLimitShare() float64 {
	if h.cfg.Fleet.Enabled() {
		return 0
	}
	return place.LimitShare / float64(max(len(h.cfg.Entries), 1))
}
