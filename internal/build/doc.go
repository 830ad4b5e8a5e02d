// Package build tells which build of the program runs.
package build
