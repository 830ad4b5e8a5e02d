// Package exper runs experiments that compare routing policies on real processes. It
// starts control hosts, entry hosts and test targets on loopback, sends calls while
// the targets misbehave, and tabulates outcomes and latencies as callers saw them.
//
// All policies of a scenario run in turn on the same processes, in an order that
// rotates with each seed. Latencies count from when each call was due. The network
// delay is that of loopback, and all processes share one machine. Therefore compare
// policies within one run rather than absolute times.
package exper
