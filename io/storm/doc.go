// Package storm runs a system of real processes under load while it kills,
// freezes, stops and restarts them by a seed, and then compares every
// caller's record with every target's record.
//
// It finds calls that got another call's answer, calls told not run that ran,
// non-idempotent calls that ran twice, and calls cut off although only
// graceful stops touched them. It does not cut networks.
package storm
