// Package logs reads the log lines of all processes and prints those that explain
// the outcome of a call, or those about a configuration or a target.
package logs
