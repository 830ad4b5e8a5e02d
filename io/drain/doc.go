// Package drain shuts HTTP servers down gracefully and without needless delay.
//
// http.Server.Shutdown waits up to 5 s for a connection on which no request
// has been sent. HTTP clients routinely open such spare connections,
// so Server.Shutdown closes those that were opened at least UnusedAge ago.
package drain
