// Package field describes the fields of settings and documents: what each is
// called, its unit, its range and what it means. One table per struct feeds
// the console's forms and the printed reference.
//
// Paths, kinds and defaults come from the struct itself by reflection, so that
// a table only says what the type can't. The package knows structs, slices of
// structs, and the leaf types listed at Kind; other types are of kind Text.
package field
