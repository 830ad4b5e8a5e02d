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
	// Line is one line of a log.
	Line struct {
		// Time is when the line was written, by its host's clock.
		Time time.Time
		// Host wrote the line.
		Host string
		// Message says what happened.
		Message string
		// Fields holds the rest.
		Fields map[string]any
	}
)

const (
	keyTime    = "time"
	keyHost    = "host"
	keyMessage = "msg"
	keyCall    = "call"
	keyTarget  = "target"

	// maxLine bounds a line of a log.
	maxLine = 1 << 20
	// before and after bound the beliefs that are shown around a call.
	before = 5 * time.Second
	after  = time.Second
)

// ErrNotFound reports that no line names the call.
var ErrNotFound = errors.New("logs: no line names the call")

// Explain writes an account of the call called id to w, from the logs that
// readers hold in any order: all lines about the call by time, and what the
// hosts concerned came to believe shortly before about its targets and about
// control hosts. Lines that are not JSON are passed over. It returns
// ErrNotFound when no line names the call.
func Explain(w io.Writer, id string, readers ...io.Reader) error {
	var (
		about   []Line
		beliefs []Line
	)
	for _, r := range readers {
		err := scan(r, func(l Line) {
			switch {
			case l.Fields[keyCall] == id:
				about = append(about, l)
			case l.Fields[keyCall] == nil:
				beliefs = append(beliefs, l)
			}
		})
		if err != nil {
			return err
		}
	}
	if len(about) == 0 {
		return errors.Wrap(ErrNotFound, id)
	}
	lines := append(about, related(about, beliefs)...)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := about[0].Time
	for _, l := range about {
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

// scan calls f with each line of r.
func scan(r io.Reader, f func(Line)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		fields := make(map[string]any)
		d := json.NewDecoder(strings.NewReader(text[begin:]))
		d.UseNumber() // Prints times and sequence numbers as they were written.
		if d.Decode(&fields) != nil || d.More() {
			continue // Output of something else.
		}
		var l Line
		written, _ := fields[keyTime].(string)
		l.Host, _ = fields[keyHost].(string)
		l.Message, _ = fields[keyMessage].(string)
		var err error
		if l.Time, err = time.Parse(time.RFC3339Nano, written); err != nil {
			continue
		}
		l.Fields = fields
		f(l)
	}
	return errors.Wrap(s.Err(), "logs")
}

// related returns the beliefs that may have decided a call: those about its
// targets, on any host, and those of the hosts that wrote about the call.
func related(about, beliefs []Line) []Line {
	hosts, targets := make(map[string]bool), make(map[any]bool)
	first, last := about[0].Time, about[0].Time
	for _, l := range about {
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
	for _, b := range beliefs {
		if b.Time.Before(first.Add(-before)) || b.Time.After(last.Add(after)) {
			continue
		}
		t := b.Fields[keyTarget]
		if targets[t] || t == nil && hosts[b.Host] {
			list = append(list, b)
		}
	}
	return list
}

// write writes a line with its time relative to first. A mark shows the lines
// that name the call.
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
