// Package exper compares routing policies on real processes: it starts control
// hosts, entry hosts and stand-in targets on loopback, sends them calls while
// the targets misbehave, and tabulates what callers saw.
//
// All policies of a scenario are run in turn on the same processes, in an
// order that changes with each seed. Calls are timed from when they were due.
// Network delay is that of loopback, and all processes share one machine, so
// absolute times tell less than the comparison of policies in one run.
package exper
