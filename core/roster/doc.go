// Package roster holds the targets that send heartbeats to the control hosts.
// Control hosts and entry hosts merge reports in any order: the later start of a
// target wins, and within one start the higher sequence number. A departure is
// final for its start.
package roster
