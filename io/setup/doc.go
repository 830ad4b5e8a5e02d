// Package setup reads the settings file of a process.
//
// The whole file is checked before the process starts. Unknown fields, values
// out of range and addresses that are not IP addresses are all reported, each
// with its path in the file.
//
// A process is an entry host, which forwards calls to targets, or a control host,
// which stores the documents that operators change. It finds the other hosts in
// one of two ways. Either its file lists them (controls, entries), or it belongs
// to a fleet: then the file lists only seeds, which are the control hosts to ask
// first, and a protocol adapter connects the hosts with their deployment at the
// front address.
//
// A peer is another host of the system, and the peer address is for connections
// between hosts. An announcement is a message in which a target reports itself to
// an entry host. A probe is a health check of a target. The retry budget limits
// the retries of all entry hosts together. A stopping entry host first reports
// itself as not ready and still accepts calls for the drain delay; then the grace
// of its stop begins.
package setup
