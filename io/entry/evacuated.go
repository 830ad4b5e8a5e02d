package entry

import (
	"time"

	"cardamomspool/core/engine"
)

// evacuatedRest is the rest that this host reports for a target in an evacuated data centre:
// the host that decided gives the target no call from here for that time, by when both know
// the same orders. It must not count the target as departed, which it would for good.
const evacuatedRest = 250 * time.Millisecond

// isEvacuated reports whether the target of a decision is in an evacuated data centre as far
// as this host knows. The host that decided may not know the order yet, as when it is cut off.
func (h *Host) isEvacuated(s engine.Send) bool {
	if h.fleet == nil {
		return false
	}
	if _, list := h.fleet.state.Evacuation(); len(list) == 0 {
		return false
	}
	t, known := h.fleet.state.Target(s.Target)
	return known && h.fleet.state.IsEvacuated(t.DataCentre)
}
