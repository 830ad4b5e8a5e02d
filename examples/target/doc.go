// Command target shows what a target must do: announce itself, keep the
// announcement alive, say that it drains and leaves, and answer calls.
//
// It uses the standard library only, so that announcer.go can be copied. The
// protocol is described in docs/TARGETS.md.
package main
