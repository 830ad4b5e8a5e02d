package place

import "sync"

// queue collects messages for one stream, so that whoever has something to say
// never waits and several messages leave at once.
type queue[T any] struct {
	mu     sync.Mutex
	list   []T
	closed bool
	wake   chan struct{}
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{wake: make(chan struct{}, 1)}
}

// add appends a message and reports false when the queue is closed.
func (q *queue[T]) add(m T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.list = append(q.list, m)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// take returns all messages that wait.
func (q *queue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.list
	q.list = nil
	return list
}

func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}
