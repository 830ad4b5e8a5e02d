// Package halt divides the time that a host has for a graceful stop into phases.
//
// A host first drains: it reports that it is not ready and accepts calls until the load
// balancer in front of it has noticed. It then accepts no connections, and only calls that
// end in time. Shortly before the cut it refuses the calls that it holds, and at the cut
// it closes the connections of those that are still at targets. What is left until its
// supervisor ends the process by force is a reserve for the exit. Host.Phases derives
// these moments from what the operators know: the time that the supervisor grants and the
// health check of the balancer.
//
// The package does no I/O and reads no clock. All times are durations.
package halt
