package member_test

import (
	"testing"

	"cardamomspool/internal/seeded"
)

const randomRuns = 500

func TestMain(m *testing.M) {
	seeded.Main(m, randomRuns)
}
