// Package ctrl runs a control host: it stores the consensus registers on disk,
// proposes operators' changes to a majority of control hosts, and streams the
// chosen documents to entry hosts.
//
// A register is this host's copy of one document in the consensus protocol of
// package quorum; the state machine of the protocol is the node. A value is
// accepted once it is in the host's register, chosen once a majority has
// accepted it, and learnt once the host knows that it is chosen. A host is
// current while a majority has recently confirmed that it has learnt everything.
// The node gives each change and each read a number, the ticket, and returns the
// result under it. A host that has lost what it stored recovers it from the other
// hosts, and does not vote until then.
//
// The control hosts are either listed in the settings, and agree on one document
// for each service, or form a fleet. The control hosts of a fleet discover each
// other from seed addresses and agree on a single document, the plan, which
// defines all services and routes. Only the members of the current view vote;
// views are numbered by epoch, and each has its own vote folder on disk. The
// members agree on the next view when one is lost or further hosts can join. A
// control host of a fleet also keeps the state of the targets, chooses targets
// for the calls of entry hosts (placement), and serves the operators and the
// targets at its front address.
package ctrl
