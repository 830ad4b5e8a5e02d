// Package probe polls the health and load of targets at a bounded rate, for the
// host that decides about the calls of their service.
package probe
