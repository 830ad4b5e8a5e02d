package logs

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

type (
	// Cause says why a call was not answered within its aim.
	Cause string

	// LateCount counts calls.
	LateCount struct {
		// Calls is the number of calls, and Within that of those that were answered within
		// their aim.
		Calls  int `json:"calls"`
		Within int `json:"within"`
		// Unknown is the number of calls of which the log does not tell the end, since their
		// host was lost or the log ends before their aim had passed.
		Unknown int `json:"unknown"`
		// Causes counts the other calls by cause.
		Causes map[Cause]int `json:"causes"`
	}

	// LateClass counts the calls of a class.
	LateClass struct {
		// Class is the rank and the aim of the calls; empty if no line tells it, or in a sum.
		Class string `json:"class"`
		LateCount
	}

	// LateWindow counts the calls that have arrived within a window of lateWindow.
	LateWindow struct {
		// Begin is the begin of the window.
		Begin time.Time `json:"begin"`
		// Classes is sorted by Class.
		Classes []LateClass `json:"classes"`
		// Total is the sum of all classes.
		Total LateCount `json:"total"`
	}

	// LateReport counts the calls of logs by window, class and cause.
	LateReport struct {
		// Windows holds all windows with calls, in order of time.
		Windows []LateWindow `json:"windows"`
		// Classes holds the sums of all windows, and Total that of all classes.
		Classes []LateClass `json:"classes"`
		Total   LateCount   `json:"total"`
		// Notes says what the lines do not tell.
		Notes []string `json:"notes,omitempty"`
	}

	// lateCall is one call over all requests with its name.
	lateCall struct {
		requests []*request
	}

	// slowTargets holds, for each target, the times at which a host had learnt that it is
	// slow or fails, in order.
	slowTargets map[string][]time.Time
)

// The causes of late calls. That of a refused call is CauseRefused and the reason.
const (
	// CauseDecision means that most of the time was spent before the first plan, the key
	// lease or the decision where to send the call had arrived.
	CauseDecision Cause = "waited_for_decision"
	// CauseHeld means that the call was held for a slot.
	CauseHeld Cause = "held_for_slot"
	// CauseSlow means that the target took most of the time, and that no host had learnt
	// before that it is slow.
	CauseSlow Cause = "target_slow_by_then"
	// CauseKnownSlow means the same, but an answer or a failure within knownFor before the
	// decision had shown it, or the decision expected it.
	CauseKnownSlow Cause = "target_known_slow"
	// CauseLink means that bytes of the call were queued: its body from the caller or to
	// the target, its connection or its answer.
	CauseLink Cause = "link_queue"
	// CauseTargetFailed means that a target answered with a failure, refused or reset the
	// connection.
	CauseTargetFailed Cause = "target_failed"
	// CauseConnectionLost means that a connection to a target was lost or not opened.
	CauseConnectionLost Cause = "connection_lost"
	// CauseCallerLeft means that the caller left before the aim had passed.
	CauseCallerLeft Cause = "caller_left"
	// CauseStop means that the entry host stopped and cut the call off.
	CauseStop Cause = "cut_off_by_stop"
	// CauseReturned means that the caller made the call again too late for its aim, and
	// that no line tells what became of the request before.
	CauseReturned Cause = "returned_late"
	// CauseRefused precedes the reason of a refusal.
	CauseRefused Cause = "refused: "
)

const (
	// lateWindow is the length of a window.
	lateWindow = 2 * time.Second
	// knownFor is how long a late answer or a failure of a target counts as a sign that it
	// is slow. Hosts that decide learn by probes or other answers within that time if the
	// target has recovered.
	knownFor = 2 * time.Second
)

// Late counts the calls of logs by window of 2 s, class and cause. The readers may hold
// logs of several hosts in any order. Text before the JSON object of a line is accepted.
// Requests with the same call name are one call: the first one gives the window, and the
// first one that was not answered in time gives the cause. A window holds the calls that
// have arrived in it, as far as the lines tell.
func Late(readers ...io.Reader) (*LateReport, error) {
	c, err := collect(readers)
	if err != nil {
		return nil, err
	}
	slow := c.slowTargets()
	counts := make(map[time.Time]map[string]*LateCount)
	for _, call := range c.calls {
		begin := call.requests[0].begin.Truncate(lateWindow)
		if counts[begin] == nil {
			counts[begin] = make(map[string]*LateCount)
		}
		class := call.class()
		if counts[begin][class] == nil {
			counts[begin][class] = new(LateCount)
		}
		counts[begin][class].add(c.outcome(call, slow))
	}
	return c.report(counts), nil
}

