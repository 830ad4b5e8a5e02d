package layout_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/layout"
)

func TestPlannedSettingsAreValid(t *testing.T) {
	g := gomega.NewWithT(t)
	plan, err := layout.New(t.TempDir(), layout.Size{Controls: 3, Entries: 4, Targets: 5}, layout.WithLogLevel("warn"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(plan.Controls).To(gomega.HaveLen(3))
	g.Expect(plan.Entries).To(gomega.HaveLen(4))
	g.Expect(plan.Targets).To(gomega.HaveLen(5))
	for i := range plan.Controls {
		g.Expect(plan.Controls[i].Validate()).To(gomega.BeEmpty())
	}
	for i := range plan.Entries {
		g.Expect(plan.Entries[i].Validate()).To(gomega.BeEmpty())
		g.Expect(plan.Entries[i].LogLevel).To(gomega.Equal("warn"))
	}
}
