// Package golden compares the record of a whole run with a file.
package golden
