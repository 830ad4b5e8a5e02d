package halt

import (
	"math"
	"slices"
	"time"
)

type (
	// Times estimates how long the calls of a service take, from the last ones that were
	// answered, to tell whether a call that comes during a stop will end before the cut. The
	// zero value has seen no calls. It is not safe for concurrent use.
	Times struct {
		idempotent, once samples
	}

	// Call says what the estimate for a call depends on.
	Call struct {
		// Idempotent says that the call may be sent again if it is cut off.
		Idempotent bool
		// BodyRead says that the body of the call, as far as it is read before the
		// decision, has been read.
		BodyRead bool
	}

	// samples holds the times of the last calls of one kind.
	samples struct {
		whole     [maxSamples]time.Duration
		afterBody [maxSamples]time.Duration
		count     int // Of all calls so far.
	}
)

const (
	// maxSamples is the number of calls that an estimate rests on. A few of them are
	// beyond the 95th percentile.
	maxSamples = 64
	// minSamples is the number of calls from which there is an estimate.
	minSamples = 3
	// A call that must not run twice is lost if it is cut off, so that its estimate is a time
	// that few calls exceed. A call that may be repeated loses time in either case.
	onceShare       = 0.95
	idempotentShare = 0.75
)

// Observe records that a call was answered, the time since its header was read and the part
// of it after its body was read.
func (t *Times) Observe(idempotent bool, whole, afterBody time.Duration) {
	s := &t.once
	if idempotent {
		s = &t.idempotent
	}
	i := s.count % maxSamples
	s.whole[i], s.afterBody[i] = whole, afterBody
	s.count++
}

// Expect returns the time within which a call will probably end, from now on. It reports
// false after too few answers.
func (t *Times) Expect(c Call) (time.Duration, bool) {
	s, share := &t.once, onceShare
	if c.Idempotent {
		s, share = &t.idempotent, idempotentShare
	}
	if s.count < minSamples {
		return 0, false
	}
	list := s.whole
	if c.BodyRead {
		list = s.afterBody
	}
	n := min(s.count, maxSamples)
	slices.Sort(list[:n])
	return list[int(math.Ceil(share*float64(n)))-1], true
}
