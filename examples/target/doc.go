// Command target is an example of a target. It announces itself, renews its
// announcement, answers calls and announces its departure when it stops.
//
// It uses only the standard library, so that announcer.go can be copied. The
// protocol is described in docs/TARGETS.md.
package main
