package crash

import (
	"slices"
	"sync"
	"time"
)

type (
	// Clearance says what has shown that a call of a Report need not be the cause. Higher
	// ones include lower ones.
	Clearance uint8

	// Report says that a call was at a target as that ended.
	Report struct {
		ID
		// Target is the digest of the target's incarnation.
		Target uint64
		// Clearance is what is known since.
		Clearance Clearance
		// At is when this host learnt of it, less the time that the hosts before it had
		// known of it.
		At time.Time
	}

	// Table holds reports. Use NewTable. It is safe for concurrent use.
	Table struct {
		mu       sync.Mutex
		contents map[uint64]*content
		heads    map[uint64]int // The number of contents with a head.
		// ended holds the targets in reports, and of each the content of the first one.
		ended  map[uint64]uint64
		change uint64 // The number of the last change.
	}

	// content holds the reports of one content, in the order of At.
	content struct {
		head    uint64
		reports []Report
		change  uint64 // The number of the last change.
	}

	// tally is what the reports on a call add up to.
	tally struct {
		targets     int
		first, last time.Time // When the first and the last target ended.
		block       time.Duration
	}
)

// The clearances.
const (
	// Suspected is the clearance of a new report.
	Suspected Clearance = iota
	// ClearedForOthers means that a target has answered the same content of another
	// caller.
	ClearedForOthers
	// Cleared means that a target has answered the call.
	Cleared
)

const (
	// MinTargets is the number of targets with which a call must have been lost to be
	// blocked. Two may end for reasons of their own, as in a failing rack, while a call
	// and its second attempt are there.
	MinTargets = 3
	// A call that was lost with fewer than sureTargets is blocked only if it was at minShare
	// of all targets that are known to have ended meanwhile: when all targets are killed
	// in turn, some call is at three of them.
	sureTargets = 5
	minShare    = 0.5
	// BlockTime is how long a call is blocked after the last report on it, at first. It
	// doubles, up to MaxBlockTime, with each report that comes after a block has ended.
	BlockTime = 5 * time.Minute
	// MaxBlockTime is the longest block.
	MaxBlockTime = time.Hour
	// MaxAge is how long reports are kept after the last one of their content.
	MaxAge = 2 * MaxBlockTime
	// maxContents bounds the contents of a Table, and maxReports the reports on one.
	maxContents = 1024
	maxReports  = 16
)

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{contents: make(map[uint64]*content), heads: make(map[uint64]int), ended: make(map[uint64]uint64)}
}

// Merge merges reports into the table at now. It returns those that were new or have a new
// clearance and whose calls are blocked, and whether there were any new ones.
func (t *Table) Merge(reports []Report, now time.Time) (blocked []Report, changed bool) {
	for _, r := range reports {
		if !t.Add(r, now) {
			continue
		}
		changed = true
		if _, is := t.Blocked(r.ID, now); is {
			blocked = append(blocked, r)
		}
	}
	return blocked, changed
}

// Add merges a report into the table at now, and reports whether that changed the table.
func (t *Table) Add(r Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contents[r.Content]
	if c == nil {
		if len(t.contents) >= maxContents {
			t.evict(now)
		}
		c = &content{head: r.Head}
		t.contents[r.Content] = c
		t.heads[r.Head]++
	}
	if !c.add(r) {
		return false
	}
	if _, known := t.ended[r.Target]; !known {
		t.ended[r.Target] = r.Content
	}
	t.change++
	c.change = t.change
	return true
}

// add merges a report and reports whether that changed anything. Of too many reports it
// drops the oldest.
func (c *content) add(r Report) bool {
	for i, old := range c.reports {
		if old.Target != r.Target || old.Caller != r.Caller {
			continue
		}
		if r.Clearance <= old.Clearance {
			return false
		}
		c.reports[i].Clearance = r.Clearance
		return true
	}
	if len(c.reports) >= maxReports {
		if !r.At.After(c.reports[0].At) {
			return false
		}
		c.reports = slices.Delete(c.reports, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(c.reports, r.At, func(old Report, at time.Time) int { return old.At.Compare(at) })
	c.reports = slices.Insert(c.reports, i, r)
	return true
}

// Answered records that a target has answered a call, appends the reports that this
// clears to dst and returns it.
func (t *Table) Answered(dst []Report, id ID) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contents[id.Content]
	if c == nil {
		return dst
	}
	changed := false
	for i := range c.reports {
		r, clearance := &c.reports[i], ClearedForOthers
		if r.Caller == id.Caller {
			clearance = Cleared
		}
		if clearance > r.Clearance {
			r.Clearance = clearance
			dst, changed = append(dst, *r), true
		}
	}
	if changed {
		t.change++
		c.change = t.change
	}
	return dst
}

// Knows reports whether there are reports on a call with the given head, so that its
// content matters.
func (t *Table) Knows(head uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heads[head] > 0
}

// Empty reports whether there are no reports.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.contents) == 0
}

