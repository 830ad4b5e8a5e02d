package entry

import (
	"encoding/json"
	"testing"

	"cardamomspool/core/spec"
	"cardamomspool/internal/stored"
)

// storedFiles returns a file of each kind that an entry host writes, with all fields that the build
// of 0e43ae4 knows.
func storedFiles() []stored.File {
	return []stored.File{
		{Name: documentPrefix + "desk", Value: spec.Versioned{Name: "desk", Revision: 7, Body: json.RawMessage(`{"name":"desk"}`)}},
		{Name: documentPrefix + "shop", Value: spec.Versioned{Name: "shop", Revision: 2, Deleted: true}},
		{Name: completeMarkName, Value: completeMark{Confirmed: true}},
	}
}

// Guards against a data folder of an earlier build that is read differently, or that a host of that
// build reads differently once this one has written to it. Documents with client accounts are new in
// the build of 762a605.
func TestFilesOfEarlierBuilds(t *testing.T) {
	stored.Check(t, "testdata/files_0e43ae4.golden", storedFiles())
	files := append(storedFiles(), stored.File{
		Name: documentPrefix + spec.AccountsName, Value: spec.Versioned{Name: spec.AccountsName, Revision: 3, Body: json.RawMessage(`{"accounts":[]}`)},
	})
	stored.Check(t, "testdata/files_762a605.golden", files)
}
