// Package local runs a small whole system in one process on loopback: control
// hosts, entry hosts and stand-in targets. It is for trying the system out.
package local
