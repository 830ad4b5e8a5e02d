// Package broker runs the scheduler of one service (package engine) as an actor. To
// place a call is to choose a target for it, or to queue or refuse it: the scheduler
// does this, upon events, with its actions. As an actor, the broker handles one
// message at a time, so the scheduler needs no lock. A Tick is the event upon which
// the scheduler checks its queued calls.
//
// An entry host runs one broker for each service whose calls it places itself. A
// control host runs one for each service whose calls it places for all entry hosts.
package broker
