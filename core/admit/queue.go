package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
)

type (
	// QueuedCall is a call that waits for a target.
	QueuedCall struct {
		// Call identifies the call.
		Call uint64
		// Weight is the number of units that the call takes up in the queue, out
		// of Queue.MaxWeight.
		Weight int
		// Until is the time at which the call expires.
		Until time.Time
		// Rank is the priority; calls of lower rank are served first.
		Rank int
		// Urgent puts the call ahead of the other calls of the same rank.
		Urgent bool
		// Patient puts the call behind prompt calls of the same rank.
		Patient bool
		// Start orders the calls of one rank among client accounts, lower ones first.
		// It is equal for all calls when there are no accounts.
		Start float64
	}

	// Queue is a priority queue: by rank, then by start tag, then urgent before others, then prompt
	// before patient, then by order of arrival. The zero value accepts no call of a
	// weight above 0; set MaxWeight before use.
	Queue struct {
		// MaxWeight limits the total weight of the calls that Push accepts.
		MaxWeight int

		list   []QueuedCall
		weight int
	}
)

// ErrFull reports that a call's weight exceeds what is left of Queue.MaxWeight.
var ErrFull = errors.New("admit: queue is full")

// Push adds a call behind the calls of its priority. It returns ErrFull when the
// total weight would exceed MaxWeight.
func (q *Queue) Push(c QueuedCall) error {
	if q.weight+c.Weight > q.MaxWeight {
		return ErrFull
	}
	q.insert(q.insertionIndex(c, 0), c)
	return nil
}

// Requeue queues a call that was popped, or whose attempt failed, ahead of all
// others of its priority, even when the queue is full.
func (q *Queue) Requeue(c QueuedCall) {
	q.insert(q.insertionIndex(c, -1), c)
}

// comparePriority returns a negative number when c is served before o, a
// positive one when it is served after o, and 0 when the priorities are equal.
func (c *QueuedCall) comparePriority(o *QueuedCall) int {
	switch {
	case c.Rank != o.Rank:
		return cmp.Compare(c.Rank, o.Rank)
	case c.Start != o.Start:
		return cmp.Compare(c.Start, o.Start)
	case c.Urgent && !o.Urgent:
		return -1
	case o.Urgent && !c.Urgent:
		return 1
	case c.Patient == o.Patient:
		return 0
	case c.Patient:
		return 1
	}
	return -1
}

// insertionIndex returns the index at which to insert c: behind the calls o for
// which o.comparePriority(&c) is at most maxOrder. A maxOrder of 0 puts c behind
// the calls of equal priority, -1 ahead of them.
func (q *Queue) insertionIndex(c QueuedCall, maxOrder int) int {
	i, _ := slices.BinarySearchFunc(q.list, c, func(o, c QueuedCall) int {
		if o.comparePriority(&c) <= maxOrder {
			return -1
		}
		return 1
	})
	return i
}

// insert inserts c at index i.
func (q *Queue) insert(i int, c QueuedCall) {
	q.weight += c.Weight
	q.list = slices.Insert(q.list, i, c)
}

// Peek returns the call that Pop would return, without removing it. It reports
// false when the queue is empty.
func (q *Queue) Peek() (QueuedCall, bool) {
	if len(q.list) == 0 {
		return QueuedCall{}, false
	}
	return q.list[0], true
}

// Ahead returns the number of queued calls that would be served before c.
func (q *Queue) Ahead(c QueuedCall) int {
	return q.insertionIndex(c, 0)
}

// Pop removes and returns the next call to serve. It reports false when the
// queue is empty.
func (q *Queue) Pop() (QueuedCall, bool) {
	if len(q.list) == 0 {
		return QueuedCall{}, false
	}
	return q.removeAt(0), true
}

// Expire removes the calls whose Until is not after now, appends them to dst
// and returns it.
func (q *Queue) Expire(dst []QueuedCall, now time.Time) []QueuedCall {
	for i := 0; i < len(q.list); {
		if q.list[i].Until.After(now) {
			i++
			continue
		}
		dst = append(dst, q.removeAt(i))
	}
	return dst
}

// Remove removes the call with the given identifier and reports whether it was
// queued.
func (q *Queue) Remove(call uint64) bool {
	i := slices.IndexFunc(q.list, func(c QueuedCall) bool { return c.Call == call })
	if i >= 0 {
		q.removeAt(i)
	}
	return i >= 0
}

// Len returns the number of queued calls.
func (q *Queue) Len() int {
	return len(q.list)
}

// Weight returns the total weight of the queued calls.
func (q *Queue) Weight() int {
	return q.weight
}

// removeAt removes and returns the call at index i.
func (q *Queue) removeAt(i int) QueuedCall {
	c := q.list[i]
	q.list = slices.Delete(q.list, i, i+1)
	q.weight -= c.Weight
	return c
}
