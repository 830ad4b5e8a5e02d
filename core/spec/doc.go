// Package spec defines and validates the service document, which holds
// everything that an operator sets for one service.
//
// The control hosts, the console and the command line all call Parse, so that a
// document is rejected for the same reasons everywhere.
//
// The class of a call holds its limits and its priority in the queue. Calls are
// served by rank, lower ranks first, and within a rank those marked as patient are
// served after the others, the prompt ones. The aim of a call is the latency within
// which an answer has its full value.
package spec
