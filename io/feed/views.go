package feed

import (
	"sync"
)

// views holds the newest known view; its epoch is its change number. It has a lock of its
// own, which is taken with or without that of the State, after it. The zero value holds no
// view.
type views struct {
	mu   sync.Mutex
	view View
}

// put stores a view if its epoch is higher than the current view's, and reports whether it
// did.
func (t *views) put(v View) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Epoch <= t.view.Epoch {
		return false
	}
	t.view = v
	return true
}

// get returns the newest known view.
func (t *views) get() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// SetView stores a view if its epoch is higher than the current view's, and
// reports whether it did.
func (s *State) SetView(v View) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.views.put(v) {
		return false
	}
	s.log.Info("new view of control hosts", "epoch", v.Epoch, "members", v.Names())
	s.waker.notifyUrgent()
	return true
}

// View returns the newest known view.
func (s *State) View() View {
	return s.views.get()
}
