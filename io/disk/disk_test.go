package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/disk"
)

func TestFolderFindsDamageAndRefusesASecondUser(t *testing.T) {
	g := gomega.NewWithT(t)
	path := t.TempDir()
	folder, err := disk.Open(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer folder.Close()
	_, err = disk.Open(path)
	g.Expect(err).To(gomega.MatchError(disk.ErrLocked))

	g.Expect(folder.Save("a", []int{1, 2, 3})).To(gomega.Succeed())
	var got []int
	g.Expect(folder.Load("a", &got)).To(gomega.Succeed())
	g.Expect(got).To(gomega.Equal([]int{1, 2, 3}))

	file := filepath.Join(path, "a.doc")
	content, err := os.ReadFile(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range content {
		damaged := append([]byte(nil), content...)
		damaged[i] ^= 1
		g.Expect(os.WriteFile(file, damaged, 0o600)).To(gomega.Succeed())
		g.Expect(folder.Load("a", &got)).To(gomega.MatchError(disk.ErrCorrupt))
	}
}
