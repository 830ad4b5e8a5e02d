package route

import "cardamomspool/core/wire"

type (
	// ProbeResult is how a probe ended.
	ProbeResult uint8

	// Probe is what a probe showed of its target.
	Probe struct {
		// Result is how it ended.
		Result ProbeResult
		// Load is the target's report; it counts when Reported is true.
		Load wire.Load
		// Reported says that the answer carried a valid report.
		Reported bool
	}
)

// The results of a probe.
const (
	// ProbeWell means that the target says that it is healthy.
	ProbeWell ProbeResult = iota + 1
	// ProbeIll means that the target says that it is not.
	ProbeIll
	// ProbeLost means that there was no answer in time.
	ProbeLost
	// ProbeGone means that another target answered.
	ProbeGone
)

// probeLostWeight is the weight of a lost probe in the moving share of
// failures; two in a row leave the target out.
const probeLostWeight = 0.35
