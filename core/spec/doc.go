// Package spec defines the service document: everything an operator sets for
// one service, and the one place where it is validated.
//
// The control hosts, the console and the command line all call Parse, so that
// a document is refused for the same reasons everywhere.
package spec
