package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a CI step that passes, or fails without saying why, in a shallow clone that does
// not have the commit from which hosts are replaced.
func TestUpgradeStepNamesAMissingCommit(t *testing.T) {
	g := gomega.NewWithT(t)
	source, clone := t.TempDir(), filepath.Join(t.TempDir(), "clone")
	run := func(folder, name string, args ...string) (string, error) {
		cmd := exec.Command(name, args...)
		cmd.Dir = folder
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	git := func(args ...string) string {
		out, err := run(source, "git", append([]string{"-c", "user.name=test", "-c", "user.email=test@localhost"}, args...)...)
		g.Expect(err).NotTo(gomega.HaveOccurred(), out)
		return out
	}
	g.Expect(os.Mkdir(filepath.Join(source, ".ci"), 0o755)).To(gomega.Succeed())
	step, err := os.ReadFile(filepath.Join("..", "..", ".ci", "upgrade"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(source, ".ci", "upgrade"), step, 0o755)).To(gomega.Succeed())
	git("init", "--quiet")
	git("add", ".")
	git("commit", "--quiet", "--message", "first")
	first := git("rev-parse", "HEAD")[:12]
	g.Expect(os.WriteFile(filepath.Join(source, ".ci", "upgrade-from"), []byte("# A comment.\n"+first+"\n"), 0o644)).To(gomega.Succeed())
	git("add", ".")
	git("commit", "--quiet", "--message", "second")
	git("clone", "--quiet", "--depth", "1", "file://"+source, clone)
	out, err := run(clone, filepath.Join(".ci", "upgrade"))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(out).To(gomega.ContainSubstring("FAILED: commit " + first))
	g.Expect(out).To(gomega.ContainSubstring("shallow clone"))
}
