package place

import "sync"

// queue is an unbounded queue of messages to send on one stream. add never blocks,
// and the goroutine that sends takes all queued messages as one batch. It is safe for
// concurrent use.
type queue[T any] struct {
	mu       sync.Mutex
	messages []T
	closed   bool
	wake     chan struct{} // Holds a value when messages may be queued.
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{wake: make(chan struct{}, 1)}
}

// add appends a message, or returns false when the queue is closed.
func (q *queue[T]) add(m T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.messages = append(q.messages, m)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// takeAll removes and returns all queued messages.
func (q *queue[T]) takeAll() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	messages := q.messages
	q.messages = nil
	return messages
}

// close makes add refuse further messages. Messages in the queue stay.
func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}
