// Package field describes the fields of settings and documents by label, unit,
// range and help text. The console's forms and the printed reference are
// generated from one table per struct, a list with one Field per leaf field.
//
// Kinds and defaults come from the struct itself by reflection; a table only holds
// what the type does not show. A leaf field is one that is neither a struct nor a
// slice of structs; its kind is one of the constants of Kind, and Text for all
// other types.
package field
