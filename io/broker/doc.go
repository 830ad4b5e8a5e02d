// Package broker runs the engine of one service as an actor. An entry host runs
// one broker for each service whose calls it places itself. A control host runs
// one for each service whose calls it places for all entry hosts.
package broker
