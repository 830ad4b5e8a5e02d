// Package follow decides which documents an entry host puts in force, that is,
// acts on, given the documents and reports that it receives from several control
// hosts.
//
// A document is chosen once a majority of the control hosts has accepted it;
// revisions number the chosen documents of one name. A control host sends the
// documents that it knows to be chosen and then reports the newer revisions that
// it has accepted without knowing whether they are chosen.
//
// A document in force is never replaced by an older revision. An entry host
// without saved documents puts no document in force until a majority of the
// control hosts has reported, because a single one may have been partitioned for
// long. Every chosen document was accepted by a majority, and two majorities
// intersect in a control host, so the documents and reports of a majority name
// every chosen revision. A Follower that has received all these revisions is
// confirmed. The package does no I/O and reads no clock.
package follow
