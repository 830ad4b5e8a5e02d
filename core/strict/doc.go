// Package strict decodes JSON documents and reports all faults with the paths of
// their fields.
//
// Unknown fields, values of the wrong type and trailing data are faults. Decoding
// stops at malformed JSON; all other faults are collected, so that an operator
// sees them together.
package strict
