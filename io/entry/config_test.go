package entry

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/io/peer/peerpb"
)

// document returns the body of a valid document of the named service.
func document(t *testing.T, name string) []byte {
	t.Helper()
	doc := spec.Default()
	doc.Name = name
	doc.Receive.PathPrefixes = []string{"/"}
	body, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// confirmedHost returns a host with a data folder whose only control host has
// reported that there are no documents.
func confirmedHost(t *testing.T, folder string) *Host {
	t.Helper()
	h := newTestHost()
	h.cfg.DataFolder = folder
	if err := h.config.open(); err != nil {
		t.Fatal(err)
	}
	h.config.receive(h.config.controls[0], &peerpb.Update{Complete: true})
	return h
}

func TestDocumentNameWithPathIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	h := confirmedHost(t, filepath.Join(folder, "data"))
	defer h.config.close()
	h.config.receive(h.config.controls[0], &peerpb.Update{Name: "x/../../escaped", Revision: 1, Body: document(t, "a")})
	g.Expect(h.config.status().InForce).To(gomega.BeZero())
	entries, err := os.ReadDir(folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entries).To(gomega.HaveLen(1))
}

// TestDamagedDocumentIsNotTrusted damages a saved document. The host must then
// wait for control hosts instead of trusting the folder.
func TestDamagedDocumentIsNotTrusted(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	h := confirmedHost(t, folder)
	for i, name := range []string{"a", "b"} {
		h.config.receive(h.config.controls[0], &peerpb.Update{Name: name, Revision: uint64(3 + i), Body: document(t, name)})
	}
	h.config.close()
	restarted := newTestHost()
	restarted.cfg.DataFolder = folder
	g.Expect(restarted.config.open()).To(gomega.Succeed())
	g.Expect(restarted.config.status().State).To(gomega.Equal("restored"))
	g.Expect(restarted.config.status().Revisions).To(gomega.Equal(uint64(7)))
	restarted.config.close()
	g.Expect(os.WriteFile(filepath.Join(folder, "document-b.doc"), []byte("00000000\n{}"), 0o600)).To(gomega.Succeed())
	damaged := newTestHost()
	damaged.cfg.DataFolder = folder
	g.Expect(damaged.config.open()).To(gomega.Succeed())
	defer damaged.config.close()
	g.Expect(damaged.config.status().State).To(gomega.Equal("waiting"))
	g.Expect(damaged.config.ready()).To(gomega.BeFalse())
	g.Expect(damaged.config.status().Revisions).To(gomega.Equal(uint64(3)))
}
