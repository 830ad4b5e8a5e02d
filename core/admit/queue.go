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
		// Flow is the flow of the call's account, see Fair; nil when there are no accounts.
		Flow *Flow
	}

	// Queue is a priority queue: by rank, then by start tag, then urgent before others, then
	// prompt before patient, then by order of arrival. The zero value accepts no call of a
	// weight above 0; set MaxWeight before use.
	Queue struct {
		// MaxWeight limits the total weight of the calls that Push accepts.
		MaxWeight int

		// order holds the calls in the order in which they are served, as indexes into
		// slots, so that an insertion moves four bytes for each call behind it.
		order  []int32
		slots  []QueuedCall
		free   []int32 // The indexes of the unused slots.
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
	q.insert(q.insertionIndex(&c, 0), c)
	return nil
}

// Requeue queues a call that was popped, or whose attempt failed, ahead of all
// others of its priority, even when the queue is full.
func (q *Queue) Requeue(c QueuedCall) {
	q.insert(q.insertionIndex(&c, -1), c)
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
func (q *Queue) insertionIndex(c *QueuedCall, maxOrder int) int {
	low, high := 0, len(q.order)
	for low < high {
		middle := (low + high) / 2
		if q.at(middle).comparePriority(c) <= maxOrder {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// at returns the call at index i of the order. It is valid until the queue changes.
func (q *Queue) at(i int) *QueuedCall {
	return &q.slots[q.order[i]]
}

// insert inserts c at index i.
func (q *Queue) insert(i int, c QueuedCall) {
	q.weight += c.Weight
	slot := int32(len(q.slots))
	if n := len(q.free); n > 0 {
		slot = q.free[n-1]
		q.free = q.free[:n-1]
		q.slots[slot] = c
	} else {
		q.slots = append(q.slots, c)
	}
	q.order = slices.Insert(q.order, i, slot)
	if c.Flow != nil {
		c.Flow.addQueued(1)
	}
}

// Peek returns the call that Pop would return, without removing it. It reports
// false when the queue is empty.
func (q *Queue) Peek() (QueuedCall, bool) {
	if len(q.order) == 0 {
		return QueuedCall{}, false
	}
	return *q.at(0), true
}

// Last returns the call that would be served last, without removing it. It reports
// false when the queue is empty.
func (q *Queue) Last() (QueuedCall, bool) {
	if len(q.order) == 0 {
		return QueuedCall{}, false
	}
	return *q.at(len(q.order) - 1), true
}

// At returns the call that is served after i others; i must be at least 0 and below Len.
func (q *Queue) At(i int) QueuedCall {
	return *q.at(i)
}

// Ahead returns the number of queued calls that would be served before c.
func (q *Queue) Ahead(c QueuedCall) int {
	return q.insertionIndex(&c, 0)
}

// AheadOfRank returns the number of queued calls that are served before all calls of a
// rank.
func (q *Queue) AheadOfRank(rank int) int {
	low, high := 0, len(q.order)
	for low < high {
		middle := (low + high) / 2
		if q.at(middle).Rank < rank {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// Pop removes and returns the next call to serve. It reports false when the
// queue is empty.
func (q *Queue) Pop() (QueuedCall, bool) {
	if len(q.order) == 0 {
		return QueuedCall{}, false
	}
	return q.RemoveAt(0), true
}

// Expire removes the calls whose Until is not after now, appends them to dst
// and returns it.
func (q *Queue) Expire(dst []QueuedCall, now time.Time) []QueuedCall {
	for i := 0; i < len(q.order); {
		if q.at(i).Until.After(now) {
			i++
			continue
		}
		dst = append(dst, q.RemoveAt(i))
	}
	return dst
}

// Remove removes the call with the given identifier and reports whether it was
// queued.
func (q *Queue) Remove(call uint64) bool {
	_, ok := q.Take(call)
	return ok
}

// Take removes and returns the call with the given identifier. It reports false when the
// call is not queued.
func (q *Queue) Take(call uint64) (QueuedCall, bool) {
	i := slices.IndexFunc(q.order, func(slot int32) bool { return q.slots[slot].Call == call })
	if i < 0 {
		return QueuedCall{}, false
	}
	return q.RemoveAt(i), true
}

// Advance lowers the start tags of the queued calls of a flow that are above start by
// work, because a call of the flow with that much work and the tag start has left the
// queue without being served.
func (q *Queue) Advance(flow *Flow, start, work float64) {
	for i := range q.order {
		slot := q.order[i]
		c := &q.slots[slot]
		if c.Flow != flow || c.Start <= start {
			continue
		}
		q.order = slices.Delete(q.order, i, i+1)
		c.Start -= work
		q.order = slices.Insert(q.order, q.insertionIndex(c, 0), slot)
	}
}

// Len returns the number of queued calls.
func (q *Queue) Len() int {
	return len(q.order)
}

// Weight returns the total weight of the queued calls.
func (q *Queue) Weight() int {
	return q.weight
}

// RemoveAt removes and returns the call that is served after i others; i must be at
// least 0 and below Len.
func (q *Queue) RemoveAt(i int) QueuedCall {
	slot := q.order[i]
	c := q.slots[slot]
	q.slots[slot] = QueuedCall{}
	q.free = append(q.free, slot)
	q.order = slices.Delete(q.order, i, i+1)
	q.weight -= c.Weight
	if c.Flow != nil {
		c.Flow.addQueued(-1)
	}
	return c
}
