// Package seeded gives random test runs the same seed each time.
package seeded
