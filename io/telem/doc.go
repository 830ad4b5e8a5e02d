// Package telem provides structured logging and the metrics of a host.
//
// Metrics are expvar variables in a Set instead of the global registry, so that
// several hosts can run in one process.
package telem
