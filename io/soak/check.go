package soak

import (
	"bufio"
	"os"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/wire"
)

type (
	// record is what one caller knows of one call.
	record struct {
		id      string
		safe    bool // The call is idempotent.
		entry   *process
		begin   time.Time
		end     time.Time
		status  int
		outcome string
		own     bool // The answer is whole and its own.
		err     error
	}

	// Report counts how the calls of a soak ended and what was wrong.
	Report struct {
		Seed     uint64 `json:"seed"`
		Calls    int    `json:"calls"`
		Answered int    `json:"answered"`
		NotRun   int    `json:"not_run"`
		Unknown  int    `json:"unknown"`
		Broken   int    `json:"broken"`
		Events   int    `json:"events"`
		// ForeignAnswers counts answers that were not the call's own whole one.
		ForeignAnswers int `json:"foreign_answers"`
		// FalseNotRun counts calls told not run that a target ran.
		FalseNotRun int `json:"false_not_run"`
		// RanTwice counts non-idempotent calls that ran more than once.
		RanTwice int `json:"ran_twice"`
		// NeverRan counts calls answered although no target ran them.
		NeverRan int `json:"never_ran"`
		// CutOff counts calls broken or unknown that no killed or frozen
		// process explains.
		CutOff int `json:"cut_off"`
		// Changes and Reads count the operator's calls that were answered.
		Changes int `json:"changes"`
		Reads   int `json:"reads"`
		// LostChanges counts reads that contradict an accepted change.
		LostChanges int `json:"lost_changes"`
		// ByKind counts the faults that were inflicted.
		ByKind map[string]int `json:"by_kind,omitempty"`
		// Faults names the wrong calls.
		Faults []string `json:"faults,omitempty"`
		// Timeline tells what was done and what was found.
		Timeline []string `json:"-"`
		events   []Event
	}
)

// ErrFaults reports that a soak found something wrong.
var ErrFaults = errors.New("soak: calls did not end as they must")

// Err returns ErrFaults when the report holds faults.
func (r *Report) Err() error {
	if len(r.Faults) > 0 {
		return ErrFaults
	}
	return nil
}

// readRuns counts the runs of every call in the targets' records.
func readRuns(files []string) (map[string]int, error) {
	runs := make(map[string]int)
	for _, name := range files {
		var (
			file *os.File
			err  error
		)
		if file, err = os.Open(name); err != nil {
			return nil, errors.Wrap(err, "soak: target record")
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			runs[lines.Text()]++
		}
		file.Close()
		if err = lines.Err(); err != nil {
			return nil, errors.Wrap(err, "soak: target record")
		}
	}
	return runs, nil
}

// check compares the callers' records with the runs. hurt reports whether a
// killed or frozen process may have touched a call.
func check(records []record, runs map[string]int, hurt func(*record) bool) Report {
	var report Report
	for i := range records {
		report.add(&records[i], runs[records[i].id], hurt)
	}
	return report
}

// count adds an event that happened.
func (r *Report) count(e Event) {
	if r.ByKind == nil {
		r.ByKind = make(map[string]int)
	}
	r.ByKind[kindOf(e.Fault)]++
	r.events = append(r.events, e)
}

func (r *Report) add(c *record, runs int, hurt func(*record) bool) {
	r.Calls++
	cut := false
	switch {
	case c.err != nil:
		r.Broken++
		cut = true
	case c.outcome == wire.OutcomeNotRun:
		r.NotRun++
		if runs > 0 {
			r.fault(&r.FalseNotRun, c, "told not run, but ran")
		}
	case c.outcome != "":
		r.Unknown++
		cut = true
	default:
		r.Answered++
		r.checkAnswer(c, runs)
	}
	if !c.safe && runs > 1 {
		r.fault(&r.RanTwice, c, "ran more than once")
	}
	if cut && !hurt(c) {
		r.fault(&r.CutOff, c, "cut off without a kill or freeze")
	}
}

func (r *Report) checkAnswer(c *record, runs int) {
	if !c.own {
		r.fault(&r.ForeignAnswers, c, "got an answer that is not its own whole one")
	}
	if runs == 0 {
		r.fault(&r.NeverRan, c, "answered, but never ran")
	}
}

func (r *Report) fault(count *int, c *record, what string) {
	*count++
	text := c.id + " by " + c.entry.name + " " + what + " (" + c.begin.Format(time.StampMilli) + ", took " + c.end.Sub(c.begin).String() + ", outcome " + c.outcome + ")"
	if c.err != nil {
		text += ": " + c.err.Error()
	}
	r.Faults = append(r.Faults, text)
}
