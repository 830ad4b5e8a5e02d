package follow

import (
	"maps"
	"slices"

	"cardamomspool/core/spec"
)

// Follower holds the documents of one entry host. Use New. It is not safe for
// concurrent use.
type Follower struct {
	majority int
	// newest holds the newest documents received, in force or not.
	newest map[string]spec.Versioned
	// inForce holds the revisions in force.
	inForce map[string]uint64
	// highest holds the highest revisions known to exist.
	highest   map[string]uint64
	reported  map[string]bool
	trusted   bool
	confirmed bool
}

// New returns a Follower of the given number of control hosts, which must be
// positive.
func New(controls int) *Follower {
	return &Follower{
		majority: controls/2 + 1, newest: make(map[string]spec.Versioned), inForce: make(map[string]uint64),
		highest: make(map[string]uint64), reported: make(map[string]bool),
	}
}

// Restore restores a document that was in force before this entry host
// restarted. It appends the document to dst if it is to be put in force, and
// returns dst.
func (f *Follower) Restore(dst []spec.Versioned, v spec.Versioned) []spec.Versioned {
	f.raiseHighest(v.Name, v.Revision)
	if v.Revision <= f.inForce[v.Name] {
		return dst
	}
	f.newest[v.Name] = v
	f.inForce[v.Name] = v.Revision
	return append(dst, v)
}

// Trust declares that all documents that this entry host ever had in force have
// been restored. Newer documents are then put in force without confirmation.
func (f *Follower) Trust() {
	f.trusted = true
}

// Update records a chosen document received from a control host. It appends the
// documents to be put in force to dst and returns it.
func (f *Follower) Update(dst []spec.Versioned, v spec.Versioned) []spec.Versioned {
	f.raiseHighest(v.Name, v.Revision)
	if v.Revision > f.newest[v.Name].Revision {
		f.newest[v.Name] = v
	}
	return f.advance(dst)
}

// Report records that a control host has sent all documents that it knows to be
// chosen. accepted holds the revisions that it has accepted beyond those. Report
// appends the documents to be put in force to dst and returns it.
func (f *Follower) Report(dst []spec.Versioned, control string, accepted map[string]uint64) []spec.Versioned {
	f.reported[control] = true
	for name, revision := range accepted {
		f.raiseHighest(name, revision)
	}
	return f.advance(dst)
}

// Confirmed reports whether a majority of the control hosts has reported and
// every document that they know of has been received.
func (f *Follower) Confirmed() bool {
	return f.confirmed
}

// Reported returns the number of control hosts that have reported and the number
// needed for a majority.
func (f *Follower) Reported() (count, needed int) {
	return len(f.reported), f.majority
}

// Outdated returns the sorted names of the documents whose newest known revision
// has not been received.
func (f *Follower) Outdated() []string {
	var names []string
	for name, revision := range f.highest {
		if f.newest[name].Revision < revision {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Received returns the newest received revision of each document.
func (f *Follower) Received() map[string]uint64 {
	received := make(map[string]uint64, len(f.newest))
	for name, v := range f.newest {
		received[name] = v.Revision
	}
	return received
}

func (f *Follower) raiseHighest(name string, revision uint64) {
	f.highest[name] = max(f.highest[name], revision)
}

// advance puts all documents in force that are newer than those in force, and
// appends them to dst. It does nothing before the Follower is confirmed or
// trusted.
func (f *Follower) advance(dst []spec.Versioned) []spec.Versioned {
	f.confirmed = f.confirmed || len(f.reported) >= f.majority && len(f.Outdated()) == 0
	if !f.confirmed && !f.trusted {
		return dst
	}
	for _, name := range slices.Sorted(maps.Keys(f.newest)) {
		if v := f.newest[name]; v.Revision > f.inForce[name] {
			f.inForce[name] = v.Revision
			dst = append(dst, v)
		}
	}
	return dst
}
