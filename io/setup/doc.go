// Package setup reads the settings file of a process.
//
// A file is checked whole before anything starts: unknown fields, values out
// of range and addresses that are no IP numbers are all reported by their
// path in the file.
package setup
