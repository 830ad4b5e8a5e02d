// Package feed replicates the state of a fleet: the known control hosts, the
// plan in force and the targets. Control hosts stream their copy, a State, to
// entry hosts and to each other. A Follower merges the streams of all control
// hosts that it discovers into its own copy.
//
// A follower finds control hosts at seed addresses, which are configured, and
// through the control hosts that it already follows. A view is the set of control
// hosts that vote on the plan, numbered by its epoch; a control host is current
// while a majority has recently confirmed that it has learnt every agreed value.
// The first batch of a stream is the update that brings the follower up to date.
//
// A control host relays a target to its followers only if the target, or another
// control host in a Depart request, has told it the target's state. It doesn't
// relay what it knows from the streams of other control hosts. A target's lease
// is the time for which it stays known after its last heartbeat; control hosts
// pass heartbeats on as lease renewals.
package feed
