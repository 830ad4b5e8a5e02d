package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// check returns the verdict for files with the given contents.
func check(t *testing.T, known, results string) bool {
	t.Helper()
	dir := t.TempDir()
	k, r := filepath.Join(dir, "known"), filepath.Join(dir, "results")
	g := gomega.NewWithT(t)
	g.Expect(os.WriteFile(k, []byte(known), 0o600)).To(gomega.Succeed())
	g.Expect(os.WriteFile(r, []byte(results), 0o600)).To(gomega.Succeed())
	ok, err := verdict(k, r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return ok
}

func TestVerdict(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		passed   = `{"Action":"pass","Package":"p","Test":"A"}` + "\n"
		failed   = `{"Action":"fail","Package":"p","Test":"B"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
		panicked = `{"Action":"fail","Package":"q"}` + "\n"
		known    = "p | B | cmd | seen | 4\n"
	)
	g.Expect(check(t, "", passed)).To(gomega.BeTrue())
	g.Expect(check(t, "", "")).To(gomega.BeFalse(), "no test ran")
	g.Expect(check(t, "", passed+failed)).To(gomega.BeFalse())
	g.Expect(check(t, known, passed+failed)).To(gomega.BeTrue())
	g.Expect(check(t, known, passed)).To(gomega.BeFalse(), "the listed test is gone")
	g.Expect(check(t, known, passed+`{"Action":"pass","Package":"p","Test":"B"}`)).To(gomega.BeTrue(), "a flaky test")
	g.Expect(check(t, known, passed+failed+panicked)).To(gomega.BeFalse())
}
