// Package member replicates the announced targets between entry hosts by
// gossip.
//
// A Node is the state machine of one entry host. It takes events and the time
// and returns actions; it does no I/O, reads no clock, and takes random numbers
// only from the given generator. It is not safe for concurrent use.
//
// Records form a join semilattice: Record.Join is commutative, associative
// and idempotent, so hosts that merge the same records in any order, any number
// of times, reach the same table. Only changes are sent, along a ring with a
// skip link; anti-entropy by periodic digests repairs what was lost. Source of
// the digests: A. Demers et al., "Epidemic Algorithms for Replicated Database
// Maintenance", PODC 1987.
//
// Limits: the tombstone of a departed incarnation is kept for TombstoneTime,
// and the table holds at most MaxTargets targets.
package member
