// Package clock reads a clock that does not stop while the machine is suspended.
//
// The monotonic clock of package time stops then, so that a lease measured by it would
// outlive its length.
package clock
