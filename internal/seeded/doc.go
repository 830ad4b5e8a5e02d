// Package seeded runs property tests with a fixed seed.
package seeded
