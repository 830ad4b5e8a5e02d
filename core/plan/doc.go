// Package plan holds the whole configuration of a system as one versioned
// value: routes that select services, the services, and limits on callers.
//
// A Plan is replaced as a whole; the highest version wins. A Table finds the
// route of a call and Splits share calls out over the parts of a route.
package plan
