// Package feed replicates the state of a fleet: the known control hosts, the
// plan in force and the targets. Control hosts stream their copy, a State, to
// entry hosts and to each other. A Follower merges the streams of all control
// hosts that it discovers into its own copy.
package feed
