// Package follow decides which documents an entry host puts in force, from
// what several control hosts send it.
//
// A document never gives way to an older one. An entry host that remembers
// nothing puts no document in force until a majority of the control hosts has
// reported, because any single one may have been cut off for long: every
// chosen document was accepted by a majority, and two majorities have a
// control host in common. The package does no I/O and reads no clock.
package follow
