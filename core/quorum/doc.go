// Package quorum replicates service documents between the control hosts.
//
// Every document is one CASPaxos register, replicated to all control hosts. A
// change runs two rounds over a majority: Prepare reads the newest accepted
// value and blocks lower ballots, Accept stores the changed value. There is no
// log and no leader. Source: D. Rystsov, "CASPaxos: Replicated State Machines
// without logs", arXiv:1802.07000, 2018.
//
// The package does no I/O. Callers must sync the records that an Acceptor
// returns to disk before they send its replies.
package quorum
