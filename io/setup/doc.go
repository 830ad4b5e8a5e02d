// Package setup reads the settings file of a process.
//
// The whole file is checked before the process starts. Unknown fields, values
// out of range and addresses that are not IP addresses are all reported, each
// with its path in the file.
package setup
