// Package check finds faults of a plan before it is sent, and what differs from another one.
//
// Errors are what a control host refuses. Warnings are what it accepts and probably is a
// mistake: routes that never match, limits that contradict each other, services without a
// route. Keys are named by the beginning of their digests.
//
// The package does no I/O.
package check
