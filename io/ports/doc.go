// Package ports finds loopback ports for whole systems on one machine.
//
// Ports are taken from below the range from which the kernel picks the ports
// of outgoing connections, so that a port that was free is not taken by one of
// those before its listener starts.
package ports
