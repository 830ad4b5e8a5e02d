// Package logs reads the log lines of all processes back and tells what became
// of one call.
package logs
