package engine

import (
	"slices"
	"time"

	"cardamomspool/core/member"
)

// retarget puts the records last heard in force, as the document has them, and
// serves held calls.
func (s *Service) retarget(dst []Action, now time.Time) []Action {
	s.targets.Update(drained(s.records, s.doc.Targets.Drain), s.doc.Route.Ramp.Std(), now)
	return s.serveHeld(dst, now)
}

// drained returns the records with the targets called names at least draining.
// The records given stay as they are.
func drained(records []member.Record, names []string) []member.Record {
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
