package main

import (
	"os"
	"path/filepath"
	"strings"
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

// Guards against a test that is passed over with all its subtests since one of them is listed.
func TestListedSubtest(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		passed = `{"Action":"pass","Package":"p","Test":"A"}` + "\n"
		parent = `{"Action":"fail","Package":"p","Test":"B"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
		group  = `{"Action":"fail","Package":"p","Test":"B/x"}` + "\n"
		first  = `{"Action":"fail","Package":"p","Test":"B/x/1"}` + "\n"
		second = `{"Action":"fail","Package":"p","Test":"B/x/2"}` + "\n"
		known  = "p | B/x/1 | cmd | seen | 4\n"
	)
	g.Expect(check(t, known, passed+first+group+parent)).To(gomega.BeTrue())
	g.Expect(check(t, known, passed+first+second+group+parent)).To(gomega.BeFalse(), "another subtest fails")
	g.Expect(check(t, known, passed+group+parent)).To(gomega.BeFalse(), "the listed subtest was not run")
	g.Expect(check(t, known, passed+strings.ReplaceAll(first, "fail", "pass")+parent)).To(gomega.BeFalse(), "the test fails alone")
	g.Expect(check(t, "p | B/x | cmd | seen | 4\n", passed+first+group+parent)).To(gomega.BeFalse(), "a group does not stand for its subtests")
}
