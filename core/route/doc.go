// Package route chooses the target of a call.
//
// A Table holds the targets of one service, one row each, with what this entry
// host knows about them: its own calls in flight, and the answers, sheds,
// failures, load reports and probes of the past with their times. Choose applies
// one of a sealed set of policies to the table.
//
// The package reads no clock and draws random numbers only from the generator
// passed in. Entry hosts do not see each other's calls; what one knows about a
// target's load is at best as recent as the target's last answer.
package route
