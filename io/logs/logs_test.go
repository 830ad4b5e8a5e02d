package logs_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/internal/golden"
	"cardamomspool/io/logs"
)

// TestExplainFailedCalls explains a call that was refused under load, one that was
// lost when its target failed, one that a partitioned host answered, one whose second
// attempt won, and one that a stop cut off. The logs come from runs on the test bench, the
// last two from tests of io/entry.
func TestExplainFailedCalls(t *testing.T) {
	for name, call := range map[string]string{
		"refused": "29d9d215dee5f52b", "lost": "aa01", "cut_off": "bb02", "second_attempt": "cc03",
		"cut_by_stop": "dd04",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			data, err := os.ReadFile(filepath.Join("testdata", name+".log"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var out bytes.Buffer
			g.Expect(logs.Explain(&out, call, bytes.NewReader(data))).To(gomega.Succeed())
			golden.Compare(t, name, out.String())
		})
	}
}

func TestExplainMergesLogsAndSkipsOtherOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	one := `  3.1 entry-1 {"time":"2026-01-01T00:00:01Z","host":"entry-1","msg":"refused","call":"x","reason":"no_target"}` + "\npanic: {not json\n"
	two := `{"time":"2026-01-01T00:00:00.5Z","host":"entry-1","msg":"control host lost","address":"10.0.0.1:1"}` + "\n" +
		`{"time":"2026-01-01T00:00:00.6Z","host":"entry-2","msg":"control host lost","address":"10.0.0.1:1"}` + "\n" +
		`{"time":"2026-01-01T00:00:00.9Z","host":"entry-1","msg":"routed","call":"y"}` + "\n"
	var out bytes.Buffer
	g.Expect(logs.Explain(&out, "x", strings.NewReader(one), strings.NewReader(two))).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.Equal("call x, first line at 2026-01-01T00:00:01Z\n" +
		"     -0.500s entry-1: control host lost address=10.0.0.1:1\n" +
		"*    +0.000s entry-1: refused reason=no_target\n"))
}

func TestExplainUnknownCall(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	g.Expect(logs.Explain(&out, "x", strings.NewReader(""))).To(gomega.MatchError(logs.ErrNotFound))
	g.Expect(out.String()).To(gomega.BeEmpty())
}

func FuzzExplain(f *testing.F) {
	f.Add("x", `{"time":"2026-01-01T00:00:00Z","call":"x"}`)
	f.Fuzz(func(_ *testing.T, id, text string) {
		var out bytes.Buffer
		_ = logs.Explain(&out, id, strings.NewReader(text)) // Must not panic.
	})
}

func TestTimeline(t *testing.T) {
	g := gomega.NewWithT(t)
	control := `{"time":"2026-01-01T00:00:00Z","host":"control-1","msg":"plan proposed","version":69,"held":68}
{"time":"2026-01-01T00:00:00.02Z","host":"control-1","msg":"configuration acknowledged","version":69}
{"time":"2026-01-01T00:00:05Z","host":"control-1","msg":"plan proposed","version":70}
`
	entries := `{"time":"2026-01-01T00:00:00.03Z","host":"entry-2","msg":"plan in force","version":69}
{"time":"2026-01-01T00:00:00.4Z","host":"entry-1","msg":"plan in force","version":69}
{"time":"2026-01-01T00:00:00.05Z","host":"entry-1","msg":"target changed","target":"69"}
`
	var out bytes.Buffer
	g.Expect(logs.Timeline(&out, logs.Subject{Key: "version", Value: "69"}, strings.NewReader(entries), strings.NewReader(control))).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.Equal("version 69, first line at 2026-01-01T00:00:00Z\n" +
		"     +0.000s control-1: plan proposed held=68 version=69\n" +
		"     +0.020s control-1: configuration acknowledged version=69\n" +
		"     +0.030s entry-2: plan in force version=69\n" +
		"               2 lines of 2 hosts, the last at +0.400s by entry-1\n"))
	out.Reset()
	g.Expect(logs.Timeline(&out, logs.Subject{Key: "target", Value: "69"}, strings.NewReader(entries))).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.ContainSubstring("+0.000s entry-1: target changed target=69\n"))
	g.Expect(logs.Timeline(&out, logs.Subject{Key: "target", Value: "x"}, strings.NewReader(entries))).To(gomega.MatchError(logs.ErrNoSubject))
}
