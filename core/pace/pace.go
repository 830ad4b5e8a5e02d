package pace

import "time"

// Patience is the time for which a host waits for the next message of a stream before it
// gives the stream up. It doubles from Min to Max with each stream that is given up.
// Patience is not safe for concurrent use.
type Patience struct {
	// Min and Max bound the time; 0 < Min <= Max.
	Min, Max time.Duration

	current time.Duration
}

const (
	// minBatch is the least time over which changes are collected.
	minBatch = 15 * time.Millisecond
	// batchPerFollower limits a control host to 1,000 updates a second. An update takes
	// about 0.05 ms of a core, so that they take a twentieth of one.
	batchPerFollower = time.Millisecond
	// maxBatch is the most time: a tenth of the 2.5 s in which a change must be in force.
	maxBatch = 250 * time.Millisecond
	// rebuildPerTarget limits the time that rebuilding lists of targets takes to a
	// hundredth of a core: a list takes about 0.001 ms for each target.
	rebuildPerTarget = 100 * time.Microsecond
)

// Current returns the time to wait.
func (p *Patience) Current() time.Duration {
	return max(p.current, p.Min)
}

// GiveUp records that a stream was given up.
func (p *Patience) GiveUp() {
	p.current = min(2*p.Current(), p.Max)
}

// Reset sets the time to Min again.
func (p *Patience) Reset() {
	p.current = p.Min
}

// Batch returns the time over which changes are collected before they are sent to the
// given number of followers.
func Batch(followers int) time.Duration {
	return min(max(time.Duration(followers)*batchPerFollower, minBatch), maxBatch)
}

// Rebuild returns the least time between two lists of all targets of a service, when the
// table holds the given number of targets.
func Rebuild(targets int) time.Duration {
	return min(time.Duration(targets)*rebuildPerTarget, maxBatch)
}
