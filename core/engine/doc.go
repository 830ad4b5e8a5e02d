// Package engine schedules the calls of one service on one entry host: it sends
// a call to a target, queues it, retries it or refuses it.
//
// A Scheduler is a state machine that turns timed events into actions. It does no
// I/O, reads no clock and draws random numbers only from the generator passed to
// NewScheduler. It is not safe for concurrent use: one actor owns each Scheduler.
//
// An attempt is one sending of a call to a target. A call is open from its arrival
// until it ends. A cold target has announced itself but is not ready yet. A slot is
// the room for one call at a target. A held call is one that is queued until a
// target has a free slot. A target sheds a call when it rejects the call without
// running it. The aim of a call is the latency within which an answer has its full
// value, and a late call is one that can no longer be answered within its aim. The
// rank of a call is its priority in the queue; lower ranks go first.
package engine
