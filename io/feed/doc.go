// Package feed spreads what control hosts know: which control hosts there are,
// the plan in force and the targets. Control hosts serve a Board to entry hosts
// and to each other; a Follower merges the boards of all control hosts that it
// can find into its own.
package feed
