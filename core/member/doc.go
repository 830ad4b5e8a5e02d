// Package member keeps the table of targets that have announced themselves.
//
// Entries merge records in any order and any number of times and reach the
// same table: records are ordered by incarnation and then by state, and the
// greater one wins. The package reads no clock; callers pass the time in.
package member
