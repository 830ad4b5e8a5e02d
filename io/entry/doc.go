// Package entry runs an entry host: it takes calls, lets the engine of each
// service decide what happens to them, and exchanges them with targets.
//
// One actor owns the engine of each service. Requests and answers stream
// between the caller and the target and never pass through an actor.
package entry
