// Package roster keeps what control hosts have heard of targets. Control hosts
// and entry hosts merge what they are told in any order: of one target the
// later start wins, and of one start the higher sequence number. A departure
// is final for its start.
package roster
