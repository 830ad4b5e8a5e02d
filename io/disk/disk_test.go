package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/disk"
)

func TestFolderDetectsCorruptionAndIsLocked(t *testing.T) {
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

func TestCheckDetectsRemovedFolder(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "data")
	folder, err := disk.Open(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer folder.Close()
	g.Expect(folder.Save("a", 1)).To(gomega.Succeed())
	g.Expect(folder.Syncs()).To(gomega.Equal(int64(2)), "the file and its folder")
	g.Expect(folder.Check()).To(gomega.Succeed())
	g.Expect(os.RemoveAll(path)).To(gomega.Succeed())
	g.Expect(folder.Check()).To(gomega.MatchError(disk.ErrRemoved))
	g.Expect(folder.Save("a", 2)).NotTo(gomega.Succeed())
	g.Expect(folder.Failures()).To(gomega.Equal(int64(1)))
	g.Expect(os.Mkdir(path, 0o700)).To(gomega.Succeed())
	g.Expect(os.WriteFile(filepath.Join(path, "lock"), nil, 0o600)).To(gomega.Succeed())
	g.Expect(folder.Check()).To(gomega.MatchError(disk.ErrRemoved), "another folder in its place")
}

func TestQuarantineAndPartialFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	path := t.TempDir()
	folder, err := disk.Open(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer folder.Close()
	g.Expect(folder.Save("a", 1)).To(gomega.Succeed())
	g.Expect(os.WriteFile(filepath.Join(path, "b.doc.tmp"), []byte("half"), 0o600)).To(gomega.Succeed())
	names, err := folder.Names()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(names).To(gomega.Equal([]string{"a"}))
	g.Expect(folder.Quarantine("a")).To(gomega.Succeed())
	var got int
	g.Expect(os.IsNotExist(folder.Load("a", &got))).To(gomega.BeTrue())
}
