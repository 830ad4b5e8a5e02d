package admit

import (
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
		// Patient says that prompt calls leave first.
		Patient bool
	}

	// Queue holds calls in order. The zero value holds none; set Length
	// before use.
	Queue struct {
		// Length is the greatest total weight held.
		Length int

		prompt  []Held
		patient []Held
		weight  int
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
	q.weight += h.Weight
	if h.Patient {
		q.patient = append(q.patient, h)
		return nil
	}
	q.prompt = append(q.prompt, h)
	return nil
}

// Return holds a call again that was popped before, ahead of all others of its
// kind. It is held even when the queue is full.
func (q *Queue) Return(h Held) {
	q.weight += h.Weight
	if h.Patient {
		q.patient = append([]Held{h}, q.patient...)
		return
	}
	q.prompt = append([]Held{h}, q.prompt...)
}

// Next returns the call that Pop would return, and leaves it in the queue.
func (q *Queue) Next() (Held, bool) {
	switch {
	case len(q.prompt) > 0:
		return q.prompt[0], true
	case len(q.patient) > 0:
		return q.patient[0], true
	}
	return Held{}, false
}

// Ahead returns the number of calls that would leave before a new one.
func (q *Queue) Ahead(patient bool) int {
	if patient {
		return len(q.prompt) + len(q.patient)
	}
	return len(q.prompt)
}

// Pop returns the next call to be served, and false when none waits.
func (q *Queue) Pop() (Held, bool) {
	if len(q.prompt) > 0 {
		return q.take(&q.prompt, 0), true
	}
	if len(q.patient) > 0 {
		return q.take(&q.patient, 0), true
	}
	return Held{}, false
}

// Expire removes the calls whose time is up at now, appends them to dst and
// returns it.
func (q *Queue) Expire(dst []Held, now time.Time) []Held {
	for _, list := range []*[]Held{&q.prompt, &q.patient} {
		for i := 0; i < len(*list); {
			if (*list)[i].Until.After(now) {
				i++
				continue
			}
			dst = append(dst, q.take(list, i))
		}
	}
	return dst
}

// Remove takes out the call with the given identity and reports whether it
// was held.
func (q *Queue) Remove(call uint64) bool {
	for _, list := range []*[]Held{&q.prompt, &q.patient} {
		for i := range *list {
			if (*list)[i].Call == call {
				q.take(list, i)
				return true
			}
		}
	}
	return false
}

// Len returns the number of calls held.
func (q *Queue) Len() int {
	return len(q.prompt) + len(q.patient)
}

// Weight returns the total weight held.
func (q *Queue) Weight() int {
	return q.weight
}

func (q *Queue) take(list *[]Held, i int) Held {
	h := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	q.weight -= h.Weight
	return h
}
