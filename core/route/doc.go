// Package route chooses the target of a call.
//
// A Table holds the targets of one service, one row each, with what this entry
// host knows about them: its own calls in flight, and the answers, sheds,
// failures, load reports and probes of the past with their times. Choose applies
// one of a sealed set of policies to the table.
//
// A target sheds a call when it rejects the call without running it; it is then
// paused, which means that no call is sent to it for a while. A target that fails
// too often is ejected: for a time it is used only when no others are left. The
// pace of a target is the current duration of its calls, in percent of the usual
// one. The traffic share of a target is the part of its usual calls that it gets,
// from 0 to 1; it grows to 1 over a ramp. A straggler is a target with a much higher
// latency than the mean; its traffic share is lowered. An incarnation is one run of a target's
// process, and a target is suspect when its announcements have stopped.
//
// The package reads no clock and draws random numbers only from the generator
// passed in. Entry hosts do not see each other's calls; what an entry host knows
// about a target's load is at best as recent as the target's last answer or probe.
package route
