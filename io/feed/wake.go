package feed

import "sync"

type (
	// waker wakes the streams after changes of the tables. It has a lock of its own. Use
	// newWaker.
	waker struct {
		mu      sync.Mutex
		changed chan struct{} // Closed and replaced at each change.
		urgent  chan struct{} // Closed and replaced at changes that followers must not learn late.
	}

	// wakeUp holds the channels that are closed at the next change of the state, and at
	// the next one that followers must not learn late.
	wakeUp struct {
		changed, urgent <-chan struct{}
	}
)

func newWaker() *waker {
	return &waker{changed: make(chan struct{}), urgent: make(chan struct{})}
}

// next returns what wakes a stream. A stream must call next before it reads the tables: a
// change that it then does not see yet wakes it.
func (w *waker) next() wakeUp {
	w.mu.Lock()
	defer w.mu.Unlock()
	return wakeUp{changed: w.changed, urgent: w.urgent}
}

// notify wakes all streams that wait for a change. It must be called after the change.
func (w *waker) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

// notifyUrgent is notify for a change that followers must not learn late.
func (w *waker) notifyUrgent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.urgent)
	w.urgent = make(chan struct{})
	close(w.changed)
	w.changed = make(chan struct{})
}
