// Package drain shuts HTTP servers down gracefully and without needless delay.
//
// http.Server.Shutdown waits up to 5 s for a connection on which no request
// has been sent. HTTP clients routinely open such spare connections,
// so the package closes those that have been unused for UnusedAge.
package drain
