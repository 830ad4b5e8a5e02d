// Command target is an example of a target. It announces itself, renews its
// announcement, answers calls and announces its departure when it stops.
//
// An announcement tells an entry host of the load balancer where the target accepts
// calls and in which state it is. An incarnation is one run of the target's process.
//
// It uses only the standard library, so that announcer.go can be copied. The
// protocol is described in docs/TARGETS.md.
package main
