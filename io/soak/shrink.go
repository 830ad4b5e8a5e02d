package soak

import (
	"context"
	"slices"
)

// maxShrinkRuns is the greatest number of runs that Shrink makes.
const maxShrinkRuns = 24

// Shrink searches for a smaller set of events that still makes a run fail, by
// delta debugging: it leaves out ever smaller subsets of the events of report and
// goes on with the remaining events if run still finds faults. When run finds
// faults, it returns an error together with its report. Shrink returns the last
// report with faults. A failure that depends on timing may not happen again with
// the events of the result.
// Source: A. Zeller and R. Hildebrandt, "Simplifying and Isolating Failure-Inducing
// Input", IEEE Transactions on Software Engineering 28(2), 2002.
func Shrink(ctx context.Context, report Report, run func(context.Context, []Event) (Report, error)) Report {
	events := report.events
	runs := 0
	for subsetCount := 2; len(events) > 1 && subsetCount <= len(events); {
		smaller := false
		size := (len(events) + subsetCount - 1) / subsetCount
		for from := 0; from < len(events); from += size {
			if runs++; runs > maxShrinkRuns || ctx.Err() != nil {
				return report
			}
			rest := slices.Concat(events[:from], events[min(from+size, len(events)):])
			if r, err := run(ctx, rest); err != nil && len(r.Faults) > 0 {
				report, events, smaller = r, rest, true
				subsetCount = max(subsetCount-1, 2)
				break
			}
		}
		if !smaller {
			subsetCount *= 2
		}
	}
	return report
}
