// Package telem provides structured logging and the metrics of a host.
//
// Metrics are expvar variables in a Registry instead of the global one, so that
// several hosts can run in one process.
package telem
