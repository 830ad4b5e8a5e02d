// Package ports finds free loopback ports for tests and local runs that start all
// processes on one machine.
//
// The ports are below the kernel's ephemeral range, so that no outgoing connection
// takes a free port before its listener starts.
package ports
