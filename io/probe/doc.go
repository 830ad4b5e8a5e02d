// Package probe polls the health and load of targets at a bounded rate, for the
// host that decides about the calls of their service.
//
// A probe is one health check: an HTTP GET request, whose answer says whether the
// target is healthy and may report its load. A probe without a complete answer is
// lost. The rate of the probes of one service is bounded absolutely, and relative to
// the rate of the service's calls.
package probe
