// Package load generates open-loop load: it sends calls to entry hosts at a set
// rate and checks that every answer belongs to its request.
package load
