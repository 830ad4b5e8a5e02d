package logs

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

type (
	// part is one of the parts into which the time of a call is divided.
	part int

	// parts holds the time of each part, in microseconds.
	parts [partCount]int64

	// request is one request of a caller at one host.
	request struct {
		host  string
		begin time.Time // When it arrived, as far as its lines tell.
		class string
		// attempts holds its "routed" lines.
		attempts []attempt
		failures []failure
		spent    parts
		end      *Line // The line that tells its end; nil for none.
		endAt    time.Time
	}

	// attempt is one sending of a request to a target.
	attempt struct {
		target string
		at     time.Time
		why    string
	}

	// failure is the end of an attempt without an answer.
	failure struct {
		target string
		at     time.Time
		cause  Cause
	}

	// collection is what the lines of logs tell about calls and hosts.
	collection struct {
		calls  []*lateCall
		byName map[string]*lateCall
		// seen holds the times of all lines of each host, and starts those at which its
		// process began to serve.
		seen, starts map[string][]time.Time
		// timed says that the lines tell of late answers, and unrouted counts the late
		// answers of calls of which no line tells a target.
		timed    bool
		unrouted int
	}

	// outcome is the sealed set of outcomes of a call.
	outcome interface{ isOutcome() }

	// inTime means that the call was answered within its aim.
	inTime struct{}
	// endUnknown means that no line tells how the call ended.
	endUnknown struct{}
	// late means that the call was not answered within its aim.
	late struct{ cause Cause }
)

const (
	partDecision part = iota
	partHeld
	partLink
	partEarlier
	partTarget
	partCount
)

const (
	messageRouted   = "routed"
	messageServes   = "entry host serves"
	messageAnswered = "answered late"
	messageGivenUp  = "given up"
	messageRefused  = "refused"
	messageCutOff   = "call cut off by stop"
)

// partFields lists the fields that an entry host divides the time of a call into, by part.
var partFields = [partCount][]string{
	partDecision: {"plan_us", "decision_us"},
	partHeld:     {"queue_us"},
	partLink:     {"body_us", "connect_us", "write_us", "receive_us"},
	partEarlier:  {"earlier_us"},
	partTarget:   {"target_us"},
}

// lateFields lists all fields that are read here.
var lateFields = append(slices.Concat(partFields[:]...), keyCall, keyTarget, "attempt", "why", "rank", "aim", "asked_after_us",
	"decided_after_us", "held_us", "after", "reason", "link_lost", "reset", "error", "passed_on", "caller_left", "late_before")

var (
	_ outcome = inTime{}
	_ outcome = endUnknown{}
	_ outcome = late{}
)

func (inTime) isOutcome()     {}
func (endUnknown) isOutcome() {}
func (late) isOutcome()       {}

// collect reads the lines of logs in order of time.
func collect(readers []io.Reader) (*collection, error) {
	c := &collection{byName: make(map[string]*lateCall), seen: make(map[string][]time.Time), starts: make(map[string][]time.Time)}
	var lines []Line
	for _, r := range readers {
		if err := scanLines(r, func(l Line) {
			c.seen[l.Host] = append(c.seen[l.Host], l.Time)
			if l.Message == messageServes {
				c.starts[l.Host] = append(c.starts[l.Host], l.Time)
			}
			if l.Fields[keyCall] != nil || l.Message == "request refused" {
				l.Fields = usedFields(l.Fields)
				lines = append(lines, l)
			}
		}); err != nil {
			return nil, err
		}
	}
	for _, times := range []map[string][]time.Time{c.seen, c.starts} {
		for _, list := range times {
			slices.SortFunc(list, time.Time.Compare)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host)) })
	for i := range lines {
		c.add(&lines[i])
	}
	return c, nil
}

// usedFields returns the fields that tell the outcome of a call. A log of a day has
// hundreds of thousands of lines, and their other fields take a third of the memory.
func usedFields(fields map[string]any) map[string]any {
	used := make(map[string]any)
	for _, key := range lateFields {
		if v, ok := fields[key]; ok {
			used[key] = v
		}
	}
	return used
}

