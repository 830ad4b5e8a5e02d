package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// UpdateVariable is the environment variable that, if not empty, makes Compare
// write the golden file before it compares.
const UpdateVariable = "UPDATE_GOLDEN"

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Compare fails the test unless got equals the content of the golden file
// testdata/NAME.golden in the folder of the test's package, where NAME is name.
func Compare(t testing.TB, name, got string) {
	t.Helper()
	g := gomega.NewWithT(t)
	path := filepath.Join("testdata", name+".golden")
	if os.Getenv(UpdateVariable) != "" {
		g.Expect(os.MkdirAll(filepath.Dir(path), folderMode)).To(gomega.Succeed())
		g.Expect(os.WriteFile(path, []byte(got), fileMode)).To(gomega.Succeed())
	}
	want, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(string(want)), "run with %s=1 to update %s", UpdateVariable, path)
}