// Blocked reports whether a call is blocked at now, and until when.
func (t *Table) Blocked(id ID, now time.Time) (until time.Time, blocked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contents[id.Content]
	if c == nil {
		return time.Time{}, false
	}
	until = t.blockedUntil(c, id.Caller)
	return until, until.After(now)
}

// Targets returns the number of targets with which a call was lost, as far as that counts
// against it.
func (t *Table) Targets(id ID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contents[id.Content]
	if c == nil {
		return 0
	}
	return max(c.tally(c.against(id.Caller)).targets, c.tally(suspected).targets)
}

// blockedUntil returns the end of the block of a caller's call, or the zero time when it
// is not blocked. The reports on other callers count if there are two callers or more and
// no target has answered any of them since: a call that only fails for one caller must
// not keep the others from the same content. The caller holds mu.
func (t *Table) blockedUntil(c *content, caller uint64) time.Time {
	until := t.blockOf(c.tally(c.against(caller)))
	first := slices.IndexFunc(c.reports, suspected)
	several := slices.ContainsFunc(c.reports, func(r Report) bool { return suspected(r) && r.Caller != c.reports[first].Caller })
	if !several {
		return until
	}
	if all := t.blockOf(c.tally(suspected)); all.After(until) {
		return all
	}
	return until
}

// blockOf returns the end of the block that follows from a tally, or the zero time for
// none. The caller holds mu.
func (t *Table) blockOf(n tally) time.Time {
	if n.targets < MinTargets || n.targets < sureTargets && float64(n.targets) < minShare*float64(t.endsBetween(n.first, n.last)) {
		return time.Time{}
	}
	return n.last.Add(n.block)
}

// endsBetween returns the number of targets that have ended in a span of time, as far as
// there are reports. The caller holds mu.
func (t *Table) endsBetween(first, last time.Time) int {
	targets := make(map[uint64]bool)
	for _, c := range t.contents {
		for _, r := range c.reports {
			if !r.At.Before(first) && !r.At.After(last) {
				targets[r.Target] = true
			}
		}
	}
	return len(targets)
}

// against returns the function that reports whether a report counts against a caller's
// call whatever became of the calls of others.
func (c *content) against(caller uint64) func(Report) bool {
	return func(r Report) bool { return r.Caller == caller && r.Clearance < Cleared }
}

func suspected(r Report) bool {
	return r.Clearance == Suspected
}

// tally counts the targets that the reports for which counts returns true name.
func (c *content) tally(counts func(Report) bool) tally {
	var seen [maxReports]uint64
	n := tally{block: BlockTime}
	for _, r := range c.reports {
		if !counts(r) || slices.Contains(seen[:n.targets], r.Target) {
			continue
		}
		if n.targets == 0 {
			n.first = r.At
		}
		if n.targets >= MinTargets && r.At.Sub(n.last) >= n.block {
			n.block = min(2*n.block, MaxBlockTime)
		}
		seen[n.targets], n.last = r.Target, r.At
		n.targets++
	}
	return n
}

// Change returns the number of the last change.
func (t *Table) Change() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.change
}

// AppendChanged appends the reports on the contents that have changed after the given
// change to dst: all of those on which there are reports of minTargets targets or more, and
// of the others one report for each target, which says that it has ended. It returns dst
// and the number of the last change.
func (t *Table) AppendChanged(dst []Report, change uint64, minTargets int) ([]Report, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.change == change {
		return dst, change
	}
	for key, c := range t.contents {
		if c.change <= change {
			continue
		}
		all := c.tally(func(Report) bool { return true }).targets >= minTargets
		for _, r := range c.reports {
			if all || t.ended[r.Target] == key {
				dst = append(dst, r)
			}
		}
	}
	return dst, t.change
}

// Expire removes the contents on which there was no report for a time.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, c := range t.contents {
		if now.Sub(c.reports[len(c.reports)-1].At) > MaxAge {
			t.remove(key)
		}
	}
}

// evict removes the content with the fewest targets that count, and of these the one with
// the oldest last report, so that calls that are reported once don't displace blocked
// ones. The caller holds mu.
func (t *Table) evict(now time.Time) {
	var (
		victim uint64
		fewest int
		oldest time.Time
	)
	found := false
	for key, c := range t.contents {
		n := c.tally(func(r Report) bool { return r.Clearance < Cleared }).targets
		last := now
		if len(c.reports) > 0 {
			last = c.reports[len(c.reports)-1].At
		}
		if !found || n < fewest || n == fewest && last.Before(oldest) {
			found, victim, fewest, oldest = true, key, n, last
		}
	}
	if found {
		t.remove(victim)
	}
}

// remove removes a content. The caller holds mu.
func (t *Table) remove(key uint64) {
	head := t.contents[key].head
	for _, r := range t.contents[key].reports {
		if t.ended[r.Target] == key {
			delete(t.ended, r.Target)
		}
	}
	delete(t.contents, key)
	if t.heads[head]--; t.heads[head] == 0 {
		delete(t.heads, head)
	}
}
