package setup_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/field"
	"cardamomspool/io/setup"
)

func TestFieldsCoverAllSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(field.UnknownPaths(setup.EntryFields, &setup.Entry{})).To(gomega.BeEmpty())
	g.Expect(field.UnknownPaths(setup.ControlFields, &setup.Control{})).To(gomega.BeEmpty())
	for _, e := range append(setup.EntryReference(), setup.ControlReference()...) {
		g.Expect(e.Known).To(gomega.BeTrue(), "%s has no row in setup's tables", e.Path)
		g.Expect(e.Help).NotTo(gomega.BeEmpty(), e.Path)
	}
}
