package entry

import (
	"cardamomspool/core/plan"
	"cardamomspool/io/setup"
)

// planLimits returns the limits of the plan in force; zero ones outside a fleet and without a
// plan.
func (h *Host) planLimits() plan.Limits {
	if h.fleet == nil {
		return plan.Limits{}
	}
	v := h.fleet.active.Load()
	if v == nil {
		return plan.Limits{}
	}
	return v.plan.Limits
}

// maxBodyBytes returns the longest body of a request: that of the settings, or of the plan if it
// allows more.
func (h *Host) maxBodyBytes() int {
	return max(h.callers.MaxBodyBytes, h.planLimits().BodyBytes)
}

// maxHeaderBytes returns the longest header of a request, as maxBodyBytes does for bodies.
func (h *Host) maxHeaderBytes() int {
	if !h.maxHeaderBytesVaries() {
		return h.callers.MaxHeaderBytes
	}
	return min(max(h.callers.MaxHeaderBytes, h.planLimits().HeaderBytes), setup.MaxHeaderBytesLimit)
}

// maxHeaderBytesVaries reports whether the longest header can change while the host serves. With
// TLS the length of a header is known to net/http alone, whose limit is fixed.
func (h *Host) maxHeaderBytesVaries() bool {
	return h.fleet != nil && h.keyPair == nil
}

// headerCeiling returns the most that maxHeaderBytes can become.
func (h *Host) headerCeiling() int {
	if h.maxHeaderBytesVaries() {
		return setup.MaxHeaderBytesLimit
	}
	return h.callers.MaxHeaderBytes
}
