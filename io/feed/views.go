package feed

import (
	"log/slog"
	"sync"
)

// views holds the newest known view; its epoch is its change number. It has a lock of its
// own. The zero value holds no view.
type views struct {
	mu   sync.Mutex
	view View
}

// put stores a view if its epoch is higher than the current view's, and reports whether it
// did.
func (t *views) put(v View, log *slog.Logger) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Epoch <= t.view.Epoch {
		return false
	}
	t.view = v
	log.Info("new view of control hosts", "epoch", v.Epoch, "members", v.Names())
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
	if !s.views.put(v, s.log) {
		return false
	}
	s.waker.notifyUrgent()
	return true
}

// View returns the newest known view.
func (s *State) View() View {
	return s.views.get()
}
