// Package drain shuts HTTP servers down gracefully and without needless delay.
//
// http.Server.Shutdown waits up to 5 s for a connection on which no request has been
// sent. HTTP clients routinely open such spare connections. Shutdown of this
// package's Server therefore closes a connection without a request once it was opened
// at least UnusedAge ago.
package drain
