// Package entry runs an entry host: it accepts calls, has the engine of each
// service decide about them, and forwards them to targets.
//
// One actor owns the engine of each service. Requests and responses stream
// between the caller and the target and never pass through an actor.
package entry
