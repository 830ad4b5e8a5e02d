package route

import (
	"time"

	"cardamomspool/core/wire"
)

type (
	// ProbeResult says whether a probe was answered and as what.
	ProbeResult uint8

	// Probe is what a probe, a health check that this host sent, revealed about
	// its target.
	Probe struct {
		// Result says whether the probe was answered and as what.
		Result ProbeResult
		// Leaving says that the target is draining or leaves.
		Leaving bool
		// Load is the target's load report; valid when Reported is true.
		Load wire.Load
		// Reported says that the answer carried a valid load report.
		Reported bool
		// Limit is the limit that the answer named. A probe that names none does not
		// end a limit, as targets need not name it in answers to probes.
		Limit wire.Limit
		// Rest is the time for which the target wants no requests from this host; 0
		// for none.
		Rest time.Duration
		// WarmFor is how long the target stays cold; 0 when it did not say. A probe that
		// names none does not make a target warm.
		WarmFor time.Duration
	}
)

// The results of a probe.
const (
	// ProbeHealthy means that the target reported that it is healthy.
	ProbeHealthy ProbeResult = iota + 1
	// ProbeUnhealthy means that the target reported that it is unhealthy.
	ProbeUnhealthy
	// ProbeLost means that there was no answer in time.
	ProbeLost
	// ProbeAddressTaken means that another target answered at the address.
	ProbeAddressTaken
)

const (
	// maxLostProbes is the number of probes lost in a row from which a target is
	// out of use.
	maxLostProbes = 2
	// lostProbeMemory is the time for which a lost probe counts against a target
	// that is not probed again, as when the service has few calls.
	lostProbeMemory = time.Second
	// probeEvidence is how long an answered probe shows that a target can be reached:
	// some probe intervals.
	probeEvidence = 500 * time.Millisecond
)
