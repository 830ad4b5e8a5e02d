// Package logs reads the log lines of all processes and prints the lines that explain
// the outcome of a call, or the lines about a configuration or a target. It also counts the
// calls that were not answered within their aim by cause.
//
// An event is a log line that names no call, such as a state change of a target or
// the loss of a control host.
package logs
