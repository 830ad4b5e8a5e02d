// Command red reads the output of go test -json and reports whether the run has
// passed: at least one test must have passed, every failed test must be listed in
// KNOWN-RED.txt, and every listed test must have passed or failed. A listed subtest may
// fail, and its parents with it if no other subtest fails. Red prints the lines of the
// listed tests.
package main
