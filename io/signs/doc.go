// Package signs holds what an entry host has learnt from targets, by their answers and their
// connections, and what it needs to know of them before it sends them a call. A host that
// decides alone, or carries the calls of others, relies on it as well.
//
// Each kind of knowledge is a type of its own that is safe for concurrent use; Signs has
// them all. No type calls another one.
package signs
