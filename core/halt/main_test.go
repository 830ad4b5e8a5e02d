package halt_test

import (
	"testing"

	"cardamomspool/internal/seeded"
)

// randomRuns is the number of settings that are tried.
const randomRuns = 1000

func TestMain(m *testing.M) {
	seeded.Main(m, randomRuns)
}
