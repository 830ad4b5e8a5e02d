package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/internal/golden"
	"cardamomspool/io/logs"
)

// logLine returns a log line of host a number of milliseconds after a fixed time. The fields
// are JSON without braces.
func logLine(host string, at int, message, fields string) string {
	t := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(at) * time.Millisecond)
	return fmt.Sprintf("%s {\"time\":%q,\"host\":%q,\"msg\":%q,%s}\n", host, t.Format(time.RFC3339Nano), host, message, fields)
}

// routedLine returns the line about the first attempt of a call that has just arrived.
func routedLine(host string, at int, call, target, more string) string {
	return logLine(host, at, "routed", fmt.Sprintf(`"call":%q,"target":%q,"attempt":1,"why":"fastest","rank":1,"aim":"300ms"%s`, call, target, more))
}

// answeredLate returns the line about a late answer with one phase of 400 ms.
func answeredLate(host string, at int, call, target, phase string) string {
	return logLine(host, at, "answered late", fmt.Sprintf(
		`"call":%q,"target":%q,"rank":1,"aim":"300ms","late_before":false,"decision_us":3000,%q:400000,"after":"403ms"`, call, target, phase))
}

// lateLog is a log of two hosts with one call for each cause. Host a is lost at 3.9 s.
func lateLog() string {
	const end = 400
	lines := []string{
		routedLine("a", 0, "in-time", "t1", ""),
		routedLine("a", 1, "plan", "t1", ""), answeredLate("a", end, "plan", "t1", "plan_us"),
		routedLine("a", 2, "held", "t1", ""), answeredLate("a", end, "held", "t1", "queue_us"),
		routedLine("b", 3, "link", "t1", ""), answeredLate("b", end, "link", "t1", "body_us"),
		routedLine("b", 4, "slow", "t2", ""), answeredLate("b", 404, "slow", "t2", "target_us"),
		routedLine("a", 405, "known", "t2", ""), answeredLate("a", 808, "known", "t2", "target_us"),
		routedLine("b", 500, "raced", "t3", ""), routedLine("b", 800, "raced", "t1", `,"extra":true`),
		answeredLate("b", 903, "raced", "t1", "earlier_us"),
		logLine("a", 600, "refused", `"call":"refused","reason":"no_prospect","rank":2,"aim":"1s","after":"5ms"`),
		routedLine("a", 610, "failed", "t4", ""),
		logLine("a", 620, "target not reached", `"call":"failed","target":"t4","link_lost":false,"error":"dial: connection refused"`),
		logLine("a", 630, "refused", `"call":"failed","reason":"target_failed","after":"20ms"`),
		routedLine("b", 640, "lost", "t4", ""),
		logLine("b", 650, "attempt failed", `"call":"lost","target":"t4","link_lost":false,"error":"EOF"`),
		logLine("b", 660, "refused", `"call":"lost","reason":"target_failed","after":"20ms"`),
		routedLine("b", 700, "left", "t1", ""), logLine("b", 750, "given up", `"call":"left","reason":"caller_gone","after":"50ms"`),
		routedLine("b", 760, "left-late", "t5", ""), logLine("b", 1800, "given up", `"call":"left-late","reason":"caller_gone","after":"1.04s"`),
		logLine("a", 770, "refused", `"call":"again","reason":"queue_full","rank":1,"aim":"300ms","after":"1ms"`), routedLine("b", 900, "again", "t1", ""),
		logLine("b", 910, "no service", `"call":"unrouted","reason":"no_plan"`),
		routedLine("b", 920, "back", "t1", ""),
		logLine("b", 930, "answered late", `"call":"back","target":"t1","rank":1,"aim":"300ms","late_before":true,"target_us":10000,"after":"10ms"`),
		routedLine("a", 3800, "cut-off", "t1", ""), logLine("a", 3900, "service state", `"open":1`),
		logLine("a", 9000, "entry host serves", `"call_address":"x"`), logLine("b", 9000, "service state", `"open":0`),
	}
	return strings.Join(lines, "")
}

// Guards against a call that is counted twice or with a wrong cause, and against one whose
// host was lost that counts as answered in time.
func TestLateCallsHaveOneCauseEach(t *testing.T) {
	g := gomega.NewWithT(t)
	report, err := logs.Late(strings.NewReader(lateLog()), strings.NewReader("not a log line\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var out bytes.Buffer
	g.Expect(report.WriteText(&out)).To(gomega.Succeed())
	golden.Compare(t, "late", out.String())
	for _, w := range append(report.Windows, logs.LateWindow{Classes: report.Classes, Total: report.Total}) {
		sum := 0
		for _, class := range append(w.Classes, logs.LateClass{LateCount: w.Total}) {
			n := class.Within + class.Unknown
			for _, count := range class.Causes {
				n += count
			}
			g.Expect(n).To(gomega.Equal(class.Calls))
			sum += class.Calls
		}
		g.Expect(sum).To(gomega.Equal(2 * w.Total.Calls))
	}
}

// Guards against a report on logs of hosts of earlier versions that passes for a whole one.
func TestLateNotesWhatLinesDoNotTell(t *testing.T) {
	g := gomega.NewWithT(t)
	report, err := logs.Late(strings.NewReader(
		logLine("a", 0, "routed", `"call":"x","target":"t","attempt":1,"asked_after_us":500,"held_us":0`) +
			logLine("a", 900, "given up", `"call":"x","reason":"deadline","after":"901ms"`)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(report.Total.Causes).To(gomega.Equal(map[logs.Cause]int{logs.CauseSlow: 1}))
	g.Expect(report.Notes).To(gomega.HaveLen(1))
}

func FuzzLate(f *testing.F) {
	f.Add(lateLog())
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = logs.Late(strings.NewReader(text)) // Must not panic.
	})
}
