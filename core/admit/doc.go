// Package admit queues the calls that wait for a target, estimates how long
// they wait, and limits retries.
//
// The queue is bounded by the total weight of its calls and by how long each
// may wait. Calls are served by rank, lower ranks first. Among calls of one rank,
// those marked as patient are served after the others, the prompt ones; calls of
// equal priority are served in order of arrival. EstimateWait derives the wait,
// and so the time after which a refused caller should retry, from the rate at
// which calls leave the queue.
package admit
