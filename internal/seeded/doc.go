// Package seeded runs property tests (pgregory.net/rapid) with a fixed seed.
package seeded
