// Package engine schedules the calls of one service on one entry host: it sends
// a call to a target, queues it, retries it or refuses it.
//
// A Scheduler is a state machine that turns timed events into actions. It does no
// I/O, reads no clock and draws random numbers only from the generator passed to
// NewScheduler. It is not safe for concurrent use: one actor owns each Scheduler.
package engine
