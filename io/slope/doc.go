// Package slope measures what the system's processes spend as its size grows,
// and fits a line to each measurement.
//
// It starts the product's own processes on loopback, loads them with stand-in
// announcements, changes and calls, and reads their processor time, memory
// and traffic. It ends every process that it started. Results are only as
// good as the machine is quiet.
package slope
