// Package slope measures how the resource use of the system's processes grows with
// the size of the system, and fits a line to each quantity.
//
// It starts the product's own processes on loopback, loads them with announcements
// of test targets, changes and calls, and reads their processor time, memory and
// network traffic. It stops every process that it started. Other load on the machine
// distorts the results.
package slope
