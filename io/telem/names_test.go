package telem

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// metricNames returns the names of all metrics that the code registers, as found
// by searching its source.
func metricNames(g *gomega.WithT) []string {
	var (
		direct  = regexp.MustCompile(`(?i:metrics|vars)\.(?:Counter|Func|Histogram|Set)\("([a-z0-9_]+)"`)
		traffic = regexp.MustCompile(`trafficOf\([a-z.]+, "([a-z]+)"\)`)
		list    []string
	)
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range direct.FindAllStringSubmatch(string(text), -1) {
			list = append(list, m[1])
		}
		for _, m := range traffic.FindAllStringSubmatch(string(text), -1) {
			list = append(list, m[1]+"_bytes_in", m[1]+"_bytes_out")
		}
		return nil
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, kind := range []string{"agreement", "watch"} { // io/ctrl/traffic.go
		list = append(list, kind+"_bytes_in", kind+"_bytes_out", kind+"_messages")
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// The first column of the tables in docs/METRICS.md must list exactly the metrics
// that the code registers.
func TestMetricsPageListsAllMetrics(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var listed []string
	quoted := regexp.MustCompile("`([a-z0-9_]+)`")
	for line := range strings.SplitSeq(string(page), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		first, _, _ := strings.Cut(line[2:], "|")
		for _, m := range quoted.FindAllStringSubmatch(first, -1) {
			listed = append(listed, m[1])
		}
	}
	slices.Sort(listed)
	g.Expect(slices.Compact(listed)).To(gomega.Equal(metricNames(g)))
}
