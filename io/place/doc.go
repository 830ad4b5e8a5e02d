// Package place has one control host decide for the calls of a service, from
// the calls of all entry hosts. Entry hosts stream the events of calls to it
// and get the engine's decisions back. Without such a host they decide for
// themselves.
package place
