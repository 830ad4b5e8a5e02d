// Package plan defines the configuration of a whole system as one versioned
// value: the routes that select services, the services, and limits on callers.
//
// A service is a named group of targets that answer the same calls. A route
// selects calls by host name and path; each of its parts names a service and the
// weight of that service's share of the calls. A Plan is replaced as a whole; the
// highest version wins. A Table finds the route of a call, and Splits distributes
// the calls of a route over its parts by weight.
package plan
