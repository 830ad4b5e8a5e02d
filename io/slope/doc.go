// Package slope measures how the resource use of the system's processes grows with
// the size of the system, and fits a line to each quantity.
//
// It starts the product's own processes on loopback, loads them with announcements
// of targets, changes and calls, and reads their processor time, memory and network
// traffic. It stops every process that it started. Other load on the machine distorts
// the results.
//
// A fleet is the set of control and entry processes of one measurement. A sweep is a
// series of measurements in which one size of the system varies; the field Per of a
// Line names what this size counts, such as targets. A change is an operator's change
// of a service document. It is in force on an entry host once the host uses the changed
// document.
package slope