// add adds a line to the call that it names.
func (c *collection) add(l *Line) {
	name := l.text(keyCall)
	call := c.byName[name]
	if call == nil || name == "" {
		if !l.opens() {
			return // About a carried call, or one whose first lines are missing.
		}
		call = new(lateCall)
		c.calls, c.byName[name] = append(c.calls, call), call
	}
	r := call.current()
	if r == nil || r.end != nil || r.host != l.Host || l.Message == messageRouted && l.number("attempt") == 1 && len(r.attempts) > 0 {
		if !l.opens() {
			return
		}
		r = &request{host: l.Host, begin: l.arrival()}
		call.requests = append(call.requests, r)
	}
	r.add(l)
	if l.Message == messageRouted {
		_, aim := l.Fields["aim"]
		c.timed = c.timed || aim
	}
	if l.Message == messageAnswered && len(r.attempts) == 0 {
		c.unrouted++
	}
}

// opens reports whether the line may be the first one about a request.
func (l *Line) opens() bool { return l.Message == messageRouted || l.isEnd() }

// isEnd reports whether the line tells that a request has ended.
func (l *Line) isEnd() bool {
	switch l.Message {
	case messageAnswered, messageGivenUp, messageRefused, messageCutOff, "failure passed on", "answer not passed on", "no service", "key refused", "request refused":
		return true
	case "answer cut short":
		passed, _ := l.Fields["passed_on"].(bool)
		return passed
	}
	return false
}

// arrival returns when the request arrived that the line is the first one about.
func (l *Line) arrival() time.Time {
	if l.Message == messageRouted {
		return l.Time.Add(-time.Duration(l.number("asked_after_us")+l.number("decided_after_us")) * time.Microsecond)
	}
	after, err := time.ParseDuration(l.text("after"))
	if err != nil {
		return l.Time
	}
	return l.Time.Add(-after)
}

// current returns the last request of the call, nil for none.
func (c *lateCall) current() *request {
	if len(c.requests) == 0 {
		return nil
	}
	return c.requests[len(c.requests)-1]
}

// add adds a line about the request.
func (r *request) add(l *Line) {
	if aim := l.text("aim"); aim != "" && r.class == "" {
		r.class = fmt.Sprintf("rank %d, aim %s", l.number("rank"), aim)
	}
	switch l.Message {
	case messageRouted:
		r.addAttempt(l)
	case "attempt failed", "target not reached", "call lost with its target":
		r.failures = append(r.failures, failure{l.text(keyTarget), l.Time, l.failureCause()})
	case "answer cut short":
		r.failures = append(r.failures, failure{l.text(keyTarget), l.Time, CauseConnectionLost})
	}
	if l.isEnd() {
		r.end, r.endAt = l, l.Time
		r.spend(l)
	}
}

// addAttempt adds a "routed" line. The times in it are those for lines without the fields of
// partFields.
func (r *request) addAttempt(l *Line) {
	if len(r.attempts) == 0 {
		r.spent[partHeld] = l.number("held_us")
		r.spent[partDecision] = max(l.number("asked_after_us")+l.number("decided_after_us")-r.spent[partHeld], 0)
	}
	r.attempts = append(r.attempts, attempt{l.text(keyTarget), l.Time, l.text("why")})
}

// spend divides the time of the request that ends with the line.
func (r *request) spend(l *Line) {
	if _, ok := l.Fields["decision_us"]; ok {
		for p, fields := range partFields {
			r.spent[p] = 0
			for _, key := range fields {
				r.spent[p] += l.number(key)
			}
		}
		return
	}
	n := len(r.attempts)
	if n == 0 {
		r.spent[partDecision] = l.Time.Sub(r.begin).Microseconds()
		return
	}
	r.spent[partEarlier] = r.attempts[n-1].at.Sub(r.attempts[0].at).Microseconds()
	r.spent[partTarget] = l.Time.Sub(r.attempts[n-1].at).Microseconds()
}

// largest returns the part with the most time.
func (p parts) largest() part {
	best := part(0)
	for i, spent := range p {
		if spent > p[best] {
			best = part(i)
		}
	}
	return best
}

// failureCause returns the cause of a failed attempt: that the target refused or reset the
// connection, or that the connection was lost.
func (l *Line) failureCause() Cause {
	lost, _ := l.Fields["link_lost"].(bool)
	reset, _ := l.Fields["reset"].(bool)
	if !lost && (reset || l.Message == "call lost with its target" || strings.Contains(l.text("error"), "connection refused")) {
		return CauseTargetFailed
	}
	return CauseConnectionLost
}

// lastTarget returns the target of the answer, or of the last attempt.
func (r *request) lastTarget() string {
	if r.end != nil && r.end.text(keyTarget) != "" {
		return r.end.text(keyTarget)
	}
	if n := len(r.attempts); n > 0 {
		return r.attempts[n-1].target
	}
	return ""
}

