package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
)

type (
	// Held is a call that waits for a target.
	Held struct {
		// Call identifies the call.
		Call uint64
		// Weight is the number of units that the call counts for.
		Weight int
		// Until is when the call is given up.
		Until time.Time
		// Rank orders calls; 0 leaves first.
		Rank int
		// Patient says that prompt calls of the same rank leave first.
		Patient bool
	}

	// Queue holds calls in the order of their ranks, prompt before patient,
	// and then of arrival. The zero value holds none; set Length before use.
	Queue struct {
		// Length is the greatest total weight held.
		Length int

		list   []Held
		weight int
	}
)

// ErrFull reports that a call does not fit into the queue.
var ErrFull = errors.New("admit: queue is full")

// Push holds a call. It returns ErrFull when the queue has no room for the
// call's weight.
func (q *Queue) Push(h Held) error {
	if q.weight+h.Weight > q.Length {
		return ErrFull
	}
	q.insert(q.position(h, 0), h)
	return nil
}

// Return holds a call again that was popped before, ahead of all others of its
// kind. It is held even when the queue is full.
func (q *Queue) Return(h Held) {
	q.insert(q.position(h, -1), h)
}

// compare orders calls of different kinds.
func (h *Held) compare(o *Held) int {
	switch {
	case h.Rank != o.Rank:
		return cmp.Compare(h.Rank, o.Rank)
	case h.Patient == o.Patient:
		return 0
	case h.Patient:
		return 1
	}
	return -1
}

// position returns where a call goes: behind those before which compare puts
// it with at most the given result.
func (q *Queue) position(h Held, behind int) int {
	i, _ := slices.BinarySearchFunc(q.list, h, func(o, h Held) int {
		if o.compare(&h) <= behind {
			return -1
		}
		return 1
	})
	return i
}

func (q *Queue) insert(i int, h Held) {
	q.weight += h.Weight
	q.list = slices.Insert(q.list, i, h)
}

// Next returns the call that Pop would return, and leaves it in the queue.
func (q *Queue) Next() (Held, bool) {
	if len(q.list) == 0 {
		return Held{}, false
	}
	return q.list[0], true
}

// Ahead returns the number of calls that would leave before h.
func (q *Queue) Ahead(h Held) int {
	return q.position(h, 0)
}

// Pop returns the next call to be served, and false when none waits.
func (q *Queue) Pop() (Held, bool) {
	if len(q.list) == 0 {
		return Held{}, false
	}
	return q.take(0), true
}

// Expire removes the calls whose time is up at now, appends them to dst and
// returns it.
func (q *Queue) Expire(dst []Held, now time.Time) []Held {
	for i := 0; i < len(q.list); {
		if q.list[i].Until.After(now) {
			i++
			continue
		}
		dst = append(dst, q.take(i))
	}
	return dst
}

// Remove takes out the call with the given identity and reports whether it
// was held.
func (q *Queue) Remove(call uint64) bool {
	i := slices.IndexFunc(q.list, func(h Held) bool { return h.Call == call })
	if i >= 0 {
		q.take(i)
	}
	return i >= 0
}

// Len returns the number of calls held.
func (q *Queue) Len() int {
	return len(q.list)
}

// Weight returns the total weight held.
func (q *Queue) Weight() int {
	return q.weight
}

func (q *Queue) take(i int) Held {
	h := q.list[i]
	q.list = slices.Delete(q.list, i, i+1)
	q.weight -= h.Weight
	return h
}
