package ctrl

// HoldSteps stalls the node of h, as a stalled disk does, until the returned function is
// called.
func HoldSteps(h *Host) (release func()) {
	h.stepMu.Lock()
	return h.stepMu.Unlock
}
