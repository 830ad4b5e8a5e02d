// Package spec defines and validates the service document, which holds
// everything that an operator sets for one service.
//
// The control hosts, the console and the command line all call Parse, so that a
// document is rejected for the same reasons everywhere.
package spec
