// Command red reads the output of go test -json and reports whether the run has
// passed: every failed test must be listed in KNOWN-RED.txt, and every listed
// test must have run.
package main
