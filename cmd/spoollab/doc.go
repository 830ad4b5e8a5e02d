// Command spoollab runs stand-in targets and loads for tests and experiments.
package main
