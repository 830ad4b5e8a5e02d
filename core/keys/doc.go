// Package keys proves which client account makes a call.
//
// A key is a secret that a caller sends with each call. The system stores and
// compares only digests of keys. A Table finds the account of a key. A Lease limits
// how long a host may rely on its table without hearing from the control hosts.
//
// The package does no I/O and reads no clock.
package keys
