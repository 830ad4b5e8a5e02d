// Package hedge decides when a second attempt of a call is due and how many there may be.
//
// Latencies holds quantiles of the latencies of calls, one set for each class. They follow
// the latencies as these change. Budget limits the extra attempts in a sliding window to a
// share of the calls in it.
//
// The estimator is the stochastic approximation of a quantile, with constant steps on a
// logarithmic scale. Source: H. Robbins and S. Monro, "A Stochastic Approximation Method",
// Annals of Mathematical Statistics 22(3), 1951. It needs two numbers per class, forgets
// at a constant rate and accepts samples of which only a lower bound is known, as of an
// attempt that was cancelled. The use of extra attempts follows J. Dean and L. Barroso,
// "The Tail at Scale", Communications of the ACM 56(2), 2013.
//
// The package does no I/O and reads no clock.
package hedge
