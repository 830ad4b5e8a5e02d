package wire

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Load is a target's report of its own load at the moment it sent an answer;
// the answered call is not counted.
type Load struct {
	// Running is the number of calls that hold a slot.
	Running int
	// Queued is the number of calls that wait for a slot at the target.
	Queued int
	// Slots is the number of calls that the target runs at once.
	Slots int
	// Pace is how long work takes there at this moment, in percent of the
	// usual time; 0 when the target does not say.
	Pace int
}

const (
	loadRunning = "running="
	loadQueued  = " queued="
	loadSlots   = " slots="
	loadPace    = " pace="
	maxDigits   = 5
)

// ErrLoad reports a load report that is not in the form of Load.String.
var ErrLoad = errors.New("wire: load report must read as \"running=1 queued=0 slots=3\"")

// String returns the report as the Spool-Load header carries it.
func (l Load) String() string {
	s := loadRunning + strconv.Itoa(l.Running) + loadQueued + strconv.Itoa(l.Queued) + loadSlots + strconv.Itoa(l.Slots)
	if l.Pace > 0 {
		s += loadPace + strconv.Itoa(l.Pace)
	}
	return s
}

// Free returns the number of slots that no call holds or waits for; it is
// negative when calls wait.
func (l Load) Free() int {
	return l.Slots - l.Running - l.Queued
}

// ParseLoad reads a Spool-Load header. It takes exactly the form that String
// writes, with numbers of at most five digits, at least one slot and a pace of
// at least 1 if there is one, and returns ErrLoad otherwise.
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
