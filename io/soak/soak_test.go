package soak

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	// The processes under test are built from these; the imports let go test
	// see when they have changed.
	_ "cardamomspool/io/ctrl"
	_ "cardamomspool/io/entry"
)

const testLimit = 3 * time.Minute

// programs builds both programs and returns their paths.
func programs(t *testing.T) (system, lab string) {
	t.Helper()
	folder := t.TempDir()
	build := exec.Command("go", "build", "-o", folder+"/", "cardamomspool/cmd/cardamomspool", "cardamomspool/cmd/spoollab")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return filepath.Join(folder, "cardamomspool"), filepath.Join(folder, "spoollab")
}

// TestSoak runs short soaks with fixed seeds over real processes.
func TestSoak(t *testing.T) {
	system, lab := programs(t)
	for name, opts := range map[string][]Option{
		"kills, freezes and stops": {WithSeed(2), WithCalls(2500)},
		"graceful stops only":      {WithSeed(1), WithCalls(2500), WithGentle()},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			defer cancel()
			report, err := New(system, []string{lab, "soak-target"}, t.TempDir(), opts...).Run(ctx)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "%+v", report)
			g.Expect(report.Calls).To(gomega.Equal(2500))
			g.Expect(report.Events).To(gomega.BeNumerically(">", 0))
			g.Expect(report.Answered).To(gomega.BeNumerically(">", 2500/2))
		})
	}
}

// TestCheckerFindsEachFault gives the checker one call of each kind.
func TestCheckerFindsEachFault(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := &process{name: "entry-1"}
	records := []record{
		{id: "fine", entry: entry, own: true},
		{id: "fine-not-run", entry: entry, outcome: "not_run"},
		{id: "safe-twice", entry: entry, own: true, safe: true},
		{id: "foreign", entry: entry},
		{id: "false-not-run", entry: entry, outcome: "not_run"},
		{id: "twice", entry: entry, own: true},
		{id: "never", entry: entry, own: true},
		{id: "cut", entry: entry, err: errors.New("reset")},
		{id: "unknown", entry: entry, outcome: "unknown"},
	}
	runs := map[string]int{"fine": 1, "safe-twice": 2, "foreign": 1, "false-not-run": 1, "twice": 2, "cut": 1, "unknown": 1}
	untouched := func(*record) bool { return false }
	report := check(records, runs, untouched)
	g.Expect(report.Faults).To(gomega.HaveLen(6))
	g.Expect([]int{report.ForeignAnswers, report.FalseNotRun, report.RanTwice, report.NeverRan, report.CutOff}).
		To(gomega.Equal([]int{1, 1, 1, 1, 2}))
	g.Expect(report.Err()).To(gomega.MatchError(ErrFaults))
	hurt := func(*record) bool { return true }
	g.Expect(check(records, runs, hurt).CutOff).To(gomega.BeZero())
}

func TestProcessIsHurtFromBeforeUntilAfterwards(t *testing.T) {
	g := gomega.NewWithT(t)
	begin := time.Unix(1000, 0)
	p := &process{hurt: []span{{begin: begin, end: begin.Add(time.Second)}}}
	g.Expect(p.wasHurt(begin.Add(-2*time.Second), begin.Add(-time.Second))).To(gomega.BeFalse())
	g.Expect(p.wasHurt(begin.Add(-time.Second), begin.Add(time.Second/2))).To(gomega.BeTrue())
	g.Expect(p.wasHurt(begin.Add(time.Second+aftermath/2), begin.Add(time.Hour))).To(gomega.BeTrue())
	g.Expect(p.wasHurt(begin.Add(time.Second+2*aftermath), begin.Add(time.Hour))).To(gomega.BeFalse())
}

func TestTargetRecordIsCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "record")
	g.Expect(os.WriteFile(file, []byte("a\nb\na\n"), 0o600)).To(gomega.Succeed())
	g.Expect(readRuns([]string{file})).To(gomega.Equal(map[string]int{"a": 2, "b": 1}))
}

// TestSecondSignalEndsAnEntryHostAtOnce signals a host with a long drain
// delay twice, the second time as an operator at a terminal does.
func TestSecondSignalEndsAnEntryHostAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	system, _ := programs(t)
	s := New(system, nil, t.TempDir())
	controls, err := peers(KindControl, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	entries, err := peers(KindEntry, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.planEntry(entries[0], controls, entries)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p := s.entries[0]
	file := p.args[len(p.args)-1]
	data, err := os.ReadFile(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	long := bytes.Replace(data, []byte(`"drain_delay":"1s"`), []byte(`"drain_delay":"10m0s"`), 1)
	g.Expect(long).NotTo(gomega.Equal(data))
	g.Expect(os.WriteFile(file, long, 0o600)).To(gomega.Succeed())
	g.Expect(p.start()).To(gomega.Succeed())
	t.Cleanup(func() { p.kill() })
	logged := func() string {
		text, _ := os.ReadFile(filepath.Join(s.folder, p.name+".log"))
		return string(text)
	}
	g.Eventually(logged, testLimit).Should(gomega.ContainSubstring("entry host serves"))
	g.Expect(p.signal(syscall.SIGTERM)).To(gomega.Succeed())
	g.Eventually(logged, testLimit).Should(gomega.ContainSubstring("entry host drains"))
	g.Consistently(p.exited, 300*time.Millisecond).ShouldNot(gomega.BeClosed())
	g.Expect(p.signal(syscall.SIGINT)).To(gomega.Succeed())
	g.Expect(p.wait()).To(gomega.Succeed())
}
