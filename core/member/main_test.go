package member_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the random runs the same seed each time, unless the command
// line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	named := false
	flag.Visit(func(f *flag.Flag) { named = named || f.Name == "rapid.seed" })
	if !named {
		for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
