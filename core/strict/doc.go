// Package strict decodes JSON documents and reports every fault by its path.
//
// Unknown fields, values of the wrong kind and trailing data are faults.
// Decoding stops at malformed JSON; all other faults are collected, so that
// an operator sees them together.
package strict
