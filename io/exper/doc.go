// Package exper runs experiments that compare routing policies on real processes. It
// starts control hosts, entry hosts and stub targets (see io/stub) on loopback, sends
// calls while the targets misbehave, and tabulates outcomes and latencies as callers
// saw them.
//
// A routing policy is the way in which an entry host chooses a target for a call. A
// scenario is a load pattern together with the misbehaviour of the targets. A fleet is
// the set of processes of one scenario.
//
// All policies of a scenario run in turn on the same processes. There are several such
// rounds, each with its own seed, and the order of the policies rotates with each
// round. Latencies count from when each call was due. The network delay is that of
// loopback, and all processes share one machine. Therefore compare policies within one
// run rather than absolute times.
package exper
