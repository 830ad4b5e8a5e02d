// Package broker runs the engine of one service as an actor. Entry hosts run
// one for each service that they decide for themselves, control hosts one for
// each service that they decide for all entry hosts.
package broker
