package seeded

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const (
	seedFlag   = "rapid.seed"
	checksFlag = "rapid.checks"
	failFlag   = "rapid.nofailfile"
	seed       = 1
)

// Main runs the tests of a package with a fixed seed and the given number of
// random runs, unless the command line names a seed. It does not return.
func Main(m *testing.M, checks int) {
	flag.Parse()
	named := false
	flag.Visit(func(f *flag.Flag) { named = named || f.Name == seedFlag })
	if !named {
		set(seedFlag, strconv.Itoa(seed))
		set(checksFlag, strconv.Itoa(checks))
		set(failFlag, "true")
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
