// Package pace bounds the work that a host makes for others and for itself when hundreds
// of hosts follow it.
//
// A control host sends each change to every follower, so that the work of a burst of
// changes grows with changes times followers; Batch makes it grow with the followers
// alone. A follower that gives up a stream from a busy host and opens another one adds
// to what keeps that host busy; Patience makes it wait longer each time.
//
// The load pattern behind both: all hosts of a fleet start at the same moment, and a
// thousand targets announce themselves within the next seconds.
//
// The package does no I/O and reads no clock.
package pace
