// Package admit queues the calls that wait for a target, shares the targets among client
// accounts, estimates how long calls wait, and limits retries.
//
// The queue is bounded by the total weight of its calls and by how long each
// may wait. Calls are served by rank, lower ranks first. Among calls of one rank, the one
// with the lowest start tag goes first; Fair assigns the tags, and without accounts they
// are equal. Among calls of equal tags, urgent ones go first, and those
// marked as patient are served after the others, the prompt ones; calls of
// equal priority are served in order of arrival. EstimateWait derives the wait,
// and so the time after which a refused caller should retry, from the rate at
// which calls leave the queue. Flow.Wait also allows for calls of other accounts that arrive
// later. Floor guarantees a part of the calls of every account, class and rank.
package admit
