package hedge_test

import (
	"testing"

	"cardamomspool/internal/seeded"
)

// randomRuns is the number of runs of each random test.
const randomRuns = 1000

func TestMain(m *testing.M) {
	seeded.Main(m, randomRuns)
}
