package entry

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/strict"
	"cardamomspool/io/logs"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

// Guards against a late answer of which the log does not tell the cause, and against one in
// time that counts as late: one target sleeps, one caller sends its body late.
func TestLogTellsWhyAnswersAreLate(t *testing.T) {
	const aim, delay = 100 * time.Millisecond, 300 * time.Millisecond
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "/slow") {
			time.Sleep(delay)
		}
		io.WriteString(w, "ok")
	}))
	t.Cleanup(server.Close)
	report := rosterTarget("t", server.Listener.Addr().(*net.TCPAddr).AddrPort(), member.Ready)
	p := testPlan()
	p.Routes[0].Aim, p.Routes[0].Timeout = strict.Duration(aim), strict.Duration(10*delay)
	control := newPlannedControl(t, p, report)
	control.state.UpdateTargets(true, report)
	var out lockedBuffer
	h, url := newFleetHostWith(t, control.address, []Option{WithLogger(telem.NewLogger(&out, slog.LevelInfo, "entry-1", "lab"))},
		func(cfg *setup.Entry) { cfg.DecisionLogOneIn = 1 })
	g.Expect(callRoute(t, http.MethodGet, url+"/slow", http.NoBody)).To(gomega.Equal(http.StatusOK))
	body, in := io.Pipe()
	time.AfterFunc(delay, func() {
		io.WriteString(in, "late")
		in.Close()
	})
	g.Expect(callRoute(t, http.MethodPost, url+"/fast", body)).To(gomega.Equal(http.StatusOK))
	g.Expect(callRoute(t, http.MethodGet, url+"/fast", http.NoBody)).To(gomega.Equal(http.StatusOK))
	time.Sleep(aim)
	h.log.Info("end") // The log must go on for the aim of the last call to be in time.
	counts, err := logs.Late(strings.NewReader(out.String()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(counts.Total).To(gomega.Equal(logs.LateCount{
		Calls: 3, Within: 1, Causes: map[logs.Cause]int{logs.CauseSlow: 1, logs.CauseLink: 1},
	}), out.String())
}

// Guards against time of a call that counts for two phases or for none.
func TestPhasesAddUpToTheTimeOfTheCall(t *testing.T) {
	g := gomega.NewWithT(t)
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	c := newTiming(5*time.Millisecond, begin)
	c.enter(phaseDecision, at(10))
	c.enter(phaseHeld, at(12))
	c.beginAttempt(at(32))
	c.endAttempt(marks{connected: at(33)}, at(40)) // The attempt fails.
	c.beginAttempt(at(41))
	c.endAttempt(marks{begun: at(50), connected: at(52), written: at(52), answered: at(90)}, at(93)) // As the second one of a race.
	c.enter(phaseDecision, at(94))
	got := make([]int, phases)
	for p, spent := range c.spent {
		got[p] = int(spent.Milliseconds())
	}
	g.Expect(got).To(gomega.Equal([]int{5, 10, 4, 20, 17, 2, 0, 38, 3}))
}
