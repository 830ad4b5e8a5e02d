package roster_test

import (
	"testing"

	"cardamomspool/internal/seeded"
)

// randomRuns is the number of random runs of each property test.
const randomRuns = 1000

func TestMain(m *testing.M) {
	seeded.Main(m, randomRuns)
}
