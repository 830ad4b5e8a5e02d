// Package peer carries the protocols between the system's own processes over
// gRPC: agreement between control hosts, the stream of configuration to entry
// hosts, and membership between entry hosts.
//
// The code in peerpb is generated from peer.proto by gen.sh and committed.
package peer
