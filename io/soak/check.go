package soak

import (
	"bufio"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/wire"
)

type (
	// callRecord is a call as its caller saw it.
	callRecord struct {
		id         string
		idempotent bool
		entry      *process
		begin      time.Time
		end        time.Time
		status     int
		outcome    string // From the answer's Spool-Outcome field.
		intact     bool   // The answer is complete and belongs to the call.
		err        error  // Set if no complete answer came.
		key        callKey
	}

	// Report counts the outcomes of the calls of a soak test and lists what went
	// wrong.
	Report struct {
		Seed     uint64 `json:"seed"`
		Calls    int    `json:"calls"`
		Answered int    `json:"answered"`
		// NotRun counts calls reported as not run, Unknown those with any other
		// outcome instead of a target's answer.
		NotRun  int `json:"not_run"`
		Unknown int `json:"unknown"`
		// Broken counts calls without a complete answer.
		Broken int `json:"broken"`
		// Events counts the injected faults.
		Events int `json:"events"`
		// ForeignAnswers counts answers that belong to another call or are
		// incomplete.
		ForeignAnswers int `json:"foreign_answers"`
		// FalseNotRun counts calls reported as not run that a target ran.
		FalseNotRun int `json:"false_not_run"`
		// RanTwice counts non-idempotent calls that ran more than once.
		RanTwice int `json:"ran_twice"`
		// NeverRan counts calls answered although no target ran them.
		NeverRan int `json:"never_ran"`
		// CutOff counts calls with a broken connection or an unknown outcome that
		// no fault explains.
		CutOff int `json:"cut_off"`
		// OverLimit counts targets that got more calls than the limit that they
		// named.
		OverLimit int `json:"over_limit"`
		// CutCalls counts the calls at entry hosts that were cut off from the targets
		// while another one could carry them, CutUnserved those without an answer of a
		// target.
		CutCalls    int `json:"cut_calls"`
		CutUnserved int `json:"cut_unserved"`
		// Changes counts the operator's accepted changes, Reads its confirmed
		// reads.
		Changes int `json:"changes"`
		Reads   int `json:"reads"`
		// LostChanges counts the contradictions between accepted changes and
		// later answers of control hosts.
		LostChanges int `json:"lost_changes"`
		// KeyChanges counts the accepted changes of the client accounts, each of which
		// withdraws a key.
		KeyChanges int `json:"key_changes"`
		// Forbidden counts the calls that no target may run: without a valid key, or with
		// one that their entry host had known to be withdrawn. ForbiddenRan counts those
		// that ran all the same, ValidRefused calls with a valid key that were answered
		// 401, and WrongAccounts the runs of calls of which the target saw a key or
		// another account.
		Forbidden     int `json:"forbidden"`
		ForbiddenRan  int `json:"forbidden_ran"`
		ValidRefused  int `json:"valid_refused"`
		WrongAccounts int `json:"wrong_accounts"`
		// Resets counts the calls that a target reset because it was full.
		Resets int `json:"resets"`
		// NotFound counts the calls of a fleet that were answered 404, and Evacuated those that
		// reached an evacuated data centre. Orders counts the evacuations and their withdrawals,
		// WorstQuota and WorstCold the most calls of the limited account in its window and of a
		// cold target in a second. ByStatus counts the calls by the status of their answer.
		NotFound   int         `json:"not_found,omitempty"`
		Evacuated  int         `json:"evacuated,omitempty"`
		Orders     int         `json:"orders,omitempty"`
		WorstQuota int         `json:"worst_quota,omitempty"`
		WorstCold  int         `json:"worst_cold,omitempty"`
		ByStatus   map[int]int `json:"by_status,omitempty"`
		// ByKind counts the injected faults by kind.
		ByKind map[string]int `json:"by_kind,omitempty"`
		// Faults describes each call or change that was handled wrongly.
		Faults []string `json:"faults,omitempty"`
		// Timeline lists the injected faults, and then Faults, each with its
		// time.
		Timeline []string `json:"-"`
		events   []Event  // The injected faults.
	}
)

// ErrFaults reports that a soak test found calls or changes that were handled wrongly.
var ErrFaults = errors.New("soak: calls or changes were handled wrongly")

// Err returns ErrFaults if the report lists faults, and nil otherwise.
func (r *Report) Err() error {
	if len(r.Faults) > 0 {
		return ErrFaults
	}
	return nil
}

// readRuns reads the record files of all targets and returns how often each call was
// run, by its id.
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
			id, _, _ := strings.Cut(lines.Text(), " ")
			runs[id]++
		}
		file.Close()
		if err = lines.Err(); err != nil {
			return nil, errors.Wrap(err, "soak: target record")
		}
	}
	return runs, nil
}

// check compares the callers' records with the number of runs of each call.
// disturbed reports whether an injected fault may have cut a call off.
func check(records []callRecord, runs map[string]int, disturbed func(*callRecord) bool) Report {
	var report Report
	for i := range records {
		report.addCall(&records[i], runs[records[i].id], disturbed)
	}
	return report
}

// addEvent adds the event of an injected fault.
func (r *Report) addEvent(e Event) {
	if r.ByKind == nil {
		r.ByKind = make(map[string]int)
	}
	r.ByKind[kindOf(e.Fault)]++
	r.events = append(r.events, e)
}

// addCall counts a call that ran the given number of times and adds what went wrong.
func (r *Report) addCall(c *callRecord, runs int, disturbed func(*callRecord) bool) {
	r.Calls++
	cutOff := false
	switch {
	case c.err != nil:
		r.Broken++
		cutOff = true
	case c.outcome == wire.OutcomeNotRun:
		r.NotRun++
		if runs > 0 {
			r.addFault(&r.FalseNotRun, c, "was reported as not run, but ran")
		}
	case c.outcome != "":
		r.Unknown++
		cutOff = true
	default:
		r.Answered++
		r.checkAnswer(c, runs)
	}
	if !c.idempotent && runs > 1 {
		r.addFault(&r.RanTwice, c, "ran more than once")
	}
	if cutOff && !disturbed(c) {
		r.addFault(&r.CutOff, c, "was cut off without a fault that explains it")
	}
}

// checkAnswer checks a call that was answered by a target.
func (r *Report) checkAnswer(c *callRecord, runs int) {
	if !c.intact {
		r.addFault(&r.ForeignAnswers, c, "got an incomplete answer or another call's answer")
	}
	if runs == 0 {
		r.addFault(&r.NeverRan, c, "was answered, but never ran")
	}
}

// addFault increments count and describes the call with what, such as "ran twice".
func (r *Report) addFault(count *int, c *callRecord, what string) {
	*count++
	text := c.id + " by " + c.entry.name + " " + what + " (" + c.begin.Format(time.StampMilli) + ", took " + c.end.Sub(c.begin).String() + ", outcome " + c.outcome + ")"
	if c.err != nil {
		text += ": " + c.err.Error()
	}
	r.Faults = append(r.Faults, text)
}
