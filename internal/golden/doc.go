// Package golden compares the output of a test with a golden file.
package golden
