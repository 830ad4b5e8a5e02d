// Package engine decides what happens to the calls of one service on one
// entry host: send, hold, send again or refuse.
//
// A Service is a state machine. Events come in with the time, actions come
// out; it does no I/O, reads no clock and draws randomness only from the
// generator it was given. It is not safe for concurrent use: one actor owns
// each Service.
package engine