// outcome returns the outcome of a call. A call whose last request was answered in time was
// in time; otherwise the first request that was not gives the cause.
func (c *collection) outcome(call *lateCall, slow slowTargets) outcome {
	last := c.requestOutcome(call.current(), slow)
	if _, ok := last.(late); !ok {
		return last
	}
	for _, r := range call.requests {
		if o, ok := c.requestOutcome(r, slow).(late); ok {
			return o
		}
	}
	return last
}

// requestOutcome returns the outcome of one request.
func (c *collection) requestOutcome(r *request, slow slowTargets) outcome {
	if r.end == nil {
		if c.cutOff(r) {
			return endUnknown{}
		}
		return inTime{}
	}
	switch l := r.end; l.Message {
	case messageAnswered:
		if before, _ := l.Fields["late_before"].(bool); before {
			return late{CauseReturned}
		}
		return late{r.cause(slow)}
	case messageGivenUp:
		if l.text("reason") == "caller_gone" && l.Time.Sub(r.begin) <= r.aim() {
			return late{CauseCallerLeft}
		}
		return late{r.cause(slow)}
	case messageCutOff:
		return late{CauseStop}
	case "failure passed on":
		return late{CauseTargetFailed}
	case "answer not passed on":
		return late{CauseCallerLeft}
	case "answer cut short":
		if left, _ := l.Fields["caller_left"].(bool); left {
			return late{CauseCallerLeft}
		}
		return late{CauseConnectionLost}
	default:
		reason := l.text("reason")
		if reason == "target_failed" || reason == "targets_refuse" {
			return late{r.failureCause()}
		}
		return late{CauseRefused + Cause(reason)}
	}
}

// cause returns the part that took most of the time of a request.
func (r *request) cause(slow slowTargets) Cause {
	switch r.spent.largest() {
	case partDecision:
		return CauseDecision
	case partHeld:
		return CauseHeld
	case partLink:
		return CauseLink
	case partEarlier:
		if len(r.failures) == 0 && len(r.attempts) > 1 {
			return r.slowCause(r.attempts[0].target, slow) // A second attempt beside the first won.
		}
		return r.failureCause()
	default:
		return r.slowCause(r.lastTarget(), slow)
	}
}

// failureCause returns the cause of the last failed attempt; without a line about one, the
// target has refused the call.
func (r *request) failureCause() Cause {
	if n := len(r.failures); n > 0 {
		return r.failures[n-1].cause
	}
	return CauseTargetFailed
}

// slowCause returns whether the target was known to be slow when the request was sent there.
func (r *request) slowCause(target string, slow slowTargets) Cause {
	for _, a := range r.attempts {
		if a.target != target {
			continue
		}
		if a.why == "crowded" || a.why == "all_hot" || a.why == "all_failing" || slow.knownAt(target, a.at) {
			return CauseKnownSlow
		}
	}
	return CauseSlow
}

// aim returns the aim in the lines of a request, 0 for none.
func (r *request) aim() time.Duration {
	_, text, _ := strings.Cut(r.class, "aim ")
	aim, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return aim
}

// cutOff reports whether the lines of the host end before the aim of the request had passed:
// its process was lost, or the log ends.
func (c *collection) cutOff(r *request) bool {
	end := r.begin.Add(r.aim())
	seen := c.seen[r.host]
	i, _ := slices.BinarySearchFunc(c.starts[r.host], r.begin.Add(time.Nanosecond), time.Time.Compare)
	if i < len(c.starts[r.host]) {
		before, _ := slices.BinarySearchFunc(seen, c.starts[r.host][i], time.Time.Compare)
		seen = seen[:before]
	}
	return len(seen) == 0 || seen[len(seen)-1].Before(end)
}

// notes returns what the lines do not tell.
func (c *collection) notes() []string {
	var list []string
	if len(c.calls) > 0 && !c.timed {
		list = append(list, "the lines name no aims and tell of no late answers: answered calls count as within their aim")
	}
	if c.unrouted > 0 {
		list = append(list, fmt.Sprintf("%d late answers have no line \"routed\": lines were dropped, or decision_log_one_in is above 1", c.unrouted))
	}
	return list
}

// text returns a field of the line that is a string; empty if there is none.
func (l *Line) text(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// number returns a field of the line that is a whole number; 0 if there is none.
func (l *Line) number(key string) int64 {
	n, _ := l.Fields[key].(json.Number)
	v, _ := n.Int64()
	return v
}
