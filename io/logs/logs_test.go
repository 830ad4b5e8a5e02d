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

// TestExplainThreeKindsOfFailedCall tells of a call that was refused under
// load, one that was lost with its target and one that a cut-off host answered.
// The logs are those of bench days.
func TestExplainThreeKindsOfFailedCall(t *testing.T) {
	for name, call := range map[string]string{
		"refused": "29d9d215dee5f52b", "lost": "aa01", "cut_off": "bb02",
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

func TestExplainJoinsLogsInAnyOrderAndPassesOverOtherOutput(t *testing.T) {
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

func TestExplainKnowsNothingOfAnUnknownCall(t *testing.T) {
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
