// Package route picks the target of a call.
//
// A Table holds the targets of one service, one row each, with what this
// entry host knows of them: its own calls in flight, and what earlier attempts
// showed (answers, sheds, failures, load reports) with the time at which they
// showed it. Choose applies one of a sealed set of policies to the table.
//
// The package reads no clock and draws randomness only from the generator
// passed in. Entry hosts do not see each other's calls; what one knows of a
// target's load is at best as old as the last answer from it.
package route
