// Package client is a client of the operators' API of the control hosts.
//
// A final answer is any complete answer, except one with status 503 or one with
// status 200 that cannot be decoded. A request that gets no final answer is retried
// on the next control host, with the same idempotency key, until its context ends.
// The control hosts carry out a change at most once, however often it arrives.
package client
