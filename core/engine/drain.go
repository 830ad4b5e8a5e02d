package engine

import (
	"slices"
	"time"

	"cardamomspool/core/member"
)

// updateTargets applies the last received records, with the document's drained
// targets, to the table, and then dispatches held calls.
func (s *Scheduler) updateTargets(dst []Action, now time.Time) []Action {
	s.targets.Update(markDraining(s.records, s.doc.Targets.Drain), s.doc.Route.Ramp.Std(), now)
	return s.dispatchHeld(dst, now)
}

// markDraining returns records in which the targets in names are at least
// draining; a leaving target stays so. It does not modify its argument.
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
