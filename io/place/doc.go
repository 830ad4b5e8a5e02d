// Package place delegates the decisions about a service's calls to one control
// host, which sees the calls of all entry hosts. Entry hosts stream call events
// to it and receive the engine's decisions. An entry host without a reachable
// control host decides by itself.
//
// A ClientPool on each entry host keeps a stream to every control host and picks,
// for each service, the same one as the other entry hosts. A Server on each control
// host runs the engines and probes the targets of the services for which it gets
// calls. A decision is missed when it does not arrive in time, as the entry host
// reports with RecordMissedDecision. A call has one ID at its entry host and
// another at the control host; CallEvent and CallDecision carry the former.
package place
