// Package local runs a small whole system in one process on loopback, for trying it
// out: control hosts, entry hosts and stub targets (see io/stub). Entry hosts accept calls
// and pass them on to the targets. Control hosts store the sample document, which says
// how the calls of the system's one service are handled.
package local
