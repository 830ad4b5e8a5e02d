// Package place delegates the decisions about a service's calls to one control
// host, which sees the calls of all entry hosts. Entry hosts stream call events
// to it and receive the engine's decisions. An entry host without a reachable
// control host decides by itself.
package place
