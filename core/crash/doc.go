// Package crash keeps which calls were at targets as these ended, and names the calls
// that are sent to no target any more since they probably are the cause.
//
// A call is known by digests of its content (method, host, path, query and the beginning
// of its body) and of its caller, so that it is recognised when it comes again, at any
// host and under another name. Reports of the calls that a target had as it ended are kept
// in a Table. A call that was at MinTargets targets as they ended, without an answer in
// between, is blocked for a time that doubles each time another target ends after it,
// unless most of the targets that ended meanwhile did so without the call. An answer of a target to the call clears its reports: a call that crashes targets gets
// none, while one that merely ran beside such a call does.
//
// Tables of different hosts are merged report by report. A merge only adds reports and
// clearances, so that the order in which hosts hear of them does not matter.
//
// The package does no I/O and reads no clock.
package crash
