// Package place delegates the decisions about a service's calls to one control
// host, which sees the calls of all entry hosts. Entry hosts stream call events
// (the arrival of a call, the result of an attempt, or its cancellation) to it and
// receive the engine's decisions: to send a call, hold it in the queue or refuse it.
// An entry host that can pick no control host decides by itself, outside this
// package.
//
// A ClientPool on each entry host keeps a stream to every control host and picks one
// for each service: the same one on all entry hosts that can reach the same control
// hosts. A Server on each control host runs the engines and probes the targets of
// the services for which it gets calls; the plan (package plan) names the services.
// A decision is missed when it does not arrive in time, as the entry host reports
// with RecordMissedDecision. A call has one ID at its entry host and another at the
// control host; CallEvent and CallDecision carry the ID of the entry host.
package place
