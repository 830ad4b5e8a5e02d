package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
)

type (
	// event is one line of go test -json.
	event struct {
		Action  string
		Package string
		Test    string
		Output  string
	}

	// testID identifies one test of a package; an empty name stands for the
	// package.
	testID struct {
		pkg, name string
	}

	// testRun holds the outcomes of a test run.
	testRun struct {
		// output holds the lines that each test printed.
		output map[testID][]string
		// outcome is pass, fail, skip or build-fail.
		outcome map[testID]string
		// order lists the tests and packages in the order of their outcomes.
		order []testID
		// passed is the number of passed tests, without packages.
		passed int
	}
)

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "file that lists tests that may fail")
	flag.Parse()
	ok, err := verdict(*known, flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if !ok {
		os.Exit(1)
	}
}

// verdict reports whether a test run has passed. The file at resultsPath holds the
// output of go test -json of the run; knownPath is the path of KNOWN-RED.txt.
func verdict(knownPath, resultsPath string) (bool, error) {
	known, err := readKnown(knownPath)
	if err != nil {
		return false, err
	}
	r, err := readRun(resultsPath)
	if err != nil {
		return false, err
	}
	return r.report(known), nil
}

// readKnown returns the entries of the file at path, by test. The file has the
// format of KNOWN-RED.txt.
func readKnown(path string) (map[testID]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	known := make(map[testID]string)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		if len(fields) != 5 {
			return nil, fmt.Errorf("%s: entry %q does not have 5 fields", path, line)
		}
		known[testID{strings.TrimSpace(fields[0]), strings.TrimSpace(fields[1])}] = line
	}
	return known, lines.Err()
}

// readRun reads the output of go test -json from the file at path.
func readRun(path string) (*testRun, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &testRun{output: make(map[testID][]string), outcome: make(map[testID]string)}
	dec := json.NewDecoder(f)
	for dec.More() {
		var e event
		if err := dec.Decode(&e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		r.add(e)
	}
	return r, nil
}

// add records the output or the outcome in e and ignores other events.
func (r *testRun) add(e event) {
	t := testID{e.Package, e.Test}
	switch e.Action {
	case "output", "build-output":
		r.output[t] = append(r.output[t], e.Output)
	case "pass", "fail", "skip", "build-fail":
		r.outcome[t] = e.Action
		r.order = append(r.order, t)
		if e.Action == "pass" && e.Test != "" {
			r.passed++
		}
	}
}

// report prints the failed tests and the lines of the known ones, and reports
// whether the run has passed. A run without a passed test has not.
func (r *testRun) report(known map[testID]string) bool {
	failed, listed := 0, make(map[string]bool)
	for _, t := range r.order {
		if r.outcome[t] != "fail" || t.name == "" {
			continue
		}
		if line, ok := r.knownLine(known, t); ok {
			listed[t.pkg] = true
			fmt.Printf("known red: %s\n", line)
			continue
		}
		failed++
		fmt.Printf("--- failed: %s %s\n%s", t.pkg, t.name, strings.Join(r.output[t], ""))
	}
	failed += r.reportPackages(listed)
	for t, line := range known {
		switch r.outcome[t] {
		case "fail":
		case "pass":
			fmt.Printf("known red, but passed this time: %s\n", line)
		default:
			failed++
			fmt.Printf("--- listed in KNOWN-RED.txt but was not run: %s\n", line)
		}
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, failed)
	return failed == 0 && r.passed > 0
}

// reportPackages prints and counts the packages that failed without a failed
// test, for example because they did not build or exited early. It passes over
// the packages in listed, which hold a failed test from KNOWN-RED.txt.
func (r *testRun) reportPackages(listed map[string]bool) int {
	failed := 0
	testFailed := make(map[string]bool)
	for t, outcome := range r.outcome {
		if t.name != "" && outcome == "fail" {
			testFailed[t.pkg] = true
		}
	}
	for _, t := range r.order {
		if t.name != "" || r.outcome[t] == "pass" || r.outcome[t] == "skip" || testFailed[t.pkg] || listed[t.pkg] {
			continue
		}
		failed++
		fmt.Printf("--- failed: %s\n%s", t.pkg, strings.Join(r.output[t], ""))
	}
	return failed
}

// knownLine returns the KNOWN-RED.txt line of test t or of its top-level test, and
// whether there is one. A test that fails with subtests has a line if each of these has one:
// a subtest can be listed without the others of its test.
func (r *testRun) knownLine(known map[testID]string, t testID) (string, bool) {
	if line, ok := known[t]; ok {
		return line, true
	}
	top, _, _ := strings.Cut(t.name, "/")
	if line, ok := known[testID{t.pkg, top}]; ok {
		return line, true
	}
	var line string
	for sub, outcome := range r.outcome {
		if outcome != "fail" || sub.pkg != t.pkg || !strings.HasPrefix(sub.name, t.name+"/") {
			continue
		}
		var ok bool
		if line, ok = r.knownLine(known, sub); !ok {
			return "", false
		}
	}
	return line, line != ""
}
