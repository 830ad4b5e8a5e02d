// Package follow decides which documents an entry host puts in force, given the
// documents and reports that it receives from several control hosts.
//
// A document is never replaced by an older revision. An entry host without saved
// documents puts no document in force until a majority of the control hosts has
// reported, because a single one may have been partitioned for long. Every
// chosen document was accepted by a majority, and two majorities intersect in a
// control host. The package does no I/O and reads no clock.
package follow
