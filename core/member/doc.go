// Package member keeps the targets that have announced themselves and shares
// them between entry hosts.
//
// A Node is the state machine of one entry host. Events come in with the
// time, actions come out; it does no I/O, reads no clock, and draws
// randomness only from the generator it was given. It is not safe for
// concurrent use.
//
// Records form a join semilattice: Record.Join is commutative, associative
// and idempotent, so entries may merge in any order, any number of times, and
// reach the same table. Only changes are sent, along a ring with a skip link;
// periodic digests find and repair what was lost. Source of the digests:
// A. Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
// PODC 1987.
//
// Limits: a departed incarnation is remembered for TombstoneTime, and at most
// MaxTargets targets are held.
package member