// add counts a call with the given outcome.
func (n *LateCount) add(o outcome) {
	n.Calls++
	switch o := o.(type) {
	case inTime:
		n.Within++
	case endUnknown:
		n.Unknown++
	case late:
		if n.Causes == nil {
			n.Causes = make(map[Cause]int)
		}
		n.Causes[o.cause]++
	}
}

// merge adds other to n.
func (n *LateCount) merge(other *LateCount) {
	n.Calls, n.Within, n.Unknown = n.Calls+other.Calls, n.Within+other.Within, n.Unknown+other.Unknown
	for cause, count := range other.Causes {
		if n.Causes == nil {
			n.Causes = make(map[Cause]int)
		}
		n.Causes[cause] += count
	}
}

// report returns the report on the calls counted by window and class.
func (c *collection) report(counts map[time.Time]map[string]*LateCount) *LateReport {
	r := &LateReport{Notes: c.notes()}
	sums := make(map[string]*LateCount)
	for begin, classes := range counts {
		w := LateWindow{Begin: begin, Classes: sortedClasses(classes)}
		for _, class := range w.Classes {
			w.Total.merge(&class.LateCount)
			if sums[class.Class] == nil {
				sums[class.Class] = new(LateCount)
			}
			sums[class.Class].merge(&class.LateCount)
		}
		r.Total.merge(&w.Total)
		r.Windows = append(r.Windows, w)
	}
	slices.SortFunc(r.Windows, func(a, b LateWindow) int { return a.Begin.Compare(b.Begin) })
	r.Classes = sortedClasses(sums)
	return r
}

func sortedClasses(counts map[string]*LateCount) []LateClass {
	list := make([]LateClass, 0, len(counts))
	for class, n := range counts {
		list = append(list, LateClass{Class: class, LateCount: *n})
	}
	slices.SortFunc(list, func(a, b LateClass) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

// slowTargets returns what the hosts had learnt of targets.
func (c *collection) slowTargets() slowTargets {
	slow := make(slowTargets)
	for _, call := range c.calls {
		for _, r := range call.requests {
			for _, f := range r.failures {
				slow[f.target] = append(slow[f.target], f.at)
			}
			if r.end != nil && r.spent.largest() == partTarget {
				slow[r.lastTarget()] = append(slow[r.lastTarget()], r.endAt)
			}
		}
	}
	for _, list := range slow {
		slices.SortFunc(list, time.Time.Compare)
	}
	return slow
}

// knownAt reports whether a host had learnt within knownFor before at that the target is
// slow.
func (s slowTargets) knownAt(target string, at time.Time) bool {
	i, _ := slices.BinarySearchFunc(s[target], at, time.Time.Compare)
	return i > 0 && at.Sub(s[target][i-1]) <= knownFor
}

// class returns the class that the first line with one names.
func (c *lateCall) class() string {
	for _, r := range c.requests {
		if r.class != "" {
			return r.class
		}
	}
	return ""
}

// WriteText writes the report as a table with a line for each window and class. The time
// of a window is relative to the first one. Causes are sorted by how many calls they have.
func (r *LateReport) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Windows) > 0 {
		fmt.Fprintf(w, "windows of %s, the first at %s\n", lateWindow, r.Windows[0].Begin.Format(time.RFC3339))
	}
	fmt.Fprintln(tw, "WINDOW\tCLASS\tCALLS\tIN TIME\tUNKNOWN\tCAUSES")
	for _, v := range r.Windows {
		name := fmt.Sprintf("%+.0fs", v.Begin.Sub(r.Windows[0].Begin).Seconds())
		for _, class := range v.Classes {
			writeLateRow(tw, name, class.Class, &class.LateCount)
		}
		writeLateRow(tw, name, "total", &v.Total)
	}
	for _, class := range r.Classes {
		writeLateRow(tw, "all", class.Class, &class.LateCount)
	}
	writeLateRow(tw, "all", "total", &r.Total)
	for _, note := range r.Notes {
		fmt.Fprintf(tw, "note: %s\n", note)
	}
	return tw.Flush()
}

func writeLateRow(w io.Writer, window, class string, n *LateCount) {
	causes := slices.SortedFunc(maps.Keys(n.Causes), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(n.Causes[b], n.Causes[a]), cmp.Compare(a, b))
	})
	list := make([]string, len(causes))
	for i, cause := range causes {
		list[i] = fmt.Sprintf("%s %d", cause, n.Causes[cause])
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", window, cmp.Or(class, "-"), n.Calls, n.Within, n.Unknown, cmp.Or(strings.Join(list, ", "), "-"))
}
