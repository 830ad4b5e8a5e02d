// Package route picks the target of a call.
//
// A Table holds the targets of one service, one row each, with the calls that
// this entry host has in flight to them. Choose applies one of a sealed set
// of policies to the table. The package reads no clock and draws randomness
// only from the generator passed in.
package route
