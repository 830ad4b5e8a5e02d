package consol

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random runs; -rapid.seed sets another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
