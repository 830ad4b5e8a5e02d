package disk_test

import (
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/disk"
)

// Guards against a document that counts as lost and of which a part is used.
func TestCorruptDocumentIsReadInNoPart(t *testing.T) {
	g := gomega.NewWithT(t)
	path := t.TempDir()
	folder, err := disk.Open(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer folder.Close()
	body := `{"list":[{"name":"a","number":1},{"name":"b","number":1e999}]}`
	sum := crc32.Checksum([]byte(body), crc32.MakeTable(crc32.Castagnoli))
	g.Expect(os.WriteFile(filepath.Join(path, "d.doc"), fmt.Appendf(nil, "%08x\n%s", sum, body), 0o600)).To(gomega.Succeed())
	var v struct {
		List []struct {
			Name   string `json:"name"`
			Number int    `json:"number"`
		} `json:"list"`
	}
	g.Expect(folder.Load("d", &v)).To(gomega.MatchError(disk.ErrCorrupt))
	g.Expect(v.List).To(gomega.BeEmpty())
}
