package wire

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Load is a target's report of its own load at the time of an answer. The call that
// is answered is not counted.
type Load struct {
	// Running is the number of calls that run at the target.
	Running int
	// Queued is the number of calls that are queued at the target until a slot is
	// free.
	Queued int
	// Slots is the number of calls that the target runs at once.
	Slots int
	// Pace is the current duration of calls at the target, in percent of the
	// usual one; 0 when the target does not report it.
	Pace int
}

const (
	loadRunning = "running="
	loadQueued  = " queued="
	loadSlots   = " slots="
	loadPace    = " pace="
	// maxDigits is the largest number of digits of each number in a report.
	maxDigits = 5
)

// ErrLoad reports a load report that does not have the format of Load.String.
var ErrLoad = errors.New("wire: load report must read as \"running=1 queued=0 slots=3\"")

// String formats the report as the value of the Spool-Load header.
func (l Load) String() string {
	s := loadRunning + strconv.Itoa(l.Running) + loadQueued + strconv.Itoa(l.Queued) + loadSlots + strconv.Itoa(l.Slots)
	if l.Pace > 0 {
		s += loadPace + strconv.Itoa(l.Pace)
	}
	return s
}

// FreeSlots returns the number of slots minus the running and the queued calls.
// It is negative when more calls are queued than slots are free.
func (l Load) FreeSlots() int {
	return l.Slots - l.Running - l.Queued
}

// ParseLoad parses the value of a Spool-Load header. It accepts only the format
// of Load.String, with numbers of at most five digits, at least one slot and,
// if present, a pace of at least 1. Otherwise it returns ErrLoad.
func ParseLoad(s string) (Load, error) {
	var (
		l  Load
		ok [3]bool
	)
	l.Running, s, ok[0] = cutNumber(s, loadRunning)
	l.Queued, s, ok[1] = cutNumber(s, loadQueued)
	l.Slots, s, ok[2] = cutNumber(s, loadSlots)
	if s != "" {
		var paced bool
		if l.Pace, s, paced = cutNumber(s, loadPace); !paced || l.Pace < 1 {
			return Load{}, ErrLoad
		}
	}
	if ok != [3]bool{true, true, true} || s != "" || l.Slots < 1 {
		return Load{}, ErrLoad
	}
	return l, nil
}

// cutNumber returns the number that follows prefix at the start of s, and the rest
// of s. It reports false when s does not start with prefix and a number of at most
// maxDigits digits without leading zeros.
func cutNumber(s, prefix string) (int, string, bool) {
	rest, found := strings.CutPrefix(s, prefix)
	n, digits := 0, 0
	for digits < len(rest) && digits <= maxDigits && rest[digits] >= '0' && rest[digits] <= '9' {
		n = 10*n + int(rest[digits]-'0')
		digits++
	}
	leadingZero := digits > 1 && rest[0] == '0'
	return n, rest[digits:], found && digits > 0 && digits <= maxDigits && !leadingZero
}
