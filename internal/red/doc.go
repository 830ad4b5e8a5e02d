// Command red reads the output of go test -json and decides whether the run
// has passed: every failed test must be listed in KNOWN-RED.txt, and every
// listed test must have been run.
package main
