package slope

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/io/fetch"
	"cardamomspool/io/setup"

	// The test builds the processes from these packages. The imports invalidate
	// cached test results when the packages change.
	_ "cardamomspool/io/ctrl"
	_ "cardamomspool/io/entry"
)

// entryState holds the metrics of an entry host's documents.
type entryState struct {
	Documents struct {
		State     string `json:"state"`
		InForce   int    `json:"in_force"`
		Revisions int    `json:"revisions"`
	} `json:"documents"`
}

// faultTimeout is generous, since the machine may be busy.
const faultTimeout = 20 * time.Second

// buildBinary builds cardamomspool and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cardamomspool")
	out, err := exec.Command("go", "build", "-o", path, "cardamomspool/cmd/cardamomspool").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// state returns the document metrics of the i-th entry host. If they cannot be read,
// State is the error's text.
func (f *fleet) state(i int) entryState {
	var s entryState
	if err := fetch.JSON(context.Background(), fmt.Sprintf("http://%s/debug/vars", f.entries[i].admin), &s); err != nil {
		s.Documents.State = err.Error()
	}
	return s
}

// readyStatus returns the status of the readiness check of the i-th entry host, or 0
// without an answer.
func (f *fleet) readyStatus(i int) int {
	resp, err := http.Get(fmt.Sprintf("http://%s/ready", f.entries[i].admin))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestEntryWithoutControlHosts kills all hosts and restarts two entry hosts. The one
// with a data folder serves with its last documents. The one without is not ready and
// reports that it is waiting, until a majority of control hosts is back.
func TestEntryWithoutControlHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	folder := t.TempDir()
	f, err := startFleet(ctx, buildBinary(t), 2, time.Second, func(s *setup.Entry) {
		if s.Host == "entry-1" {
			s.DataFolder = filepath.Join(folder, s.Host)
		}
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer f.stop()
	for i := range 20 {
		g.Expect(f.changeUntilAccepted(ctx, i)).To(gomega.Succeed())
	}
	g.Expect(f.waitRevisions(ctx, 21)).To(gomega.Succeed())
	for _, p := range append(f.controls, f.entries...) {
		g.Expect(p.kill()).To(gomega.Succeed())
	}
	g.Expect(f.entries[0].restart()).To(gomega.Succeed())
	g.Expect(f.entries[1].restart()).To(gomega.Succeed())
	g.Eventually(func() int { return f.readyStatus(0) }, faultTimeout).Should(gomega.Equal(http.StatusNoContent))
	g.Expect(f.state(0).Documents.Revisions).To(gomega.Equal(21))
	g.Expect(f.state(0).Documents.State).To(gomega.Equal("restored"))
	g.Expect(f.readyStatus(1)).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(f.state(1).Documents.State).To(gomega.Equal("waiting"))
	g.Expect(f.state(1).Documents.InForce).To(gomega.BeZero())
	g.Expect(f.controls[0].restart()).To(gomega.Succeed())
	g.Expect(f.controls[1].restart()).To(gomega.Succeed())
	g.Eventually(func() int { return f.readyStatus(1) }, faultTimeout).Should(gomega.Equal(http.StatusNoContent))
	g.Expect(f.state(1).Documents.Revisions).To(gomega.Equal(21))
}

// TestStaleControlHost freezes a control host during two changes and then kills the two
// other control hosts. An entry host that restarts without stored documents must not
// use the older document of the control host that is left.
func TestStaleControlHost(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	f, err := startFleet(ctx, buildBinary(t), 1, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer f.stop()
	stale := f.controls[2].cmd.Process
	g.Expect(stale.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
	for i := range 2 {
		g.Expect(f.changeUntilAccepted(ctx, i)).To(gomega.Succeed())
	}
	g.Expect(f.waitRevisions(ctx, 3)).To(gomega.Succeed())
	for _, p := range []*process{f.controls[0], f.controls[1], f.entries[0]} {
		g.Expect(p.kill()).To(gomega.Succeed())
	}
	g.Expect(stale.Signal(syscall.SIGCONT)).To(gomega.Succeed())
	g.Expect(f.entries[0].restart()).To(gomega.Succeed())
	g.Eventually(func() string { return f.state(0).Documents.State }, faultTimeout).Should(gomega.Equal("waiting"))
	g.Consistently(func() int { return f.state(0).Documents.InForce }, 2*time.Second, 50*time.Millisecond).Should(gomega.BeZero())
	g.Expect(f.controls[0].restart()).To(gomega.Succeed())
	g.Eventually(func() int { return f.state(0).Documents.Revisions }, faultTimeout).Should(gomega.Equal(3))
}

// TestFrozenControlHost freezes one control host after another, with its connections
// open, and makes a change each time, which must come into force on all entry hosts.
func TestFrozenControlHost(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	f, err := startFleet(ctx, buildBinary(t), 2, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer f.stop()
	for i := range f.controls {
		// The change goes to the control host before the frozen one.
		p := f.controls[(i+1)%len(f.controls)]
		g.Expect(p.cmd.Process.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
		g.Expect(f.changeUntilAccepted(ctx, i)).To(gomega.Succeed())
		g.Expect(f.waitRevisions(ctx, i+2)).To(gomega.Succeed())
		g.Expect(p.cmd.Process.Signal(syscall.SIGCONT)).To(gomega.Succeed())
	}
}

// TestLeavingWhenAnnouncedToKilledHost runs four trials of LeavingTimes with
// five entry hosts.
func TestLeavingWhenAnnouncedToKilledHost(t *testing.T) {
	g := gomega.NewWithT(t)
	times, err := New(buildBinary(t), WithProgress(t.Output())).leavingTimes(context.Background(), 5, 4)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(times.Max).To(gomega.BeNumerically("<", 3000))
}
