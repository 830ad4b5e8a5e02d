// Package probe asks targets for their health and load, a fixed number of
// times a second, for whoever decides for the calls of a service.
package probe
