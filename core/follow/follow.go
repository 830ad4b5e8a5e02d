package follow

import (
	"maps"
	"slices"

	"cardamomspool/core/spec"
	"cardamomspool/core/voter"
)

// Follower holds the documents of one entry host. Use New. It is not safe for
// concurrent use.
type Follower struct {
	majority int
	// newest holds the newest document received of each name, in force or not.
	newest map[string]spec.Versioned
	// inForce holds the revision in force of each name.
	inForce map[string]uint64
	// highest holds the highest revision of each name that any control host has
	// sent or accepted.
	highest map[string]uint64
	// reported holds the control hosts that have reported.
	reported map[string]bool
	// trusted and confirmed are set by Trust and advance and never cleared.
	trusted   bool
	confirmed bool
}

// New returns a Follower of the given number of control hosts, which must be
// positive.
func New(controls int) *Follower {
	return &Follower{
		majority: voter.Majority(controls), newest: make(map[string]spec.Versioned), inForce: make(map[string]uint64),
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
// chosen. accepted holds, by document name, newer revisions that the control host
// has accepted without knowing whether they are chosen; the Follower is not
// confirmed until it has received them. Report appends the documents to be put in
// force to dst and returns it.
func (f *Follower) Report(dst []spec.Versioned, control string, accepted map[string]uint64) []spec.Versioned {
	f.reported[control] = true
	for name, revision := range accepted {
		f.raiseHighest(name, revision)
	}
	return f.advance(dst)
}

// Confirmed reports whether the Follower has at some time had reports from a
// majority of the control hosts and the newest known revision of every document.
// It stays true from then on.
func (f *Follower) Confirmed() bool {
	return f.confirmed
}

// Reported returns the number of control hosts that have reported and the number
// needed for a majority.
func (f *Follower) Reported() (count, needed int) {
	return len(f.reported), f.majority
}

// Outdated returns the sorted names of the documents whose highest known revision
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

// Received returns the newest received or restored revision of each document, by
// name.
func (f *Follower) Received() map[string]uint64 {
	received := make(map[string]uint64, len(f.newest))
	for name, v := range f.newest {
		received[name] = v.Revision
	}
	return received
}

// raiseHighest records that a revision of a document exists.
func (f *Follower) raiseHighest(name string, revision uint64) {
	f.highest[name] = max(f.highest[name], revision)
}

// advance updates confirmed. If the Follower is confirmed or trusted, it puts all
// received documents in force that are newer than those in force and appends them
// to dst.
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
