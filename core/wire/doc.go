// Package wire names the HTTP headers between entry hosts, targets and
// callers, and reads and writes their values.
package wire
