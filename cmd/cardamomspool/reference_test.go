package main

import (
	"bytes"
	"os"
	"testing"

	"github.com/onsi/gomega"
)

// TestSettingsPageIsUpToDate compares docs/SETTINGS.md with the code's tables.
// To update the page, run: cardamomspool settings >docs/SETTINGS.md.
func TestSettingsPageIsUpToDate(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var printed bytes.Buffer
	g.Expect(writeReference(&printed)).To(gomega.Succeed())
	g.Expect(string(page)).To(gomega.Equal(printed.String()))
}
