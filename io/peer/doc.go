// Package peer implements the gRPC transport between the system's own processes:
// consensus between control hosts, the streams of configuration, fleet state and
// call decisions to entry hosts, and membership between entry hosts.
//
// An envelope is a message of the consensus protocol with its sender and receiver
// (package quorum). A record is what entry hosts tell each other about a target
// (package member). The functions From... convert to protobuf messages, and the
// functions To... convert back and check what they received.
//
// The code in peerpb is generated from peer.proto by gen.sh and committed. Some of
// its names differ from those of the Go types: a record's voucher is its Owner,
// lapsed is LeaseExpired, and a fetch's held revisions are its Learnt.
package peer
