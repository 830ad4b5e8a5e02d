// Package entry runs an entry host: it accepts calls, has the engine of each
// service decide about them, and forwards them to targets.
//
// One actor owns the engine of each service. Requests and responses stream
// between the caller and the target and never pass through an actor.
//
// An entry host runs in one of two ways. On its own it decides about every call
// itself: it receives one document (configuration) per service from the control
// hosts and learns of targets from their announcements, which it shares with the
// other entry hosts. In a fleet it receives a plan (routes and services) and the
// targets from control hosts and delegates the decisions about calls to them; it
// decides locally, within narrow limits, only when none of them is connected or the
// one for the call's service does not decide in time.
//
// A decision is an action of an engine: send the call to a target, hold it in the
// queue, or refuse it. Each send leads to one attempt, whose result is Answered,
// Broken (the response was cut short), NotRun (the target cannot have run the call)
// or Unknown (it may have). The aim of a call is its target latency.
//
// A connection to a target is clean when nothing followed the last response;
// only then is it used again. Stray bytes are those that arrive outside a
// response. A sealed connection sends nothing more. A silent one carries a
// request but has received no byte of the response for too long.
package entry
