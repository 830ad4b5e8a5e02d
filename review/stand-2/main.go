// Command stand-2 runs one case of the review: it starts control and entry hosts as separate
// processes on loopback addresses, with servers, clients and an operator of its own, and checks
// what these see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

type (
	// scenario is one case. It reports whether the rule was broken.
	scenario func(b *bench) (broken bool, err error)
)

const (
	exitBroken = 1
	exitNotRun = 2
	// maxRun bounds the time of a run. All processes end with it.
	maxRun = 110 * time.Second
)

func main() {
	program := flag.String("program", "target/cardamomspool", "path of the program under test")
	out := flag.String("record", "record.txt", "file to which the record is written")
	name := flag.String("case", "", "name of the case")
	flag.Parse()
	os.Exit(run(*program, *out, *name))
}

// run runs the case called name and returns the exit code.
func run(program, out, name string) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	b, err := newBench(program, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, playErr := play(b)
		done <- result{broken, playErr}
	}()
	select {
	case r := <-done:
		return report(b, r.broken, r.err)
	case <-time.After(maxRun):
		return report(b, false, fmt.Errorf("the case took longer than %s", maxRun))
	}
}

// report writes the result to the record and to standard output, and returns the exit code.
func report(b *bench, broken bool, err error) int {
	text, code := "HELD", 0
	switch {
	case err != nil:
		text, code = "NOT RUN: "+err.Error(), exitNotRun
	case broken:
		text, code = "BROKEN", exitBroken
	}
	b.record("result", "%s", text)
	fmt.Println(strings.TrimSpace(text))
	return code
}
