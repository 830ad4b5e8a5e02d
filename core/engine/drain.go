package engine

import (
	"slices"
	"time"

	"cardamomspool/core/member"
)

// updateTargets updates the table from the last received records, in which it
// marks the targets that the document drains, and then sends queued calls.
func (s *Scheduler) updateTargets(dst []Action, now time.Time) []Action {
	s.targets.Update(markDraining(s.records, s.doc.Targets.Drain), s.doc.Route.Ramp.Std(), now)
	return s.dispatchQueued(dst, now)
}

// markDraining returns records with the targets in names set to Draining, except
// those that are already Leaving. It does not modify records.
func markDraining(records []member.Record, names []string) []member.Record {
	if len(names) == 0 {
		return records
	}
	list := slices.Clone(records)
	for i := range list {
		if slices.Contains(names, list[i].Target) {
			list[i].State = max(list[i].State, member.Draining)
		}
	}
	return list
}
