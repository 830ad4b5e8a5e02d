// Package field describes the fields of settings and documents by label, unit,
// range and help text. The console's forms and the printed reference are
// generated from one table per struct.
//
// Paths, kinds and defaults come from the struct itself by reflection; a table
// only holds what the type does not show. The package supports structs, slices of
// structs, and the leaf types listed at Kind; all other types are of kind Text.
package field
