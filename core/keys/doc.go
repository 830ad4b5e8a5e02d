// Package keys proves which client account makes a call.
//
// A key is a secret that a caller sends with each call. The system stores and
// compares only digests of keys.
package keys
