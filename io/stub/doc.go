// Package stub provides a test target for tests and experiments: an HTTP server
// with a limited number of slots, random service times from a seed and a record of
// every call that it ran. It announces itself to entry hosts as a real target does.
package stub
