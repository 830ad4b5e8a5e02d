// Package telem sets up structured logs and holds the metrics of one process.
//
// Metrics are expvar variables in a Set of their own, so that several hosts
// can run in one process.
package telem
