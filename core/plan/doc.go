// Package plan defines the configuration of a whole system as one versioned
// value: the routes that select services, the services, and limits on callers.
//
// A Plan is replaced as a whole; the highest version wins. A Table finds the
// route of a call, and Splits distributes the calls of a route over its services
// by weight.
package plan
