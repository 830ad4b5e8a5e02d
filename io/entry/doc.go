// Package entry runs an entry host: it accepts calls, has the engine of each
// service decide about them, and forwards them to targets.
//
// One actor owns the engine of each service. Requests and responses stream
// between the caller and the target and never pass through an actor.
//
// An entry host runs in one of two ways. On its own it decides about every call
// itself: it receives one document (configuration) per service from the control
// hosts and learns of targets from their announcements, which it shares with the
// other entry hosts. Package follow explains when documents are chosen, confirmed
// and in force, package member how the announcements are shared.
//
// In a fleet, that is, a set of entry and control hosts (package feed), it receives
// a plan (routes and services) and the targets from the control hosts and delegates
// the decisions about calls to them. It decides by itself only when no control host
// can be picked or the one for the call's service does not decide in time. It then
// sends each target one call at a time, keeps a short queue and never retries.
//
// A decision is an action of an engine: send the call to a target, hold it in the
// queue, or refuse it. Each send leads to one attempt, whose result is Answered,
// Broken (the response was cut short), NotRun (the target cannot have run the call)
// or Unknown (it may have). The aim of a call is the latency within which its
// answer has its full value. The class of a call holds its aim, deadline and rank
// (package engine). Each attempt reads the request body through a view of its own.
//
// Package links has the connections to targets, package signs what this host has learnt from
// targets.
package entry
