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
// checks per property. If the command line sets a seed, the flags stay as they
// are. Main does not return.
func Main(m *testing.M, checks int) {
	flag.Parse()
	hasSeed := false
	flag.Visit(func(f *flag.Flag) { hasSeed = hasSeed || f.Name == seedFlag })
	if !hasSeed {
		setFlag(seedFlag, strconv.Itoa(seed))
		setFlag(checksFlag, strconv.Itoa(checks))
		setFlag(failFlag, "true")
	}
	os.Exit(m.Run())
}

// setFlag sets a flag and panics if the flag is undefined.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
