// Package load generates open-loop load: it sends calls to entry hosts at a set
// rate, whether or not earlier calls have been answered, and checks that every answer
// belongs to its request. Each call carries an identity, which stub targets (see
// io/stub) return as the answer's body and count in a record.
package load
