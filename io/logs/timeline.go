package logs

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Subject is what a timeline tells of: the name of a field and its value.
type Subject struct {
	// Key names the field, as "version" or "target".
	Key string
	// Value is the field's value, as it is printed.
	Value string
}

// ErrNoSubject reports that no line has the field of a timeline.
var ErrNoSubject = errors.New("logs: no line tells of it")

// Timeline writes to w what the logs that readers hold in any order tell of a
// subject, by time. Of a message that several hosts wrote it shows the first
// line, the number of lines and hosts, and the time of the last one, so that a
// configuration's way to all hosts is one line. It returns ErrNoSubject when no
// line tells of the subject.
func Timeline(w io.Writer, s Subject, readers ...io.Reader) error {
	var lines []Line
	for _, r := range readers {
		if err := scan(r, func(l Line) {
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
