package follow

import (
	"maps"
	"slices"

	"cardamomspool/core/spec"
)

// Follower holds what one entry host knows of the documents. Use New. It is
// not safe for concurrent use.
type Follower struct {
	majority int
	// newest are the newest documents received, in force or not.
	newest map[string]spec.Versioned
	// force are the revisions in force.
	force map[string]uint64
	// floor are the highest revisions that any control host reported.
	floor     map[string]uint64
	reported  map[string]bool
	trusted   bool
	confirmed bool
}

// New returns a Follower of that many control hosts, which must be positive.
func New(controls int) *Follower {
	return &Follower{
		majority: controls/2 + 1, newest: make(map[string]spec.Versioned), force: make(map[string]uint64),
		floor: make(map[string]uint64), reported: make(map[string]bool),
	}
}

// Restore takes a document that this entry host had in force before it was
// restarted, and appends it to dst when it is to be put in force.
func (f *Follower) Restore(dst []spec.Versioned, v spec.Versioned) []spec.Versioned {
	f.raise(v.Name, v.Revision)
	if v.Revision <= f.force[v.Name] {
		return dst
	}
	f.newest[v.Name] = v
	f.force[v.Name] = v.Revision
	return append(dst, v)
}

// Trust says that the restored documents are all that this entry host ever
// had in force, so that newer ones need no confirmation.
func (f *Follower) Trust() {
	f.trusted = true
}

// Update takes a chosen document from a control host and appends to dst what
// is to be put in force.
func (f *Follower) Update(dst []spec.Versioned, v spec.Versioned) []spec.Versioned {
	f.raise(v.Name, v.Revision)
	if v.Revision > f.newest[v.Name].Revision {
		f.newest[v.Name] = v
	}
	return f.advance(dst)
}

// Report notes that a control host has sent all that it knows to be chosen,
// and which revisions it has accepted beyond that. It appends to dst what is
// to be put in force.
func (f *Follower) Report(dst []spec.Versioned, control string, accepted map[string]uint64) []spec.Versioned {
	f.reported[control] = true
	for name, revision := range accepted {
		f.raise(name, revision)
	}
	return f.advance(dst)
}

// Confirmed reports whether a majority of the control hosts has reported and
// every document that they know of has been received.
func (f *Follower) Confirmed() bool {
	return f.confirmed
}

// Reported returns the number of control hosts that have reported and the
// number needed.
func (f *Follower) Reported() (count, needed int) {
	return len(f.reported), f.majority
}

// Behind returns the names of documents of which a newer revision is known to
// exist than the newest received, in order.
func (f *Follower) Behind() []string {
	var names []string
	for name, revision := range f.floor {
		if f.newest[name].Revision < revision {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Held returns the newest revision received of each document.
func (f *Follower) Held() map[string]uint64 {
	held := make(map[string]uint64, len(f.newest))
	for name, v := range f.newest {
		held[name] = v.Revision
	}
	return held
}

func (f *Follower) raise(name string, revision uint64) {
	f.floor[name] = max(f.floor[name], revision)
}

// advance appends all documents that are newer than those in force, once they
// may be put in force.
func (f *Follower) advance(dst []spec.Versioned) []spec.Versioned {
	f.confirmed = f.confirmed || len(f.reported) >= f.majority && len(f.Behind()) == 0
	if !f.confirmed && !f.trusted {
		return dst
	}
	for _, name := range slices.Sorted(maps.Keys(f.newest)) {
		if v := f.newest[name]; v.Revision > f.force[name] {
			f.force[name] = v.Revision
			dst = append(dst, v)
		}
	}
	return dst
}
