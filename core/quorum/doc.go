// Package quorum replicates documents between the control hosts: one per
// service, and the plan.
//
// Every document is one CASPaxos register, replicated to all control hosts. A
// change runs two rounds over a majority: Prepare reads the newest accepted
// value and blocks lower ballots, Accept stores the changed value. A ballot is
// the number of one such attempt. A value is chosen once a majority has accepted
// it under one ballot; a host has learnt it once it knows that. There is no log
// and no leader. Source: D. Rystsov, "CASPaxos: Replicated State Machines without
// logs", arXiv:1802.07000, 2018.
//
// A revision numbers the values of a document, one for each change. A ticket is
// the number that a Node gives to a change or a read and repeats in its Result.
//
// An incarnation identifies the state of one host's disk. A host that has lost
// its disk, or finds it damaged, starts a new incarnation and recovers: it does
// not vote, that is, it neither promises nor accepts, until it has read the
// registers of RecoveryQuorum voting hosts. Votes of its earlier incarnations
// no longer count. If all hosts are blank (their disks are empty), they
// bootstrap the cluster without any document; the founders are the incarnations
// that did so.
//
// A view is the set of control hosts that replicate a document, numbered by its
// epoch. A change with Change.Next ends the view; the hosts of the next view
// continue from its last value with new Nodes.
//
// The package does no I/O. Callers must sync the records that an Acceptor or a
// Node returns to disk before they send its replies.
package quorum
