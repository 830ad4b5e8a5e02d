package stored

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/disk"
)

// File is a file of a data folder: the name of its document, and the value that it holds.
type File struct {
	Name  string
	Value any
}

const (
	suffix   = ".doc" // Of the files of documents; see package disk.
	fileMode = 0o600
)

// Check fails the test unless the files that this build writes have the content in the golden file
// at path, and unless this build reads the same values from that content. The golden file was
// written by an earlier build and must not change. It has a line for each file: the name, a space
// and the content as a string of Go.
func Check(t *testing.T, path string, files []File) {
	t.Helper()
	g := gomega.NewWithT(t)
	want, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(Describe(t, files)).To(gomega.Equal(string(want)))
	folder := t.TempDir()
	opened, err := disk.Open(folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer opened.Close()
	for i, line := range strings.Split(strings.TrimSpace(string(want)), "\n") {
		name, quoted, _ := strings.Cut(line, " ")
		content, err := strconv.Unquote(quoted)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(name).To(gomega.Equal(files[i].Name))
		g.Expect(os.WriteFile(filepath.Join(folder, name+suffix), []byte(content), fileMode)).To(gomega.Succeed())
		got := reflect.New(reflect.TypeOf(files[i].Value))
		g.Expect(opened.Load(name, got.Interface())).To(gomega.Succeed(), name)
		g.Expect(got.Elem().Interface()).To(gomega.Equal(files[i].Value), name)
	}
}

// Describe returns the content of a golden file that holds the given files.
func Describe(t *testing.T, files []File) string {
	t.Helper()
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	opened, err := disk.Open(folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer opened.Close()
	var text strings.Builder
	for _, f := range files {
		g.Expect(opened.Save(f.Name, f.Value)).To(gomega.Succeed())
		content, err := os.ReadFile(filepath.Join(folder, f.Name+suffix))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		fmt.Fprintf(&text, "%s %q\n", f.Name, content)
	}
	return text.String()
}
