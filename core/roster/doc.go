// Package roster holds the targets that send heartbeats to the control hosts.
//
// A report is what a target says about itself in a heartbeat or on departure.
// Control hosts and entry hosts merge reports in any order: the later start of a
// target wins, and within one start the higher sequence number. A departure (a
// report in state leaving) is final for its start. An address belongs to the
// target that started there last, its holder; the previous holder counts as
// departed. A target is kept for Lease after its last report, a departed one for
// DepartureTime.
package roster
