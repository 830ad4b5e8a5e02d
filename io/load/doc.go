// Package load sends calls to an entry host at a steady rate and checks every
// answer against its own request.
package load
