// Package stub is a stand-in target for tests and experiments: an HTTP server
// with a number of slots, a seeded service time and a record of every call
// that it ran. It announces itself to an entry host as a real target does.
package stub
