// Package peer implements the gRPC transport between the system's own processes:
// consensus between control hosts, the streams of configuration, fleet state and
// call decisions to entry hosts, and membership between entry hosts.
//
// The code in peerpb is generated from peer.proto by gen.sh and committed.
package peer
