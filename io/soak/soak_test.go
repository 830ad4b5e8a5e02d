package soak

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	// The test builds the processes from these packages. The imports invalidate
	// cached test results when the packages change.
	_ "cardamomspool/io/ctrl"
	_ "cardamomspool/io/entry"
	"cardamomspool/io/relay"
)

// testLimit bounds each soak run and each wait for a log line.
const testLimit = 3 * time.Minute

// programs builds cardamomspool and spoollab and returns their paths.
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

// TestSoak runs short soak tests of real processes with fixed seeds.
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
			g.Expect(report.KeyChanges).To(gomega.BeNumerically(">", 0))
			g.Expect(report.Forbidden).To(gomega.BeNumerically(">", 2500/forbiddenOneIn/2))
			t.Logf("%d calls that must not run, %d withdrawals, %d calls reset by a full target", report.Forbidden, report.KeyChanges, report.Resets)
		})
	}
}

// Guards against callers that are not served at entry hosts that have lost their links to
// the targets, with kills and freezes on top.
func TestCallersOfCutOffEntryHostsAreServed(t *testing.T) {
	system, lab := programs(t)
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	var events []Event
	add := func(at time.Duration, fault Fault, victims ...string) {
		for _, victim := range victims {
			events = append(events, Event{At: at, Victim: victim, Fault: fault})
		}
	}
	add(0, CutOff{Mode: relay.CutHangs, For: 5 * time.Second}, "entry-1")
	add(time.Second, Kill{Down: 200 * time.Millisecond}, "entry-4")
	add(6*time.Second, CutOff{Mode: relay.CutRefuses, For: 5 * time.Second}, "entry-1", "entry-2", "entry-3")
	add(7*time.Second, Freeze{For: time.Second}, "control-1")
	add(12*time.Second, CutOff{Mode: relay.CutResets, For: 5 * time.Second}, "entry-1", "entry-2")
	add(16*time.Second, Freeze{For: 500 * time.Millisecond}, "entry-3")
	report, err := New(system, []string{lab, "soak-target"}, t.TempDir(), WithSize(3, 4, 6), WithEvents(events), WithCalls(3000), WithPause(50*time.Millisecond)).Run(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "%+v", report)
	g.Expect(report.ByKind["cut_off"]).To(gomega.Equal(6))
	t.Logf("%d of %d calls at cut off entry hosts were not served", report.CutUnserved, report.CutCalls)
	g.Expect(report.CutCalls).To(gomega.BeNumerically(">", 100))
}

// TestCheckDetectsEachFault checks one call per way of handling it, rightly or wrongly.
func TestCheckDetectsEachFault(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := &process{name: "entry-1"}
	records := []callRecord{
		{id: "fine", entry: entry, intact: true},
		{id: "fine-not-run", entry: entry, outcome: "not_run"},
		{id: "safe-twice", entry: entry, intact: true, idempotent: true},
		{id: "foreign", entry: entry},
		{id: "false-not-run", entry: entry, outcome: "not_run"},
		{id: "twice", entry: entry, intact: true},
		{id: "never", entry: entry, intact: true},
		{id: "cut", entry: entry, err: errors.New("reset")},
		{id: "unknown", entry: entry, outcome: "unknown"},
	}
	runs := map[string]int{"fine": 1, "safe-twice": 2, "foreign": 1, "false-not-run": 1, "twice": 2, "cut": 1, "unknown": 1}
	untouched := func(*callRecord) bool { return false }
	report := check(records, runs, untouched)
	g.Expect(report.Faults).To(gomega.HaveLen(6))
	g.Expect([]int{report.ForeignAnswers, report.FalseNotRun, report.RanTwice, report.NeverRan, report.CutOff}).
		To(gomega.Equal([]int{1, 1, 1, 1, 2}))
	g.Expect(report.Err()).To(gomega.MatchError(ErrFaults))
	disturbed := func(*callRecord) bool { return true }
	g.Expect(check(records, runs, disturbed).CutOff).To(gomega.BeZero())
}

func TestOutageCoversRecoveryTime(t *testing.T) {
	g := gomega.NewWithT(t)
	begin := time.Unix(1000, 0)
	p := &process{outages: []interval{{begin: begin, end: begin.Add(time.Second)}}}
	g.Expect(p.hadOutage(begin.Add(-2*time.Second), begin.Add(-time.Second))).To(gomega.BeFalse())
	g.Expect(p.hadOutage(begin.Add(-time.Second), begin.Add(time.Second/2))).To(gomega.BeTrue())
	g.Expect(p.hadOutage(begin.Add(time.Second+recoveryTime/2), begin.Add(time.Hour))).To(gomega.BeTrue())
	g.Expect(p.hadOutage(begin.Add(time.Second+2*recoveryTime), begin.Add(time.Hour))).To(gomega.BeFalse())
}

func TestTargetsBeyondTheirLimitAreFound(t *testing.T) {
	g := gomega.NewWithT(t)
	begin := time.Now()
	var arrivals []time.Time
	for i := range 60 {
		arrivals = append(arrivals, begin.Add(time.Duration(i)*100*time.Millisecond))
	}
	excused := 0
	overLimit := func(from time.Time) int {
		var report Report
		report.checkLimit("t", arrivals, from, func(time.Time, time.Time) int { return excused })
		return report.OverLimit
	}
	g.Expect(overLimit(begin)).To(gomega.Equal(1))
	g.Expect(overLimit(begin.Add(3500*time.Millisecond))).To(gomega.BeZero(), "too few are left")
	excused = 11
	g.Expect(overLimit(begin)).To(gomega.BeZero())
	file := filepath.Join(t.TempDir(), "arrivals")
	g.Expect(os.WriteFile(file, []byte(formatArrival(begin)+formatArrival(begin.Add(time.Second))), 0o600)).To(gomega.Succeed())
	read, err := readArrivals(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read).To(gomega.HaveLen(2))
	g.Expect(read[1].Sub(read[0])).To(gomega.Equal(time.Second))
}

func TestReadRunsCountsCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "record")
	g.Expect(os.WriteFile(file, []byte("a\nb\na\n"), 0o600)).To(gomega.Succeed())
	g.Expect(readRuns([]string{file})).To(gomega.Equal(map[string]int{"a": 2, "b": 1}))
}

// TestSecondSignalEndsEntryHostAtOnce sends SIGTERM to an entry host with a long
// drain delay, and then SIGINT, as an operator at a terminal does. The second signal
// must end the host without the delay.
func TestSecondSignalEndsEntryHostAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	system, _ := programs(t)
	s := New(system, nil, t.TempDir())
	controls, err := newPeers(KindControl, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	entries, err := newPeers(KindEntry, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.addEntry(entries[0], controls, entries)
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

// Guards against a run that spends its calls on a killed entry host, which refuses
// thousands of connections until the next poll of readiness.
func TestRefusingEntryIsPickedOnlyAfterNextPoll(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New("", nil, "")
	dead, live := &process{}, &process{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.callAddress[dead] = l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	s.readyEntries.Store(&[]*process{dead, live})
	rng := rand.New(rand.NewPCG(1, 1))
	c := &caller{client: http.DefaultClient, entry: dead, sticky: true}
	s.call(t.Context(), c, rng, 1)
	for range 20 {
		g.Expect(s.pick(t.Context(), rng)).To(gomega.BeIdenticalTo(live))
	}
}
