package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/io/setup"
)

func TestExampleSettingsAreValid(t *testing.T) {
	g := gomega.NewWithT(t)
	files, err := filepath.Glob("../../examples/*/*.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).NotTo(gomega.BeEmpty())
	for _, file := range files {
		if strings.HasPrefix(filepath.Base(file), "control") {
			_, err = setup.LoadControl(file)
		} else {
			_, err = setup.LoadEntry(file)
		}
		g.Expect(err).NotTo(gomega.HaveOccurred(), file)
	}
}

func TestExampleDocumentsAreValid(t *testing.T) {
	g := gomega.NewWithT(t)
	files, err := filepath.Glob("../../examples/*/services/*.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).To(gomega.HaveLen(8))
	for _, file := range files {
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, faults := spec.Parse(data)
		g.Expect(faults).To(gomega.BeEmpty(), file)
	}
}
