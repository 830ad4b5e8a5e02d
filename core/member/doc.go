// Package member replicates the announced targets between entry hosts by
// gossip.
//
// A target announces itself to an entry host at an interval. Every start of the
// target is a new incarnation with a higher number. One entry host owns the
// target's lease, and the epoch counts the changes of owner. The lease expires
// after LeaseIntervals intervals without an announcement, or OwnerTimeout after
// the last message of the owner. A target is suspect if its lease has expired or
// its owner is silent; it stays usable, that is, it may get calls, for as long as
// it responds to them or, without calls, for UnusedTimeout. A target in state
// Leaving has departed, and its record is a tombstone.
//
// A Node is the state machine of one entry host. It takes events and the time
// and returns actions; it does no I/O, reads no clock, and takes random numbers
// only from the given generator. It is not safe for concurrent use.
//
// Records form a join semilattice: Record.Join is commutative, associative
// and idempotent, so hosts that merge the same records in any order, any number
// of times, reach the same table. Only changes are sent (spread). They travel
// along a ring, the sorted names of all entry hosts: each host sends them to the
// next two and to the opposite one. Periodic digests, one hash per bucket of
// records, find what was lost; a repair then exchanges the records of the buckets
// that differ (anti-entropy). Source of the digests: A. Demers et al., "Epidemic
// Algorithms for Replicated Database Maintenance", PODC 1987.
//
// Limits: a tombstone is kept for TombstoneTime, and the table holds at most
// MaxTargets targets.
package member
