package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// UpdateVariable is the environment variable that, when set, makes Compare
// write the file instead of failing.
const UpdateVariable = "UPDATE_GOLDEN"

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Compare fails the test unless got is the content of the file called name
// with the suffix ".golden" under testdata.
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
	g.Expect(got).To(gomega.Equal(string(want)), "run with %s=1 to write %s anew", UpdateVariable, path)
}
