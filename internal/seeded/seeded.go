package seeded

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const (
	seedFlag       = "rapid.seed"
	checksFlag     = "rapid.checks"
	noFailFileFlag = "rapid.nofailfile"
	seed           = 1
)

// Main runs the tests of a package with a fixed seed, the given number of checks
// per property and no files for failed cases. If the command line sets
// -rapid.seed, the flags stay as they are. Main exits the process.
func Main(m *testing.M, checks int) {
	flag.Parse()
	hasSeed := false
	flag.Visit(func(f *flag.Flag) { hasSeed = hasSeed || f.Name == seedFlag })
	if !hasSeed {
		setFlag(seedFlag, strconv.Itoa(seed))
		setFlag(checksFlag, strconv.Itoa(checks))
		setFlag(noFailFileFlag, "true")
	}
	os.Exit(m.Run())
}

// setFlag sets a flag and panics if the flag is undefined.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
