// Package rank orders the control hosts that may decide for a service, without messages
// between them.
//
// Every host computes the same order from the service's name and the hosts' addresses
// by rendezvous hashing: the first one decides, the second one when the first is not
// there, and so on. A host that joins or leaves moves only the services for which it is
// the first. What all deciding hosts share, such as a retry budget, is divided by
// position, so that the shares of any set of hosts add up to less than the whole.
//
// Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
//
// The package does no I/O and reads no clock.
package rank
