// Package telem provides structured logging and the metrics of a host: counters,
// histograms of durations, and values that a function returns.
//
// Metrics are expvar variables in a Registry instead of the global one, so that
// several hosts can run in one process.
package telem
