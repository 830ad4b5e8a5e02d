package feed

import (
	"slices"
	"sync"

	"cardamomspool/core/member"
	"cardamomspool/io/peer/peerpb"
)

// evacuations is the list of data centres whose targets get no calls. Its change number is the
// revision of the list. It has a lock of its own. The zero value holds no list.
type evacuations struct {
	mu       sync.Mutex
	revision uint64 // Of the agreed value; 0 when no order was ever given.
	list     []string
}

// merge puts a list in force if its revision is higher than that of the list in force. It
// returns the data centres that were added and removed, and whether the list is newer.
func (e *evacuations) merge(revision uint64, list []string) (added, removed []string, newer bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision <= e.revision {
		return nil, nil, false
	}
	added, removed = without(list, e.list), without(e.list, list)
	e.revision, e.list = revision, slices.Clone(list)
	return added, removed, true
}

// without returns the elements of list that others does not have.
func without(list, others []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(others, s) })
}

// current returns the list in force and its revision. The caller must not modify the list.
func (e *evacuations) current() (uint64, []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision, e.list
}

// SetEvacuation puts the list of evacuated data centres of the agreed value with the given
// revision in force, if that is higher than the revision of the list in force, and reports
// whether it did. Targets in these data centres are left out of the records that are
// delivered from then on.
func (s *State) SetEvacuation(revision uint64, dataCentres []string) bool {
	added, removed, newer := s.evacuations.merge(revision, dataCentres)
	if !newer {
		return false
	}
	if len(added) > 0 {
		s.metrics.Counter("evacuations_begun").Add(int64(len(added)))
		s.log.Info("evacuation in force", "revision", revision, "data_centres", added)
	}
	if len(removed) > 0 {
		s.metrics.Counter("evacuations_withdrawn").Add(int64(len(removed)))
		s.log.Info("evacuation withdrawn", "revision", revision, "data_centres", removed)
	}
	if len(added)+len(removed) > 0 {
		for _, t := range s.targets.all() {
			if slices.Contains(added, t.DataCentre) || slices.Contains(removed, t.DataCentre) {
				s.deliveries.mark(t.Service)
			}
		}
		s.deliveries.run()
	}
	s.waker.notifyUrgent()
	return true
}

// Evacuation returns the evacuated data centres and the revision of the agreed value that
// lists them, 0 when no order was ever given. The caller must not modify the list.
func (s *State) Evacuation() (uint64, []string) {
	return s.evacuations.current()
}

// IsEvacuated reports whether the targets of a data centre get no calls.
func (s *State) IsEvacuated(dataCentre string) bool {
	_, list := s.evacuations.current()
	return slices.Contains(list, dataCentre)
}

// Records returns the targets of a service that are not in evacuated data centres.
func (s *State) Records(service string) []member.Record {
	list := s.targets.records(service)
	if _, evacuated := s.evacuations.current(); len(evacuated) > 0 {
		list = slices.DeleteFunc(list, func(r member.Record) bool { return slices.Contains(evacuated, r.DataCentre) })
	}
	return list
}

// fromEvacuation returns the message with the list in force if it is newer than revision,
// the one that the follower holds, and nil otherwise.
func (s *State) fromEvacuation(revision uint64) *peerpb.Evacuation {
	current, list := s.evacuations.current()
	if current <= revision {
		return nil
	}
	return &peerpb.Evacuation{Revision: current, DataCentres: list}
}
