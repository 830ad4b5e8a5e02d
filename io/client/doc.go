// Package client talks to the operators' API of the control hosts.
//
// It knows several of them and sends a request that got no final answer again,
// to the next one and with the same identity, until its context ends. The
// control hosts carry out a change at most once, however often it arrives.
package client
