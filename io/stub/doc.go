// Package stub provides a stub target for tests and experiments: an HTTP server that
// does no work. It has a limited number of slots, the calls that it runs at once, and
// a queue for further calls. It holds a slot for a random service time drawn from a
// seed, and records every call that it ran. It announces itself to entry hosts as a
// real target does, and can misbehave: be slow, fail, or report a false load. A noisy
// neighbour, another program on its machine, is simulated by longer service times. A
// target is cold while it has not warmed up, and an incarnation is one run of its process.
package stub
