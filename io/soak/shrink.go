package soak

import (
	"context"
	"slices"
)

// shrinkRuns bounds the runs that Shrink makes.
const shrinkRuns = 24

// Shrink looks for fewer events that fail as the ones of report did. It leaves
// out ever smaller parts of them and keeps what still fails when run, and
// returns the last report that failed. A failure that depends on timing may need
// more events than it shows. Source: A. Zeller and R. Hildebrandt, "Simplifying
// and Isolating Failure-Inducing Input", IEEE Transactions on Software
// Engineering 28(2), 2002.
func Shrink(ctx context.Context, report Report, run func(context.Context, []Event) (Report, error)) Report {
	events := report.events
	runs := 0
	for parts := 2; len(events) > 1 && parts <= len(events); {
		smaller := false
		size := (len(events) + parts - 1) / parts
		for from := 0; from < len(events); from += size {
			if runs++; runs > shrinkRuns || ctx.Err() != nil {
				return report
			}
			rest := slices.Concat(events[:from], events[min(from+size, len(events)):])
			if r, err := run(ctx, rest); err != nil && len(r.Faults) > 0 {
				report, events, smaller = r, rest, true
				parts = max(parts-1, 2)
				break
			}
		}
		if !smaller {
			parts *= 2
		}
	}
	return report
}
