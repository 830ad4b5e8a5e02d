// Command stand runs the cases of the review that are scripts. It starts the project's own
// programs as separate processes on loopback addresses, and has stand-ins for clients, servers
// and the operator.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2

	// longestRun bounds a case; the processes that it has started end with it.
	longestRun = 110 * time.Second
)

func main() {
	cases := map[string]func(*recorder, bool) int{
		"gone": gone, "limits": limitsRaised, "unreadable": unreadable, "chunks": chunksAdded, "slash": slashAdded, "foreign": foreign, "misroute": misroute, "weights": weights, "lost": lostAtStop,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(notRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case", "%s, with the disruption: %t", os.Args[1], trouble)
	time.AfterFunc(longestRun, func() {
		rec.note("result", "not run: it took too long")
		os.Exit(notRun)
	})
	code := cases[os.Args[1]](rec, trouble)
	rec.note("result", "exit %d", code)
	fmt.Println(os.Args[1], "exit", code)
	os.Exit(code)
}
