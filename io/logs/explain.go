package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

type (
	// Line is one line of a log, decoded from JSON.
	Line struct {
		// Time is when the line was written, according to its host's clock.
		Time time.Time
		// Host is the name of the host that wrote the line.
		Host string
		// Message is the log message.
		Message string
		// Fields holds all fields of the line, including the above.
		Fields map[string]any
	}
)

const (
	keyTime    = "time"
	keyHost    = "host"
	keyMessage = "msg"
	keyCall    = "call"
	keyTarget  = "target"

	// maxLineBytes is the maximum length of a line of a log.
	maxLineBytes = 1 << 20
	// contextBefore and contextAfter are how long before the first line and how
	// long after the last line about a call related events are printed.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// ErrNotFound is returned when no line names the call.
var ErrNotFound = errors.New("logs: no line names the call")

// Explain writes to w the log lines that explain the outcome of the call with the
// given id, in order of time: all lines about the call, events about its targets,
// and events about no target from hosts that logged the call. It prints events
// from contextBefore before the first line about the call to contextAfter after
// the last one. The readers may hold logs in any order. Text before the JSON
// object of a line is accepted; a line without an object, with more text after it
// or without a time is skipped. It returns ErrNotFound when no line names the call.
func Explain(w io.Writer, id string, readers ...io.Reader) error {
	var (
		callLines []Line
		events    []Line
	)
	for _, r := range readers {
		err := scanLines(r, func(l Line) {
			switch {
			case l.Fields[keyCall] == id:
				callLines = append(callLines, l)
			case l.Fields[keyCall] == nil:
				events = append(events, l)
			}
		})
		if err != nil {
			return err
		}
	}
	if len(callLines) == 0 {
		return errors.Wrap(ErrNotFound, id)
	}
	lines := append(callLines, relatedEvents(callLines, events)...)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := callLines[0].Time
	for _, l := range callLines {
		if l.Time.Before(first) {
			first = l.Time
		}
	}
	if _, err := fmt.Fprintf(w, "call %s, first line at %s\n", id, first.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, l := range lines {
		if err := l.write(w, id, first); err != nil {
			return err
		}
	}
	return nil
}

// scanLines calls f with each log line of r. It skips any text before a line's JSON
// object, and whole lines that hold no object, hold more text after it or hold no
// time. It fails when r fails or a line is longer than maxLineBytes.
func scanLines(r io.Reader, f func(Line)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		fields := make(map[string]any)
		d := json.NewDecoder(strings.NewReader(text[begin:]))
		d.UseNumber() // Keeps times and sequence numbers as they were written.
		if d.Decode(&fields) != nil || d.More() {
			continue // Not a log line.
		}
		var l Line
		timeText, _ := fields[keyTime].(string)
		l.Host, _ = fields[keyHost].(string)
		l.Message, _ = fields[keyMessage].(string)
		var err error
		if l.Time, err = time.Parse(time.RFC3339Nano, timeText); err != nil {
			continue
		}
		l.Fields = fields
		f(l)
	}
	return errors.Wrap(s.Err(), "logs")
}

// relatedEvents returns the events that may have influenced the call whose
// lines are callLines: events about its targets from any host, and events about
// no target from the hosts that logged the call. They lie between contextBefore
// before the first and contextAfter after the last of these lines.
func relatedEvents(callLines, events []Line) []Line {
	hosts, targets := make(map[string]bool), make(map[any]bool)
	first, last := callLines[0].Time, callLines[0].Time
	for _, l := range callLines {
		hosts[l.Host] = true
		if t := l.Fields[keyTarget]; t != nil {
			targets[t] = true
		}
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var list []Line
	for _, e := range events {
		if e.Time.Before(first.Add(-contextBefore)) || e.Time.After(last.Add(contextAfter)) {
			continue
		}
		t := e.Fields[keyTarget]
		if targets[t] || t == nil && hosts[e.Host] {
			list = append(list, e)
		}
	}
	return list
}

// write writes the line with its time relative to first, in seconds. An asterisk
// marks a line that names the call with the given id.
func (l *Line) write(w io.Writer, id string, first time.Time) error {
	mark := " "
	if l.Fields[keyCall] == id {
		mark = "*"
	}
	var rest []string
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		switch key {
		case keyTime, keyHost, keyMessage, keyCall, "level", "data_centre":
			continue
		}
		rest = append(rest, fmt.Sprintf("%s=%v", key, l.Fields[key]))
	}
	_, err := fmt.Fprintf(w, "%s %+9.3fs %s: %s %s\n", mark, l.Time.Sub(first).Seconds(), l.Host, l.Message, strings.Join(rest, " "))
	return err
}
