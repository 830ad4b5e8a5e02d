// Package drain ends HTTP servers gracefully and soon.
//
// http.Server.Shutdown waits up to 5 s for a connection on which no request
// has been sent. HTTP clients open such spare connections as a matter of
// course, so the package closes those that have been unused for a while.
package drain
