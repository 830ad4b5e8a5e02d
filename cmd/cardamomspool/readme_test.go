package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/internal/free"
)

// shellBlocks returns the sh code blocks of a page in Markdown.
func shellBlocks(page string) []string {
	var blocks []string
	for {
		_, rest, found := strings.Cut(page, "```sh\n")
		if !found {
			return blocks
		}
		block, after, _ := strings.Cut(rest, "```")
		blocks, page = append(blocks, block), after
	}
}

// copyExamples copies the example files into a folder. They name ip in place of 127.0.0.1.
func copyExamples(folder, ip string) error {
	return filepath.WalkDir("../../examples", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		to := filepath.Join(folder, strings.TrimPrefix(path, "../../"))
		if entry.IsDir() {
			return os.MkdirAll(to, 0o700)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(to, bytes.ReplaceAll(text, []byte("127.0.0.1"), []byte(ip)), 0o600)
	})
}

// TestReadmeRunsSeparateProcesses runs the block of README.md that starts the example
// system as separate processes, in a folder of its own, with the example files beside it.
// Another loopback address takes the place of 127.0.0.1, where the same system may run.
func TestReadmeRunsSeparateProcesses(t *testing.T) {
	const build = "go build -o . ./cmd/...\n"
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../README.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	script := ""
	for _, block := range shellBlocks(string(page)) {
		if strings.Contains(block, "spoollab load") {
			script = block
		}
	}
	g.Expect(script).To(gomega.HavePrefix(build))
	settings, err := os.ReadFile("../../examples/altiplano/control-1.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(settings)).To(gomega.ContainSubstring(defaultControl), "ctl finds a control host of the example")
	root, err := filepath.Abs("../..")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	folder, ip := t.TempDir(), free.IP().String()
	g.Expect(copyExamples(folder, ip)).To(gomega.Succeed())
	control := strings.ReplaceAll(defaultControl, "127.0.0.1", ip)
	script = strings.ReplaceAll(strings.ReplaceAll(script, "127.0.0.1", ip), "ctl apply ", "ctl apply --control "+control+" ")
	command := exec.Command("go", "build", "-o", folder, "./cmd/...")
	command.Dir = root
	output, err := command.CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(output))

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var stdout, stderr bytes.Buffer
	command = exec.CommandContext(ctx, "bash", "-c", strings.TrimPrefix(script, build)+"wait\n")
	command.Dir, command.Stdout, command.Stderr = folder, &stdout, &stderr
	begin := time.Now()
	err = command.Run()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("from %s to %s; standard output:\n%s\nstandard error:\n%s", begin.Format(time.RFC3339Nano), time.Now().Format(time.RFC3339Nano), &stdout, &stderr)
		}
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var s struct {
		Calls    int `json:"calls"`
		Answered int `json:"answered"`
	}
	for _, line := range strings.Split(stdout.String(), "\n") {
		if strings.HasPrefix(line, `{"calls"`) {
			g.Expect(json.Unmarshal([]byte(line), &s)).To(gomega.Succeed(), line)
		}
	}
	g.Expect(s.Calls).To(gomega.Equal(1000), stdout.String())
	g.Expect(s.Answered).To(gomega.Equal(1000), stdout.String())
}

// TestExampleDocumentsAreValid checks that operators who start from the example
// documents get the default policy and valid documents.
func TestExampleDocumentsAreValid(t *testing.T) {
	g := gomega.NewWithT(t)
	paths, err := filepath.Glob("../../examples/*/services/*.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(paths).NotTo(gomega.BeEmpty())
	for _, path := range paths {
		body, readErr := os.ReadFile(path)
		g.Expect(readErr).NotTo(gomega.HaveOccurred())
		doc, faults := spec.Parse(body)
		g.Expect(faults).To(gomega.BeEmpty(), path)
		g.Expect(doc.Route.Policy).To(gomega.Equal(spec.Default().Route.Policy), path)
	}
}
