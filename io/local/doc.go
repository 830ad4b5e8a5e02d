// Package local runs a small whole system in one process on loopback, for trying it
// out: control hosts, entry hosts and stub targets (see io/stub).
package local
