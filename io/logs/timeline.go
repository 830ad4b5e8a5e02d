package logs

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Subject selects the lines of a timeline by a field and its value.
type Subject struct {
	// Key is the name of the field, such as "version" or "target".
	Key string
	// Value is the field's value in printed form.
	Value string
}

// ErrNoSubject is returned when no line has the field and value of a timeline.
var ErrNoSubject = errors.New("logs: no line has this field value")

// Timeline writes to w the log lines about a subject in order of time. The readers
// may hold logs in any order. Of several lines with the same message it prints the
// first one, the number of lines and hosts, and the time and host of the last one,
// so that the rollout of a configuration to all hosts takes two lines. It returns
// ErrNoSubject when no line is about the subject.
func Timeline(w io.Writer, s Subject, readers ...io.Reader) error {
	var lines []Line
	for _, r := range readers {
		if err := scanLines(r, func(l Line) {
			if v, ok := l.Fields[s.Key]; ok && fmt.Sprint(v) == s.Value {
				lines = append(lines, l)
			}
		}); err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return errors.Wrapf(ErrNoSubject, "%s %s", s.Key, s.Value)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := lines[0].Time
	if _, err := fmt.Fprintf(w, "%s %s, first line at %s\n", s.Key, s.Value, first.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	groups := make(map[string][]Line)
	for _, l := range lines {
		groups[l.Message] = append(groups[l.Message], l)
	}
	for _, l := range lines {
		group := groups[l.Message]
		if group == nil {
			continue
		}
		delete(groups, l.Message)
		if err := l.write(w, "", first); err != nil {
			return err
		}
		if len(group) == 1 {
			continue
		}
		hosts := make(map[string]bool)
		for _, other := range group {
			hosts[other.Host] = true
		}
		last := group[len(group)-1]
		if _, err := fmt.Fprintf(w, "%14s %d lines of %d hosts, the last at %+.3fs by %s\n", "",
			len(group), len(hosts), last.Time.Sub(first).Seconds(), last.Host); err != nil {
			return err
		}
	}
	return nil
}
